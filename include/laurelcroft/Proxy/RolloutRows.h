//===-- Proxy/RolloutRows.h - rows that entries share ------------*- C++ -*-===//
//
// Keys and values of the table that belongs to laurelcroft itself.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROLLOUTROWS_H
#define LAURELCROFT_PROXY_ROLLOUTROWS_H

#include "laurelcroft/Policy/ServiceRollout.h"
#include "laurelcroft/Support/Outcome.h"

#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// The table of laurelcroft's own rows.
inline constexpr std::string_view ownTable = "laurelcroft";

std::string rolloutKey(std::string_view service);
std::string entryKey(std::string_view entry);

/// \returns the service of a roll-out's key; nothing for other keys.
std::optional<std::string> serviceOfKey(std::string_view key);
/// \returns the entry of an entry's key; nothing for other keys.
std::optional<std::string> entryOfKey(std::string_view key);

std::string encodeRollout(const rollout_row &row);
outcome<rollout_row, std::string> decodeRollout(const std::string &value);

} // namespace laurelcroft

#endif
