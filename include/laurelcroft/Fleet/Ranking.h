//===-- Fleet/Ranking.h - rendezvous ranking ---------------------*- C++ -*-===//
//
// Assigns duties to members without coordination: each process ranks the live members
// by a hash of member and duty. Processes that see the same members get the same ranks.
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

/// \returns the first \p count ids in the ranking for \p duty, in rank order.
std::vector<std::string> topRanked(std::span<const std::string> ids, std::string_view duty,
                                   std::size_t count);

/// \returns true when \p id is among the first \p count ids in the ranking for \p duty.
bool isTopRanked(std::span<const std::string> ids, std::string_view duty, std::size_t count,
                 std::string_view id);

} // namespace laurelcroft

#endif
