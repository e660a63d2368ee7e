//===-- CandidateSample.cpp - few of many endpoints -------------------------===//
//
// One pass over small records finds the homes; a window from a drawn place on gives the rest.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/CandidateSample.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

using namespace laurelcroft;

namespace {

/// The indices that rank first, in order.
class top_ranks
{
public:
    void offer(std::uint64_t rank, std::size_t index)
    {
        std::pair<std::uint64_t, std::size_t> item{rank, index};
        for (auto &[kept, isSet] : m_kept) {
            if (!isSet || item.first > kept.first)
                std::swap(item, kept);
            else
                continue;
            if (!std::exchange(isSet, true))
                return;
        }
    }
    void appendTo(std::vector<std::size_t> &indices) const
    {
        for (const auto &[kept, isSet] : m_kept) {
            if (isSet)
                indices.push_back(kept.second);
        }
    }

private:
    using ranked = std::pair<std::uint64_t, std::size_t>;
    std::array<std::pair<ranked, bool>, homeRanks> m_kept{};
};

} // namespace

std::uint64_t laurelcroft::homeRank(std::uint64_t idHash, std::uint64_t prompt)
{
    // The finaliser of splitmix64.
    std::uint64_t hash = idHash ^ prompt;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}

static void addHomes(std::span<const sampled_endpoint> endpoints, std::uint64_t prompt,
                     std::vector<std::size_t> &indices)
{
    top_ranks anywhere;
    top_ranks near;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        const std::uint64_t rank = homeRank(endpoints[i].idHash, prompt);
        anywhere.offer(rank, i);
        if (endpoints[i].sameDataCentre)
            near.offer(rank, i);
    }
    anywhere.appendTo(indices);
    near.appendTo(indices);
}

std::vector<std::size_t> laurelcroft::sampleCandidates(std::span<const sampled_endpoint> endpoints,
                                                       std::optional<std::uint64_t> prompt,
                                                       std::uint64_t draw)
{
    std::vector<std::size_t> indices;
    if (endpoints.size() <= mostCandidates) {
        indices.resize(endpoints.size());
        std::iota(indices.begin(), indices.end(), std::size_t(0));
        return indices;
    }
    indices.reserve(mostCandidates);
    if (prompt)
        addHomes(endpoints, *prompt, indices);
    std::size_t elsewhere = 0;
    std::size_t at = draw % endpoints.size();
    for (std::size_t seen = 0; seen < endpoints.size(); ++seen) {
        if (indices.size() >= mostCandidates - 2 * homeRanks)
            break;
        const bool isNear = endpoints[at].sameDataCentre;
        if (isNear || elsewhere < mostElsewhere)
            indices.push_back(at);
        elsewhere += isNear ? 0 : 1;
        at = at + 1 == endpoints.size() ? 0 : at + 1;
    }
    std::sort(indices.begin(), indices.end());
    indices.erase(std::unique(indices.begin(), indices.end()), indices.end());
    return indices;
}
