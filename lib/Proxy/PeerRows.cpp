//===-- PeerRows.cpp - rows from and for other entries ----------------------===//
//
// One path: /rows?table=NAME.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PeerRows.h"

#include "laurelcroft/Fleet/Ranking.h"
#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/Settings.h"

#include <algorithm>
#include <charconv>

using namespace laurelcroft;

namespace {

constexpr std::string_view rowsPath = "/rows";
/// Peers are near; one that doesn't answer is not asked for longer than a retry takes.
constexpr milliseconds peerTimeout{400};
/// A peer that did not answer is left out this long: a restart takes about as much.
constexpr milliseconds peerAvoidance{3000};

} // namespace

std::vector<std::string> laurelcroft::readersFor(const entry_map &entries, const std::string &own)
{
    const auto self = entries.find(own);
    if (self == entries.end())
        return {};
    std::vector<std::string> names;
    for (const auto &[name, place] : entries) {
        if (!place.address.empty())
            names.push_back(name);
    }
    const std::size_t count
            = std::max(fewestReaders, (names.size() + entriesOfReader - 1) / entriesOfReader);
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const std::string &name : rankFirst(names, "store reader", count)) {
        if (name == own)
            return {};
        const bool isNear = entries.at(name).dataCentre == self->second.dataCentre;
        (isNear ? near : far).push_back(name);
    }
    // Ranked by the asking entry, so that the readers share the others between them.
    std::vector<std::string> asked = rankFirst(near, own, fewestReaders);
    for (std::string &name : rankFirst(far, own, fewestReaders - asked.size()))
        asked.push_back(std::move(name));
    std::vector<std::string> addresses;
    addresses.reserve(asked.size());
    for (const std::string &name : asked)
        addresses.push_back(entries.at(name).address);
    return addresses;
}

peer_rows::peer_rows(asio::io_context &context, http_client &http, row_mirror &mirror,
                     metric_registry &metrics, std::string ownAddress)
    : m_server(context,
               [this](message_head &&head, std::string &&, caller_exchange exchange) {
                   serve(head, exchange);
               })
    , m_http(http)
    , m_mirror(mirror)
    , m_metrics(metrics)
    , m_ownAddress(std::move(ownAddress))
{
}

std::string peer_rows::open()
{
    std::string host;
    std::uint16_t port = 0;
    if (!splitAddress(m_ownAddress, host, port))
        return "not of the form host:port";
    return m_server.open(host, port);
}

void peer_rows::setPeers(std::vector<std::string> peers)
{
    std::erase(peers, m_ownAddress);
    m_peers = std::move(peers);
}

std::optional<std::string> peer_rows::pick(const std::vector<std::string> &from)
{
    const time_point now = bootNow();
    for (std::size_t i = 0; i < from.size(); ++i) {
        const std::string &peer = from[m_next++ % from.size()];
        const auto it = m_avoidedUntil.find(peer);
        if (it == m_avoidedUntil.end() || now >= it->second)
            return peer;
    }
    return std::nullopt;
}

void peer_rows::serve(const message_head &head, caller_exchange &exchange)
{
    const std::string_view target = head.target;
    const std::size_t query = target.find('?');
    if (target.substr(0, query) != rowsPath || query == std::string_view::npos) {
        exchange.reply(http_status::notFound, {}, "");
        return;
    }
    const std::string_view parameters = target.substr(query + 1);
    std::uint64_t since = 0;
    const std::string sinceText = queryValue(parameters, "since");
    std::from_chars(sinceText.data(), sinceText.data() + sinceText.size(), since);
    const std::optional<aged_news> news
            = m_mirror.read(queryValue(parameters, "table"), since, bootNow());
    if (news)
        exchange.reply(http_status::ok, {}, encodeNews(*news));
    else
        exchange.reply(http_status::unavailable, {}, "");
}

void peer_rows::read(const std::string &table, std::uint64_t since, row_callback<row_news> done)
{
    const std::vector<std::string> &asked = m_readers.empty() ? m_peers : m_readers;
    const std::optional<std::string> picked = pick(asked);
    if (!picked) {
        done(failure(row_failure::notDone));
        return;
    }
    const std::string &peer = *picked;
    http_call call;
    call.url = "http://" + peer + std::string(rowsPath) + "?table=" + percentEncoded(table)
            + "&since=" + std::to_string(since);
    call.timeout = peerTimeout;
    call.connectTimeout = peerTimeout;
    m_http.fetch(
            std::move(call),
            [this, peer, table, done = std::move(done)](outcome<http_reply, http_error> reply) {
                done(newsIn(peer, table, reply));
            });
}

outcome<row_news, row_failure> peer_rows::newsIn(const std::string &peer, const std::string &table,
                                                 const outcome<http_reply, http_error> &reply)
{
    const bool answered = reply && reply.value().status == http_status::ok;
    m_metrics.add(answered ? "peer_reads_total{result=\"ok\"}"
                           : "peer_reads_total{result=\"failed\"}");
    if (!answered) {
        m_avoidedUntil[peer] = bootNow() + peerAvoidance;
        logDebug(log_part::fleet, "peer has no rows", {{"peer", peer}, {"table", table}});
        return failure(row_failure::notDone);
    }
    outcome<aged_news, std::string> news = decodeNews(reply.value().body);
    if (!news) {
        logWarning(log_part::fleet, "peer's rows refused",
                   {{"peer", peer}, {"table", table}, {"fault", news.error()}});
        return failure(row_failure::unknown);
    }
    if (news.value().age > row_mirror::freshness)
        return failure(row_failure::notDone);
    m_mirror.take(table, news.value().news.batch, news.value().news.whole,
                  bootNow() - news.value().age);
    return std::move(news.value().news);
}
