//===-- Proxy/PeerRows.h - rows from and for other entries -------*- C++ -*-===//
//
// Serves this entry's mirror to the others, and asks them when the store turns this
// entry away. Used on one thread.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_PEERROWS_H
#define LAURELCROFT_PROXY_PEERROWS_H

#include "laurelcroft/Http/Client.h"
#include "laurelcroft/Proxy/CallerServer.h"
#include "laurelcroft/Proxy/RowMirror.h"
#include "laurelcroft/Support/Metrics.h"

#include <string>
#include <vector>

namespace laurelcroft {

/// The other entries, as sources of rows.
class peer_rows
{
public:
    /// \param ownAddress "host:port" that \c open listens on.
    peer_rows(asio::io_context &context, http_client &http, row_mirror &mirror,
              metric_registry &metrics, std::string ownAddress);

    /// \returns an empty string, or what failed.
    std::string open();

    /// Peers by "host:port"; this entry's own address is left out.
    void setPeers(std::vector<std::string> peers);

    const std::string &ownAddress() const { return m_ownAddress; }

    /// Asks one peer, another one each time.
    void read(const std::string &table, row_callback<row_batch> done);

private:
    void serve(const message_head &head, caller_exchange &exchange);

    caller_server m_server;
    http_client &m_http;
    row_mirror &m_mirror;
    metric_registry &m_metrics;
    std::string m_ownAddress;
    std::vector<std::string> m_peers;
    std::size_t m_next = 0;
};

} // namespace laurelcroft

#endif
