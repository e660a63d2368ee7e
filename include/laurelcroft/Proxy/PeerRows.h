//===-- Proxy/PeerRows.h - rows from and for other entries -------*- C++ -*-===//
//
// Serves this entry's mirror to the others, and asks them: when the store turns this entry
// away, and always where enough others read the store. One thread.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_PEERROWS_H
#define LAURELCROFT_PROXY_PEERROWS_H

#include "laurelcroft/Http/Client.h"
#include "laurelcroft/Proxy/CallerServer.h"
#include "laurelcroft/Proxy/RolloutRows.h"
#include "laurelcroft/Proxy/RowMirror.h"
#include "laurelcroft/Support/Metrics.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laurelcroft {

/// Entries that read the store for the others. Calls to it have a price, and two may be
/// asked by turns, so that one may be gone or cut off.
inline constexpr std::size_t fewestReaders = 2;
/// Entries for each reader at most: each asks three times a second for each of three tables.
inline constexpr std::size_t entriesOfReader = 16;

/// \returns the addresses of two entries that read the store for \p own, those of its own data
/// centre first; empty when it reads the store itself.
std::vector<std::string> readersFor(const entry_map &entries, const std::string &own);

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

    /// The port in use, after open().
    std::uint16_t port() const { return m_server.port(); }

    /// Entries that read the store for this one; empty when it reads itself.
    void setReaders(std::vector<std::string> readers) { m_readers = std::move(readers); }
    bool hasReaders() const { return !m_readers.empty(); }

    /// Asks a reader, or any peer when there is none; another one each time.
    void read(const std::string &table, std::uint64_t since, row_callback<row_news> done);

private:
    std::optional<std::string> pick(const std::vector<std::string> &from);
    void serve(const message_head &head, caller_exchange &exchange);
    outcome<row_news, row_failure> newsIn(const std::string &peer, const std::string &table,
                                          const outcome<http_reply, http_error> &reply);

    caller_server m_server;
    http_client &m_http;
    row_mirror &m_mirror;
    metric_registry &m_metrics;
    std::string m_ownAddress;
    std::vector<std::string> m_peers;
    std::vector<std::string> m_readers;
    std::size_t m_next = 0;
    std::map<std::string, time_point> m_avoidedUntil; ///< peers that did not answer
};

} // namespace laurelcroft

#endif
