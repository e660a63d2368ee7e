//===-- Proxy/PeerRows.h - rows from and for other entries -------*- C++ -*-===//
//
// Serves this entry's mirror to the others, and asks them: when the store turns this entry
// away, and always where enough others read the store. One thread.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_PEERROWS_H
#define LAURELCROFT_PROXY_PEERROWS_H

#include "laurelcroft/Http/Client.h"
#include "laurelcroft/Proxy/EntryAnnouncement.h"
#include "laurelcroft/Proxy/RowMirror.h"
#include "laurelcroft/Proxy/StoreReaders.h"
#include "laurelcroft/Support/Metrics.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laurelcroft {

/// The other entries, as sources of rows.
class peer_rows
{
public:
    /// \param ownAddress "host:port" that \c open listens on.
    /// \param hold how long another entry may hold a read that has no news.
    peer_rows(asio::io_context &context, http_client &http, row_mirror &mirror,
              metric_registry &metrics, std::string ownAddress, milliseconds hold);
    ~peer_rows();

    /// \returns an empty string, or what failed.
    std::string open();

    /// Peers that are asked while the readers are not known, by "host:port"; this entry's own
    /// address is left out.
    void setPeers(std::vector<std::string> peers);

    /// Peers of a process that starts. It asks them before the store, unless it is one of them:
    /// those read the store for the others.
    void setFirstPeers(const std::vector<std::string> &peers);

    /// The port in use, after open().
    std::uint16_t port() const;

    /// Entries that read the store for this one; none when it reads itself.
    void setSources(row_sources sources);

    /// \param own tells what is announced with reads while this entry is not listed; \param
    /// listener is told of other entries that are not.
    void setAnnouncements(std::function<std::optional<entry_announcement>()> own,
                          std::function<void(const entry_announcement &)> listener);

    /// \returns true while other entries are asked before the store.
    bool arePreferred() const;

    /// \returns true when this entry asks the store at once while its readers are outdated.
    bool isStandby() const;

    /// Asks a reader, or any peer when there is none; another one each time. Reads that come
    /// together go as one.
    void read(const std::string &table, std::uint64_t since, row_callback<row_news> done);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
