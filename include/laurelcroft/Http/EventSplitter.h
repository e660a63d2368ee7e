//===-- Http/EventSplitter.h - whole events of a stream ----------*- C++ -*-===//
//
// Cuts a text/event-stream into whole events. What stands after the last whole event
// is kept back: an endpoint may break off in the middle of one.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_HTTP_EVENTSPLITTER_H
#define LAURELCROFT_HTTP_EVENTSPLITTER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// One event as it came, with the empty line that ends it.
struct stream_event
{
    std::string_view text;
    std::optional<std::uint64_t> id; ///< if it has a numeric one
};

/// Splits the bytes of one stream.
class event_splitter
{
public:
    /// \param onEvent is called for each whole event, in order.
    void feed(std::string_view bytes, const std::function<void(const stream_event &)> &onEvent);

    /// \returns true when no part of an event is kept back.
    bool atBoundary() const { return m_rest.empty(); }

private:
    std::string m_rest;
    std::size_t m_scanned = 0;
};

} // namespace laurelcroft

#endif
