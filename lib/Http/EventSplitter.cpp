//===-- EventSplitter.cpp - splits an event stream --------------------------===//
//
// An event ends with an empty line. Lines end with LF or CR LF.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Http/EventSplitter.h"

#include <charconv>

using namespace laurelcroft;

/// Finds the end of the event that starts at offset 0. The bytes before \p from were searched
/// earlier.
/// \returns the offset after the empty line that ends the event; npos if it is incomplete.
static std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    // The line end before the empty line may lie within the bytes that were searched earlier.
    constexpr std::size_t overlap = 3;
    std::size_t at = from > overlap ? from - overlap : 0;
    while ((at = text.find('\n', at)) != std::string_view::npos) {
        std::size_t next = at + 1;
        if (next < text.size() && text[next] == '\r')
            ++next;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
        ++at;
    }
    return std::string_view::npos;
}

static std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t value = 0;
        const auto result = std::from_chars(line.data(), line.data() + line.size(), value);
        if (result.ec == std::errc())
            return value;
    }
    return std::nullopt;
}

void event_splitter::feed(std::string_view bytes,
                          const std::function<void(const stream_event &)> &onEvent)
{
    m_rest.append(bytes);
    std::string_view text = m_rest;
    std::size_t taken = 0;
    std::size_t end = 0;
    while ((end = endOfEvent(text, m_scanned)) != std::string_view::npos) {
        const std::string_view event = text.substr(0, end);
        onEvent({event, idOf(event)});
        text.remove_prefix(end);
        taken += end;
        m_scanned = 0;
    }
    m_rest.erase(0, taken);
    m_scanned = m_rest.size();
}
