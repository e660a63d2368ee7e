//===-- CandidateSample.cpp - bounded candidate sample --------------------===//
//
// A single pass over the endpoints finds the homes; consecutive endpoints from a random offset on
// give the rest.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/CandidateSample.h"

#include "laurelcroft/Support/Crypto.h"

#include <algorithm>
#include <numeric>
#include <utility>

using namespace laurelcroft;

namespace {

/// The indices of the highest ranks, in descending order.
class top_ranks
{
public:
    void offer(std::uint64_t rank, std::size_t index)
    {
        const bool isFull = m_kept.size() == homesPerScope;
        if (isFull && rank <= m_kept.back().first)
            return;
        if (isFull)
            m_kept.pop_back();
        const auto place = std::find_if(m_kept.begin(), m_kept.end(),
                                        [&](const auto &kept) { return rank > kept.first; });
        m_kept.insert(place, {rank, index});
    }
    void appendTo(std::vector<std::size_t> &indices) const
    {
        for (const auto &[rank, index] : m_kept)
            indices.push_back(index);
    }

private:
    std::vector<std::pair<std::uint64_t, std::size_t>> m_kept; ///< ranks and indices
};

} // namespace

std::uint64_t laurelcroft::homeRank(std::uint64_t idHash, std::uint64_t prompt)
{
    return mixBits(idHash ^ prompt);
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
    if (endpoints.size() <= maxCandidates) {
        indices.resize(endpoints.size());
        std::iota(indices.begin(), indices.end(), std::size_t(0));
        return indices;
    }
    indices.reserve(maxCandidates);
    if (prompt)
        addHomes(endpoints, *prompt, indices);
    std::size_t elsewhere = 0;
    std::size_t at = draw % endpoints.size();
    for (std::size_t seen = 0; seen < endpoints.size(); ++seen) {
        if (indices.size() >= maxCandidates - 2 * homesPerScope)
            break;
        const bool isNear = endpoints[at].sameDataCentre;
        if (isNear || elsewhere < maxRemoteCandidates)
            indices.push_back(at);
        elsewhere += isNear ? 0 : 1;
        at = at + 1 == endpoints.size() ? 0 : at + 1;
    }
    std::sort(indices.begin(), indices.end());
    indices.erase(std::unique(indices.begin(), indices.end()), indices.end());
    return indices;
}
