//===-- Fleet/Ranking.h - rendezvous ranking ---------------------*- C++ -*-===//
//
// Who does a duty that nobody is set aside for: each process ranks the live
// members by a hash of member and duty, and all that see the same members agree.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_RANKING_H
#define LAURELCROFT_FLEET_RANKING_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// \returns the \p count ids that rank first for \p duty, best first.
std::vector<std::string> topRanked(std::span<const std::string> ids, std::string_view duty,
                                   std::size_t count);

/// \returns true when \p id is among the first \p count for \p duty.
bool isTopRanked(std::span<const std::string> ids, std::string_view duty, std::size_t count,
                 std::string_view id);

} // namespace laurelcroft

#endif
