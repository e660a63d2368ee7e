//===-- MemoryBudget.cpp - memory held for slow peers ---------------------===//
//
// Shares of the pool, and the order in which requests are refused and connections released.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/MemoryBudget.h"

#include <algorithm>
#include <tuple>

using namespace laurelcroft;

namespace {

/// Divides the budget; the quotient is shared by connections in proportion to what is free of it.
constexpr std::size_t poolDivisor = 2;
/// Part of the budget above which the least urgent requests are refused. The rest is kept for more
/// urgent ones, each urgency level having an equal part of it.
constexpr double pressedPart = 0.75;

} // namespace

std::size_t memory_budget::shareOf(std::size_t held) const
{
    const std::size_t pool = m_total / poolDivisor;
    return std::max(minShare, pool - std::min(pool, held));
}

bool memory_budget::admits(int urgency, std::size_t held) const
{
    const double ahead = std::clamp(minUrgency - urgency, 0, minUrgency);
    const double part = pressedPart + (1 - pressedPart) * ahead / minUrgency;
    return static_cast<double>(held) <= part * static_cast<double>(m_total);
}

bool memory_budget::isPressed(std::size_t held) const
{
    return !admits(minUrgency, held);
}

std::optional<std::size_t> memory_budget::nextToRelease(std::span<const memory_holder> holders,
                                                        time_point now) const
{
    const auto rank = [now](const memory_holder &holder) {
        return std::tuple(holder.urgency, now - holder.progressAt, holder.bytes);
    };
    std::optional<std::size_t> first;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const bool isStalled = now - holders[i].progressAt >= stallTimeout;
        if (isStalled && (!first || rank(holders[i]) > rank(holders[*first])))
            first = i;
    }
    return first;
}
