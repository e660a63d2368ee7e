//===-- RateShare.cpp - sharing a bounded request rate --------------------===//
//
// Entries with the same view of the fleet agree on the owners. While an entry starts or ends, two
// entries may both act as the same owner; the total then exceeds the endpoint's rate by one share.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/RateShare.h"

#include "laurelcroft/Fleet/Ranking.h"
#include "laurelcroft/Support/Crypto.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

using namespace laurelcroft;

namespace {

/// Minimum delay before an entry without a share of a rate limit checks it.
constexpr seconds minCheckDelay{10};
/// Fraction of a rate limit that the checks of all entries together may use.
constexpr double checkFraction = 0.25;
/// Requests per second; lower limits are checked as if they were this high. Otherwise an endpoint
/// with a limit of 0 would get no request whose response could raise the limit.
constexpr double minCheckedRate = 0.1;

} // namespace

double laurelcroft::rateShareOf(std::string_view endpoint, double perSecond, std::size_t owners,
                                std::span<const std::string> entries, std::string_view own)
{
    if (entries.empty() || perSecond <= 0)
        return 0;
    const std::size_t ownerCount = std::clamp<std::size_t>(owners, 1, entries.size());
    if (!isTopRanked(entries, endpoint, ownerCount, own))
        return 0;
    return perSecond / static_cast<double>(ownerCount);
}

/// \returns one owner for each whole request per second, at most \p most.
static std::size_t wholeOwners(double perSecond, std::size_t most)
{
    return static_cast<std::size_t>(std::min(std::floor(perSecond), static_cast<double>(most)));
}

double laurelcroft::coldShareOf(std::string_view endpoint, double perSecond,
                                std::span<const std::string> entries, std::string_view own)
{
    const std::size_t owners
            = wholeOwners(std::max(0.0, perSecond / coldShareOfOwner), entries.size());
    return rateShareOf(endpoint, perSecond, owners, entries, own);
}

double laurelcroft::possiblyColdShareOf(std::string_view endpoint, double perSecond,
                                        std::span<const std::string> entries, std::string_view own)
{
    if (std::find(entries.begin(), entries.end(), own) == entries.end())
        return 1;
    const double total = possiblyColdRatio * perSecond + possiblyColdExtra;
    const std::size_t owners = wholeOwners(std::max(0.0, total), entries.size());
    const double share = rateShareOf(endpoint, total, owners, entries, own);
    return owners > 1 ? std::floor(share) : share;
}

double laurelcroft::limitShareOf(std::string_view endpoint, double perSecond,
                                 std::span<const std::string> entries, std::string_view own)
{
    const std::size_t owners = wholeOwners(std::max(0.0, perSecond), entries.size()) + spareOwners;
    return rateShareOf(endpoint, perSecond, owners, entries, own);
}

limit_check_delays laurelcroft::limitCheckDelaysOf(std::string_view endpoint, double perSecond,
                                                   std::size_t entries, std::string_view own)
{
    // Spreads the checks over time, since all entries learn of the limit at nearly the same moment.
    constexpr std::uint64_t steps = 1 << 16;
    const double fraction = static_cast<double>(stableHash(endpoint, stableHash(own)) % steps)
            / static_cast<double>(steps);
    const double checksPerSecond = checkFraction * std::max(minCheckedRate, perSecond);
    const std::chrono::duration<double> interval(static_cast<double>(entries) / checksPerSecond);
    return {minCheckDelay + std::chrono::duration_cast<duration>(fraction * interval),
            std::chrono::duration_cast<duration>(interval)};
}
