//===-- RepeatRule.h - bound on repeated sends ------------------*- C++ -*-===//
//
// Checks a budget of further sends from the outside: from the times of the callers' requests and of
// the sends that reached endpoints.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_POLICY_REPEATRULE_H
#define LAURELCROFT_UNITTESTS_POLICY_REPEATRULE_H

#include "laurelcroft/Policy/SendBudget.h"

#include <algorithm>
#include <span>

namespace laurelcroft {

/// The rule: in any window, the sends after the first of each request are at most a ratio of the
/// callers' requests plus an allowance. The requests are counted in that window, in the one before
/// it and in the one half a window earlier; the largest count applies.
struct repeat_rule
{
    send_budget_bounds bounds;

    /// \returns the largest ratio, over all windows, of actual to allowed further sends; above 1
    /// the rule is violated.
    double worstShare(std::span<const time_point> requests,
                      std::span<const time_point> further) const;
};

/// \returns how many of the sorted \p moments lie after \p from and up to \p to.
inline std::size_t countWithin(std::span<const time_point> moments, time_point from, time_point to)
{
    const auto first = std::upper_bound(moments.begin(), moments.end(), from);
    const auto last = std::upper_bound(moments.begin(), moments.end(), to);
    return std::size_t(std::max<std::ptrdiff_t>(0, last - first));
}

inline double repeat_rule::worstShare(std::span<const time_point> requests,
                                      std::span<const time_point> further) const
{
    const duration window = bounds.window;
    const auto shareOfWindow = [&](time_point from, time_point to) {
        const std::size_t most
                = std::max({countWithin(requests, from, to),
                            countWithin(requests, from - window / 2, to - window / 2),
                            countWithin(requests, from - window, to - window)});
        const double allowed = bounds.ratio * double(most) + bounds.allowance;
        return double(countWithin(further, from, to)) / allowed;
    };
    double worst = 0;
    for (const time_point at : further) {
        const time_point before = at - duration(1);
        worst = std::max(
                {worst, shareOfWindow(at - window, at), shareOfWindow(before, before + window)});
    }
    return worst;
}

} // namespace laurelcroft

#endif
