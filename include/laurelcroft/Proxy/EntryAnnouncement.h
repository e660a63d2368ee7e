//===-- Proxy/EntryAnnouncement.h - registration of new entries --*- C++ -*-===//
//
// An entry without a row announces itself in its read requests to other entries. The entry that is
// asked writes the rows of all recent announcements in one batch, so that registering a fleet that
// starts together takes a few store calls instead of one per entry.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ENTRYANNOUNCEMENT_H
#define LAURELCROFT_PROXY_ENTRYANNOUNCEMENT_H

#include "laurelcroft/Proxy/RolloutRows.h"

#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Address and wall time of an entry, sent before it knows the store's clock.
struct entry_announcement
{
    std::string entry;
    entry_info place; ///< without timestamps
    milliseconds wallTime{0}; ///< wall time at the sender
};

std::string encodeAnnouncement(const entry_announcement &announcement);
/// \returns nothing if \p bytes are not a valid announcement.
std::optional<entry_announcement> decodeAnnouncement(std::string_view bytes);

} // namespace laurelcroft

#endif
