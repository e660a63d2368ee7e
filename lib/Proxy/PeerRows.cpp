//===-- PeerRows.cpp - rows from and for other entries ----------------------===//
//
// One path: /rows?tables=NAME:SINCE,NAME:SINCE&hold=MS.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PeerRows.h"

#include "laurelcroft/Proxy/CallerServer.h"
#include "laurelcroft/Proxy/RowWire.h"
#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/Settings.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <list>
#include <map>
#include <optional>

using namespace laurelcroft;

namespace {

constexpr std::string_view rowsPath = "/rows";
constexpr int decimal = 10;
/// Rows that come to an entry together leave it together: a start of many entries, a roll-out.
constexpr milliseconds gathering{20};
/// Peers are near; one that doesn't answer is not asked for longer than a retry takes.
constexpr milliseconds peerTimeout{400};
/// A peer that did not answer is left out this long: a restart takes about as much.
constexpr milliseconds peerAvoidance{3000};
/// The same of a peer that takes no connection while this process starts: all may start together,
/// some a little later.
constexpr milliseconds startAvoidance{40};
/// Readers that one read is sent to, one after the other; a stand-in comes after them.
constexpr unsigned readersOfRead = 2;
/// A read whose rows are outdated here is held this long: a stand-in needs a call to the store
/// before it can help.
constexpr milliseconds outdatedHold{100};

} // namespace

namespace {

/// A table and the version from which on its changes are asked for.
struct table_since
{
    std::string table;
    std::uint64_t since = 0;
};

/// One read that waits for another entry's answer.
struct asked_table
{
    table_since what;
    row_callback<row_news> done;
};

/// Another entry's read that has no news yet.
struct held_read
{
    std::vector<table_since> tables;
    caller_exchange exchange;
    timer_id timer = 0;
};

/// The packed rows of a whole table.
struct packed_table
{
    std::uint64_t changedAt = 0; ///< version of its newest row or removal
    packed_rows rows;
};

} // namespace

static std::string joined(const std::vector<std::string> &addresses)
{
    std::string text;
    for (const std::string &address : addresses)
        text += (text.empty() ? "" : ",") + address;
    return text;
}

static std::string queryOf(const std::vector<asked_table> &asked)
{
    std::string text;
    for (const asked_table &item : asked) {
        text += text.empty() ? "" : ",";
        text += percentEncoded(item.what.table) + ":" + std::to_string(item.what.since);
    }
    return text;
}

/// \returns the tables of a query; a part that can't be read is left out.
static std::vector<table_since> tablesIn(std::string_view text)
{
    std::vector<table_since> tables;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        const std::string_view item = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t colon = item.rfind(':');
        if (colon == std::string_view::npos)
            continue;
        table_since table{std::string(item.substr(0, colon)), 0};
        const std::string_view number = item.substr(colon + 1);
        std::from_chars(number.data(), number.data() + number.size(), table.since, decimal);
        tables.push_back(std::move(table));
    }
    return tables;
}

static milliseconds holdIn(const std::string &text)
{
    std::int64_t hold = 0;
    std::from_chars(text.data(), text.data() + text.size(), hold, decimal);
    return milliseconds(std::max<std::int64_t>(0, hold));
}

struct peer_rows::state
{
    state(asio::io_context &context, http_client &http, row_mirror &mirror,
          metric_registry &metrics, std::string ownAddress, milliseconds hold);

    void serve(const message_head &head, caller_exchange &exchange);
    void holdRead(std::vector<table_since> tables, caller_exchange &exchange, milliseconds hold);
    milliseconds longestHoldOf(const std::vector<table_since> &tables);
    void answer(const std::vector<table_since> &tables, caller_exchange &exchange);
    packed_news packedNews(const std::string &table, aged_news news);
    void noteChange();
    void answerHeld();

    void noteSources(const row_sources &chosen);
    std::optional<std::string> pick();
    void postAsk();
    void ask();
    milliseconds holdOfTry() const;
    bool mayTryAgain() const;
    void onReply(const std::string &peer, const outcome<http_reply, http_error> &reply);
    void avoid(const std::string &peer, const outcome<http_reply, http_error> &reply);
    void failAll();
    void takeReply(const std::string &peer, const std::string &body);
    row_news taken(const std::string &table, const aged_news &found);

    asio::io_context &context;
    asio_runtime runtime;
    http_client &http;
    row_mirror &mirror;
    metric_registry &metrics;
    std::string ownAddress;
    milliseconds hold;
    caller_server server;
    std::list<held_read> held;
    std::map<std::string, packed_table> packed; ///< whole tables, by name
    bool changeNoted = false;

    std::vector<std::string> peers;
    row_sources sources;
    bool asksFirstPeers = false;
    bool starting = true; ///< no peer has answered yet
    std::size_t next = 0;
    std::map<std::string, time_point> avoidedUntil; ///< peers that did not answer
    std::vector<asked_table> asked;
    unsigned tries = 0; ///< of what is asked
    bool isAnyoneUp = false; ///< among those that were asked
    std::optional<http_call_id> call;
    bool askPosted = false;
};

peer_rows::state::state(asio::io_context &context, http_client &http, row_mirror &mirror,
                        metric_registry &metrics, std::string ownAddress, milliseconds hold)
    : context(context)
    , runtime(context)
    , http(http)
    , mirror(mirror)
    , metrics(metrics)
    , ownAddress(std::move(ownAddress))
    , hold(hold)
    , server(context, [this](message_head &&head, std::string &&, caller_exchange exchange) {
        serve(head, exchange);
    })
{
    mirror.setListener([this] { noteChange(); });
}

peer_rows::peer_rows(asio::io_context &context, http_client &http, row_mirror &mirror,
                     metric_registry &metrics, std::string ownAddress, milliseconds hold)
    : m_state(std::make_unique<state>(context, http, mirror, metrics, std::move(ownAddress), hold))
{
}

peer_rows::~peer_rows()
{
    m_state->mirror.setListener({});
}

std::string peer_rows::open()
{
    std::string host;
    std::uint16_t port = 0;
    if (!splitAddress(m_state->ownAddress, host, port))
        return "not of the form host:port";
    return m_state->server.open(host, port);
}

std::uint16_t peer_rows::port() const
{
    return m_state->server.port();
}

void peer_rows::setPeers(std::vector<std::string> peers)
{
    std::erase(peers, m_state->ownAddress);
    m_state->peers = std::move(peers);
}

void peer_rows::setFirstPeers(const std::vector<std::string> &peers)
{
    const bool isFirst = std::find(peers.begin(), peers.end(), m_state->ownAddress) != peers.end();
    m_state->asksFirstPeers = !isFirst && !peers.empty();
    setPeers(peers);
}

void peer_rows::setSources(row_sources sources)
{
    state &self = *m_state;
    if (self.asksFirstPeers || self.sources != sources)
        self.noteSources(sources);
    self.asksFirstPeers = false;
    self.sources = std::move(sources);
    // A first peer that is silent is not waited for when the readers are known, and nobody when
    // this entry is one of them, or stands in for them.
    if (self.starting && self.call) {
        self.http.cancel(*self.call);
        self.call.reset();
        if (self.sources.readers.empty() || isStandIn())
            asio::post(self.context, [&self] { self.failAll(); });
        else
            self.postAsk();
    }
}

void peer_rows::state::noteSources(const row_sources &chosen)
{
    const bool reads = chosen.readers.empty();
    metrics.set("reads_store", reads ? 1 : 0);
    logInfo(log_part::fleet, reads ? "rows are read from the store" : "rows are read from entries",
            {{"readers", joined(chosen.readers)}, {"stand_ins", joined(chosen.standIns)}});
}

bool peer_rows::arePreferred() const
{
    return m_state->asksFirstPeers || !m_state->sources.readers.empty();
}

bool peer_rows::isStandIn() const
{
    return !m_state->sources.readers.empty() && m_state->sources.standIns.empty();
}

void peer_rows::read(const std::string &table, std::uint64_t since, row_callback<row_news> done)
{
    state &self = *m_state;
    self.asked.push_back({{table, since}, std::move(done)});
    // What is under way is asked again together with this one.
    if (self.call) {
        self.http.cancel(*self.call);
        self.call.reset();
    }
    self.postAsk();
}

void peer_rows::state::postAsk()
{
    if (std::exchange(askPosted, true))
        return;
    asio::post(context, [this] {
        askPosted = false;
        tries = 0;
        isAnyoneUp = false;
        ask();
    });
}

std::optional<std::string> peer_rows::state::pick()
{
    const bool asksStandIn = tries >= readersOfRead;
    const std::vector<std::string> &readersOrPeers
            = sources.readers.empty() ? peers : sources.readers;
    const std::vector<std::string> &from = asksStandIn ? sources.standIns : readersOrPeers;
    const time_point now = bootNow();
    for (std::size_t i = 0; i < from.size(); ++i) {
        const std::string &peer = from[next++ % from.size()];
        const auto it = avoidedUntil.find(peer);
        if (it == avoidedUntil.end() || now >= it->second)
            return peer;
    }
    return std::nullopt;
}

milliseconds peer_rows::state::holdOfTry() const
{
    // The first one has taken its time.
    if (tries == 0)
        return hold;
    return tries < readersOfRead ? milliseconds(0) : outdatedHold;
}

bool peer_rows::state::mayTryAgain() const
{
    return tries < readersOfRead + sources.standIns.size();
}

void peer_rows::state::ask()
{
    std::optional<std::string> peer = pick();
    while (!peer && mayTryAgain()) {
        ++tries;
        peer = pick();
    }
    if (!peer) {
        failAll();
        return;
    }
    const milliseconds holdWanted = holdOfTry();
    ++tries;
    http_call request;
    request.url = "http://" + *peer + std::string(rowsPath) + "?tables=" + queryOf(asked)
            + "&hold=" + std::to_string(holdWanted.count());
    request.timeout = holdWanted + peerTimeout;
    request.connectTimeout = peerTimeout;
    call = http.fetch(std::move(request),
                      [this, peer = *peer](const outcome<http_reply, http_error> &reply) {
                          call.reset();
                          onReply(peer, reply);
                      });
}

void peer_rows::state::failAll()
{
    const std::vector<asked_table> failed = std::exchange(asked, {});
    const row_failure why = isAnyoneUp ? row_failure::outdated : row_failure::notDone;
    for (const asked_table &item : failed)
        item.done(failure(why));
}

void peer_rows::state::avoid(const std::string &peer, const outcome<http_reply, http_error> &reply)
{
    // One that is up may have heard from the store by the next time.
    if (reply)
        return;
    const bool startsLater = starting && reply.error() == http_error::notSent;
    avoidedUntil[peer] = bootNow() + (startsLater ? startAvoidance : peerAvoidance);
    logDebug(log_part::fleet, "peer does not answer", {{"peer", peer}});
}

void peer_rows::state::onReply(const std::string &peer,
                               const outcome<http_reply, http_error> &reply)
{
    const bool answered = reply && reply.value().status == http_status::ok;
    metrics.add(answered ? "peer_reads_total{result=\"ok\"}"
                         : "peer_reads_total{result=\"failed\"}");
    isAnyoneUp = isAnyoneUp || reply;
    if (answered)
        takeReply(peer, reply.value().body);
    else
        avoid(peer, reply);
    if (asked.empty() || call)
        return;
    if (mayTryAgain())
        ask();
    else
        failAll();
}

void peer_rows::state::takeReply(const std::string &peer, const std::string &body)
{
    starting = false;
    metrics.add("peer_read_bytes_total", body.size());
    outcome<table_news, std::string> tables = decodeNews(body);
    if (!tables) {
        logWarning(log_part::fleet, "peer's rows refused",
                   {{"peer", peer}, {"fault", tables.error()}});
        return;
    }
    // What this peer has not heard of for too long stays for the next one.
    std::vector<asked_table> answered;
    for (asked_table &item : std::exchange(asked, {})) {
        const auto it = tables.value().find(item.what.table);
        const bool isFresh = it != tables.value().end() && it->second.age <= mirror.freshness();
        (isFresh ? answered : asked).push_back(std::move(item));
    }
    for (const asked_table &item : answered)
        item.done(taken(item.what.table, tables.value().at(item.what.table)));
}

row_news peer_rows::state::taken(const std::string &table, const aged_news &found)
{
    metrics.set("rows_age_ms{table=\"" + table + "\"}", static_cast<double>(found.age.count()));
    mirror.take(table, found.news.batch, found.news.whole, bootNow() - found.age);
    return found.news;
}

void peer_rows::state::serve(const message_head &head, caller_exchange &exchange)
{
    const std::string_view target = head.target;
    const std::size_t query = target.find('?');
    if (target.substr(0, query) != rowsPath || query == std::string_view::npos) {
        exchange.reply(http_status::notFound, {}, "");
        return;
    }
    const std::string_view parameters = target.substr(query + 1);
    std::vector<table_since> tables = tablesIn(queryValue(parameters, "tables"));
    const milliseconds wanted = holdIn(queryValue(parameters, "hold"));
    const milliseconds time = std::min(wanted, longestHoldOf(tables));
    if (time.count() > 0)
        holdRead(std::move(tables), exchange, time);
    else
        answer(tables, exchange);
}

/// \returns how long an answer may wait: until the rows would be outdated when no table has news,
/// or one was not read yet by this process, which starts; a moment when one is outdated.
milliseconds peer_rows::state::longestHoldOf(const std::vector<table_since> &tables)
{
    bool hasNews = false;
    bool isOutdated = false;
    bool isUnknown = false;
    milliseconds oldest{0};
    for (const table_since &item : tables) {
        const news_state state = mirror.look(item.table, item.since, bootNow());
        isUnknown = isUnknown || !state.isKnown;
        isOutdated = isOutdated || state.isOutdated;
        hasNews = hasNews || state.hasNews;
        oldest = std::max(oldest, state.age);
    }
    if (isOutdated)
        return outdatedHold;
    return isUnknown || !hasNews ? mirror.freshness() - oldest : milliseconds(0);
}

void peer_rows::state::holdRead(std::vector<table_since> tables, caller_exchange &exchange,
                                milliseconds time)
{
    held.push_back({std::move(tables), exchange, 0});
    const auto item = std::prev(held.end());
    item->timer = runtime.after(time, [this, item] {
        answer(item->tables, item->exchange);
        held.erase(item);
    });
    exchange.onLeft([this, item] {
        runtime.cancel(item->timer);
        held.erase(item);
    });
}

packed_news peer_rows::state::packedNews(const std::string &table, aged_news news)
{
    packed_news result{table, std::move(news), {}};
    const row_batch &batch = result.about.news.batch;
    if (!result.about.news.whole) {
        result.rows = packRows(batch.rows);
        return result;
    }
    // Entries that start together ask for the same table.
    packed_table &kept = packed[table];
    if (kept.changedAt != result.about.changedAt)
        kept = {result.about.changedAt, packRows(batch.rows)};
    result.rows = kept.rows;
    return result;
}

void peer_rows::state::answer(const std::vector<table_since> &tables, caller_exchange &exchange)
{
    std::vector<packed_news> found;
    for (const table_since &item : tables) {
        std::optional<aged_news> news = mirror.read(item.table, item.since, bootNow());
        if (news)
            found.push_back(packedNews(item.table, std::move(*news)));
    }
    if (found.empty()) {
        exchange.reply(http_status::unavailable, {}, "");
        return;
    }
    const std::string bytes = encodeNews(found);
    metrics.add("peer_served_bytes_total", bytes.size());
    exchange.reply(http_status::ok, {}, bytes);
}

void peer_rows::state::noteChange()
{
    if (held.empty() || std::exchange(changeNoted, true))
        return;
    runtime.after(gathering, [this] {
        changeNoted = false;
        answerHeld();
    });
}

void peer_rows::state::answerHeld()
{
    for (auto item = held.begin(); item != held.end();) {
        const auto current = item++;
        if (longestHoldOf(current->tables).count() > 0)
            continue;
        runtime.cancel(current->timer);
        answer(current->tables, current->exchange);
        held.erase(current);
    }
}
