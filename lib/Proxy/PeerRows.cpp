//===-- PeerRows.cpp - reads rows from peer entries -----------------------===//
//
// Reads of several followers are sent as one request: first to a reader, then to the other reader,
// then to a standby.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PeerRows.h"

#include "laurelcroft/Proxy/RowServer.h"
#include "laurelcroft/Proxy/RowWire.h"
#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/Settings.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <map>
#include <optional>

using namespace laurelcroft;

namespace {

/// Timeout of a request beyond its hold time. Peers are near, so a retry at another peer is faster
/// than a longer wait.
constexpr milliseconds peerTimeout{400};
/// How long a peer that did not answer is avoided: about as long as a restart takes.
constexpr milliseconds peerAvoidTime{3000};
/// The same for a peer that refuses connections while this process starts: all may be starting
/// together, some slightly later.
constexpr milliseconds startAvoidTime{40};
/// Number of readers tried per read before a standby is tried.
constexpr unsigned maxReaderTries = 2;

/// A read that waits for another entry's answer.
struct pending_read
{
    table_since what;
    row_callback<row_update> done;
};

} // namespace

static std::string joinAddresses(const std::vector<std::string> &addresses)
{
    std::string text;
    for (const std::string &address : addresses)
        text += (text.empty() ? "" : ",") + address;
    return text;
}

static std::string tablesQuery(const std::vector<pending_read> &asked)
{
    std::string text;
    for (const pending_read &item : asked) {
        text += text.empty() ? "" : ",";
        text += percentEncoded(item.what.table) + ":" + std::to_string(item.what.since.number) + "@"
                + std::to_string(item.what.since.era);
    }
    return text;
}

struct peer_rows::state
{
    state(asio::io_context &context, http_client &http, row_mirror &mirror,
          metric_registry &metrics, std::string ownAddress, milliseconds hold);

    void noteSources(const row_sources &chosen);
    std::optional<std::string> pickPeer();
    void postAsk();
    void ask();
    milliseconds holdOfTry() const;
    bool mayTryAgain() const;
    void onReply(const std::string &peer, const outcome<http_reply, http_error> &reply);
    void avoid(const std::string &peer, const outcome<http_reply, http_error> &reply);
    void failAll();
    void takeReply(const std::string &peer, const std::string &body);
    row_update takeTable(const table_since &asked, aged_update found);

    asio::io_context &context;
    asio_runtime runtime;
    http_client &http;
    row_mirror &mirror;
    metric_registry &metrics;
    std::string ownAddress;
    milliseconds hold;
    row_server server;

    /// Returns the announcement of this entry.
    std::function<std::optional<entry_announcement>()> announced;
    std::vector<std::string> peers;
    row_sources sources;
    bool asksFirstPeers = false;
    bool starting = true; ///< no peer has answered yet
    std::size_t next = 0;
    std::map<std::string, time_point> avoidedUntil; ///< peers that did not answer
    std::vector<pending_read> pending;
    unsigned tries = 0; ///< attempts to send the pending reads
    bool hasReachablePeer = false; ///< one of the peers tried has answered
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
    , server(context, mirror, metrics)
{
}

peer_rows::peer_rows(asio::io_context &context, http_client &http, row_mirror &mirror,
                     metric_registry &metrics, std::string ownAddress, milliseconds hold)
    : m_state(std::make_unique<state>(context, http, mirror, metrics, std::move(ownAddress), hold))
{
}

peer_rows::~peer_rows() = default;

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

void peer_rows::setAnnouncements(std::function<std::optional<entry_announcement>()> own,
                                 std::function<void(const entry_announcement &)> listener)
{
    m_state->announced = std::move(own);
    m_state->server.setAnnouncementListener(std::move(listener));
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
    // Once the readers are known, do not wait for a silent first peer. Do not wait for any peer if
    // this entry is a reader or a standby.
    if (self.starting && self.call) {
        self.http.cancel(*self.call);
        self.call.reset();
        if (self.sources.readers.empty() || isStandby())
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
            {{"readers", joinAddresses(chosen.readers)},
             {"standbys", joinAddresses(chosen.standbys)}});
}

bool peer_rows::arePreferred() const
{
    return m_state->asksFirstPeers || !m_state->sources.readers.empty();
}

bool peer_rows::isStandby() const
{
    return !m_state->sources.readers.empty() && m_state->sources.standbys.empty();
}

void peer_rows::read(const std::string &table, store_version since, row_callback<row_update> done)
{
    state &self = *m_state;
    self.pending.push_back({{table, since, true}, std::move(done)});
    // Restart the request in progress so that it includes this read.
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
        hasReachablePeer = false;
        ask();
    });
}

std::optional<std::string> peer_rows::state::pickPeer()
{
    const bool asksStandby = tries >= maxReaderTries;
    const std::vector<std::string> &readersOrPeers
            = sources.readers.empty() ? peers : sources.readers;
    const std::vector<std::string> &from = asksStandby ? sources.standbys : readersOrPeers;
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
    // Only the first attempt holds for the full time.
    if (tries == 0)
        return hold;
    return tries < maxReaderTries ? milliseconds(0) : row_server::outdatedHold;
}

bool peer_rows::state::mayTryAgain() const
{
    return tries < maxReaderTries + sources.standbys.size();
}

void peer_rows::state::ask()
{
    std::optional<std::string> peer = pickPeer();
    while (!peer && mayTryAgain()) {
        ++tries;
        peer = pickPeer();
    }
    if (!peer) {
        failAll();
        return;
    }
    const milliseconds holdWanted = holdOfTry();
    ++tries;
    http_call request;
    request.url = "http://" + *peer + std::string(row_server::path)
            + "?tables=" + tablesQuery(pending) + "&hold=" + std::to_string(holdWanted.count());
    if (const auto own = announced ? announced() : std::nullopt)
        request.headers.push_back({std::string(announcementHeader), encodeAnnouncement(*own)});
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
    const std::vector<pending_read> failed = std::exchange(pending, {});
    const row_failure why = hasReachablePeer ? row_failure::outdated : row_failure::notDone;
    for (const pending_read &item : failed)
        item.done(failure(why));
}

void peer_rows::state::avoid(const std::string &peer, const outcome<http_reply, http_error> &reply)
{
    // Don't avoid a peer that is up: it may have current rows by the next attempt.
    if (reply)
        return;
    const bool startsLater = starting && reply.error() == http_error::notSent;
    avoidedUntil[peer] = bootNow() + (startsLater ? startAvoidTime : peerAvoidTime);
    logDebug(log_part::fleet, "peer does not answer", {{"peer", peer}});
}

void peer_rows::state::onReply(const std::string &peer,
                               const outcome<http_reply, http_error> &reply)
{
    const bool answered = reply && reply.value().status == http_status::ok;
    metrics.add(answered ? "peer_reads_total{result=\"ok\"}"
                         : "peer_reads_total{result=\"failed\"}");
    hasReachablePeer = hasReachablePeer || reply;
    if (answered)
        takeReply(peer, reply.value().body);
    else
        avoid(peer, reply);
    if (pending.empty() || call)
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
    outcome<table_updates, std::string> tables = decodeUpdates(body);
    if (!tables) {
        logWarning(log_part::fleet, "peer's rows refused",
                   {{"peer", peer}, {"fault", tables.error()}});
        return;
    }
    // Tables for which this peer has only outdated rows stay pending for the next peer.
    std::vector<pending_read> answered;
    for (pending_read &item : std::exchange(pending, {})) {
        const auto it = tables.value().find(item.what.table);
        const bool isTold = it != tables.value().end();
        const bool isTaken = isTold
                && (it->second.age <= mirror.freshness() || item.what.since == unknownVersion);
        (isTaken ? answered : pending).push_back(std::move(item));
    }
    for (const pending_read &item : answered)
        item.done(takeTable(item.what, std::move(tables.value().at(item.what.table))));
}

row_update peer_rows::state::takeTable(const table_since &asked, aged_update found)
{
    metrics.set("rows_age_ms{table=\"" + asked.table + "\"}",
                static_cast<double>(found.age.count()));
    // An earlier release states no era; its rows count as rows of the era that is known here.
    if (!found.statesEra)
        setEra(found.update.batch, mirror.versionOf(asked.table).era);
    mirror.takeFromPeer(asked.table, found, bootNow());
    return std::move(found.update);
}
