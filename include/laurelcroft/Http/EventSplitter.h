//===-- Http/EventSplitter.h - splits an event stream ------------*- C++ -*-===//
//
// Splits a text/event-stream into complete events. Bytes after the last complete event
// are kept until the rest arrives, since an endpoint may fail in the middle of one.
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

/// One event as received, including the empty line that ends it.
struct stream_event
{
    std::string_view text;
    std::optional<std::uint64_t> id; ///< if the event has a numeric one
};

/// Splits one stream into events.
class event_splitter
{
public:
    /// \param onEvent is called for each complete event, in order.
    void feed(std::string_view bytes, const std::function<void(const stream_event &)> &onEvent);

    /// \returns true if no incomplete event is buffered.
    bool atBoundary() const { return m_rest.empty(); }

    /// \returns the bytes of the incomplete event.
    std::size_t heldBytes() const { return m_rest.size(); }

private:
    std::string m_rest;
    std::size_t m_scanned = 0;
};

} // namespace laurelcroft

#endif
