//===-- Proxy/RowServer.h - rows for other entries ---------------*- C++ -*-===//
//
// Gives this entry's mirror to the others. A read that has no news is held until there are some.
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

/// A table and the version from which on its changes are asked for.
struct table_since
{
    std::string table;
    std::uint64_t since = 0;
};

/// Header of a read whose sender asks to be listed.
inline constexpr std::string_view announcementHeader = "Entry-Announcement";

/// Answers GET /rows?tables=NAME:SINCE,NAME:SINCE&hold=MS. One thread.
class row_server
{
public:
    static constexpr std::string_view path = "/rows";
    /// A read whose rows are outdated here is held this long: a standby needs a call to the store
    /// before it can help.
    static constexpr milliseconds outdatedHold{100};

    /// \param mirror outlives this.
    row_server(asio::io_context &context, row_mirror &mirror, metric_registry &metrics);
    ~row_server();
    row_server(const row_server &) = delete;
    row_server &operator=(const row_server &) = delete;

    /// \returns an empty string, or what failed.
    std::string open(const std::string &host, std::uint16_t port);

    /// The port in use, after open().
    std::uint16_t port() const;

    /// \param listener is told of entries that ask to be listed.
    void setAnnouncementListener(std::function<void(const entry_announcement &)> listener);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
