//===-- Policy/SendBudget.h - repeats over a sliding window ------*- C++ -*-===//
//
// Bounds the sends beyond the first of each request to a service. The bound holds
// over all entries together without a word between them: each spends a ratio of its
// own requests, and its part of a fixed allowance.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_SENDBUDGET_H
#define LAURELCROFT_POLICY_SENDBUDGET_H

#include "laurelcroft/Support/Runtime.h"

#include <cstddef>
#include <deque>
#include <string_view>

namespace laurelcroft {

/// What a further send of a request is for.
enum class further_send {
    repeat, ///< the one before was not answered
    resume, ///< the stream that it began broke off
    largerModel ///< its answer was dropped for a larger model's
};

std::string_view textOf(further_send what);

/// Bounds of a budget.
struct send_budget_bounds
{
    double ratio = 0.1; ///< repeats for each request in the window
    double allowance = 10; ///< repeats beyond it, of all entries together
    seconds window{10};
};

/// The budget of one service at one entry.
class send_budget
{
public:
    explicit send_budget(const send_budget_bounds &bounds)
        : m_bounds(bounds)
    {
    }

    /// Counts a request, sent or not.
    void request(time_point now);

    /// \param entries the number of entries that share the allowance.
    /// \returns further sends that may be made at \p now; below 0 when more were made than are
    /// allowed by now.
    double left(time_point now, std::size_t entries);

    /// \param entries the number of entries that share the allowance.
    /// \returns true when one more send may be made at \p now.
    bool allows(time_point now, std::size_t entries, further_send what = further_send::repeat);

    /// Counts a further send, whatever it is for.
    void repeat(time_point now);

private:
    struct bucket
    {
        time_point from;
        std::size_t requests = 0;
        std::size_t repeats = 0;
    };
    struct window_sums
    {
        std::size_t requests = 0;
        std::size_t repeats = 0;
    };
    bucket &current(time_point now);
    window_sums sums(time_point now);
    double boundFor(std::size_t requests, std::size_t entries) const;

    send_budget_bounds m_bounds;
    std::deque<bucket> m_buckets;
};

} // namespace laurelcroft

#endif
