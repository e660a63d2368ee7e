//===-- Proxy/PeerRows.h - reads rows from peer entries ---------*- C++ -*-===//
//
// Serves this entry's row mirror to other entries and reads rows from theirs: always when enough
// entries read the store, otherwise only while the store is unavailable to this entry. Not
// thread-safe.
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

/// Exchanges rows with the other entries.
class peer_rows
{
public:
    /// \param ownAddress "host:port" that \c open listens on.
    /// \param hold how long a peer may hold a read that has no changes.
    peer_rows(asio::io_context &context, http_client &http, row_mirror &mirror,
              metric_registry &metrics, std::string ownAddress, milliseconds hold);
    ~peer_rows();

    /// \returns an empty string, or an error message.
    std::string open();

    /// Sets the peers ("host:port") that are read from while the readers are unknown. This entry's
    /// own address is left out.
    void setPeers(std::vector<std::string> peers);

    /// Sets the peers of a process that is starting. It reads from them before it reads the store,
    /// unless it is one of them: those read the store for the others.
    void setFirstPeers(const std::vector<std::string> &peers);

    /// \returns the port in use, after open().
    std::uint16_t port() const;

    /// Sets the entries that this one reads from; none when it reads the store itself.
    void setSources(row_sources sources);

    /// \param own returns the announcement to send with reads while this entry is not listed.
    /// \param listener is called for each announcement from another entry.
    void setAnnouncements(std::function<std::optional<entry_announcement>()> own,
                          std::function<void(const entry_announcement &)> listener);

    /// \returns true while other entries are read before the store.
    bool arePreferred() const;

    /// \returns true when this entry reads the store at once if its readers' rows are outdated.
    bool isStandby() const;

    /// Reads from a reader, or from any peer when there is none; successive reads rotate through
    /// them. Reads issued together are sent as one request.
    void read(const std::string &table, store_version since, row_callback<row_update> done);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
