//===-- Ranking.cpp - rendezvous ranking ------------------------------------===//
//
// When a member leaves, only the duties that it had are reassigned.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/Ranking.h"

#include "laurelcroft/Support/Crypto.h"

#include <algorithm>
#include <utility>

using namespace laurelcroft;

std::vector<std::string> laurelcroft::topRanked(std::span<const std::string> ids,
                                                std::string_view duty, std::size_t count)
{
    const std::uint64_t seed = stableHash(duty);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(ids.size());
    for (const std::string &id : ids)
        ranked.emplace_back(stableHash(id, seed), id);
    const std::size_t kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end());
    std::vector<std::string> first;
    for (std::size_t i = 0; i < kept; ++i)
        first.push_back(std::move(ranked[i].second));
    return first;
}

bool laurelcroft::isTopRanked(std::span<const std::string> ids, std::string_view duty,
                              std::size_t count, std::string_view id)
{
    const std::vector<std::string> first = topRanked(ids, duty, count);
    return std::find(first.begin(), first.end(), id) != first.end();
}
