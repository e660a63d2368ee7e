//===-- PeerRows.cpp - rows from and for other entries ----------------------===//
//
// One path: /rows?table=NAME.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PeerRows.h"

#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/Settings.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

constexpr std::string_view rowsPath = "/rows";
/// Peers are near; one that doesn't answer is not asked for longer than a retry takes.
constexpr milliseconds peerTimeout{400};

} // namespace

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

void peer_rows::serve(const message_head &head, caller_exchange &exchange)
{
    const std::string_view target = head.target;
    const std::size_t query = target.find('?');
    if (target.substr(0, query) != rowsPath || query == std::string_view::npos) {
        exchange.reply(http_status::notFound, {}, "");
        return;
    }
    const std::string table = queryValue(target.substr(query + 1), "table");
    const std::optional<row_batch> batch = m_mirror.read(table, bootNow());
    if (batch)
        exchange.reply(http_status::ok, {}, encodeRows(*batch));
    else
        exchange.reply(http_status::unavailable, {}, "");
}

void peer_rows::read(const std::string &table, row_callback<row_batch> done)
{
    if (m_peers.empty()) {
        done(failure(row_failure::notDone));
        return;
    }
    const std::string peer = m_peers[m_next++ % m_peers.size()];
    http_call call;
    call.url = "http://" + peer + std::string(rowsPath) + "?table=" + percentEncoded(table);
    call.timeout = peerTimeout;
    call.connectTimeout = peerTimeout;
    m_http.fetch(std::move(call), [this, peer, table, done = std::move(done)](
                                          outcome<http_reply, http_error> reply) {
        const bool answered = reply && reply.value().status == http_status::ok;
        m_metrics.add(answered ? "peer_reads_total{result=\"ok\"}"
                               : "peer_reads_total{result=\"failed\"}");
        if (!answered) {
            logDebug(log_part::fleet, "peer has no rows", {{"peer", peer}, {"table", table}});
            done(failure(row_failure::notDone));
            return;
        }
        outcome<row_batch, std::string> batch = decodeRows(reply.value().body);
        if (batch) {
            done(std::move(batch.value()));
            return;
        }
        logWarning(log_part::fleet, "peer's rows refused",
                   {{"peer", peer}, {"table", table}, {"fault", batch.error()}});
        done(failure(row_failure::unknown));
    });
}
