//===-- Proxy/RowServer.h - serves rows to other entries --------*- C++ -*-===//
//
// Serves this entry's row mirror to other entries. A read that has no changes is held until there
// are some.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROWSERVER_H
#define LAURELCROFT_PROXY_ROWSERVER_H

#include "laurelcroft/Proxy/EntryAnnouncement.h"
#include "laurelcroft/Proxy/RowMirror.h"
#include "laurelcroft/Support/Metrics.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace laurelcroft {

/// A table, and the version since which its changes are requested.
struct table_since
{
    std::string table;
    store_version since{};
    /// False for a request of an earlier release, whose answer must not state an era either.
    bool statesEra = true;
};

/// Header that announces a sender that is not listed yet.
inline constexpr std::string_view announcementHeader = "Entry-Announcement";

/// Answers GET /rows?tables=NAME:NUMBER@ERA,NAME:NUMBER@ERA&hold=MS. Not thread-safe.
class row_server
{
public:
    static constexpr std::string_view path = "/rows";
    /// How long a read of outdated rows is held: a standby needs one call to the store before it
    /// can answer.
    static constexpr milliseconds outdatedHold{100};

    /// \param mirror must outlive this object.
    row_server(asio::io_context &context, row_mirror &mirror, metric_registry &metrics);
    ~row_server();
    row_server(const row_server &) = delete;
    row_server &operator=(const row_server &) = delete;

    /// \returns an empty string, or an error message.
    std::string open(const std::string &host, std::uint16_t port);

    /// \returns the port in use, after open().
    std::uint16_t port() const;

    /// \param listener called for each announcement of an entry that is not listed.
    void setAnnouncementListener(std::function<void(const entry_announcement &)> listener);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
