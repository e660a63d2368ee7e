//===-- Proxy/EntryAnnouncement.h - an entry asks to be listed ---*- C++ -*-===//
//
// An entry that has no row yet says so with its reads of other entries. Whoever is asked writes the
// rows of all that came in the meantime at once: a fleet that starts together is listed by a few
// calls to the store, not by one for each entry.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ENTRYANNOUNCEMENT_H
#define LAURELCROFT_PROXY_ENTRYANNOUNCEMENT_H

#include "laurelcroft/Proxy/RolloutRows.h"

#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// An entry and its place, as it tells them before it knows the store's clock.
struct entry_announcement
{
    std::string entry;
    entry_info place; ///< without times
    milliseconds wallTime{0}; ///< its time of day
};

std::string encodeAnnouncement(const entry_announcement &announcement);
/// \returns nothing for bytes that are none.
std::optional<entry_announcement> decodeAnnouncement(std::string_view bytes);

} // namespace laurelcroft

#endif
