//===-- Policy/SendBudget.h - a bound on further sends -----------*- C++ -*-===//
//
// Bounds the sends beyond the first of each request to a service. The load it answers: endpoints
// that fail or refuse, each request of which would be sent to several of them.
//
// The bound is on the sum over all entries: in any window, further sends are at most a ratio of
// callers' requests, in that window or the one before, and an allowance. It holds without a word
// between entries, whatever becomes of their processes:
//
// - Each request earns ratio / (1 + s) of a further send, and an entry saves at most s times what
//   its requests of the last window have earned. What it sends in a window is at most what it had
//   saved at its beginning and what it earns in it, so all entries together send at most
//   ratio / (1 + s) * (requests of the window + s * requests of the window before), which is the
//   ratio of the larger of the two.
// - A process begins with nothing: one that is killed takes its savings with it, and the one in
//   its place earns from new requests only.
// - Sends are whole. Each process has a rounding of its own, so that many entries with less than
//   one each make as many on average as they earn; the sum of n processes is off by about
//   sqrt(n) / 2.
// - An entry whose row others can read may save and be given a share of the allowance besides;
//   one that knows of no row of its own is counted by nobody and has none.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_SENDBUDGET_H
#define LAURELCROFT_POLICY_SENDBUDGET_H

#include "laurelcroft/Support/Runtime.h"

#include <cstddef>
#include <deque>
#include <optional>
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
    double ratio = 0.1; ///< further sends for each request in the window
    double allowance = 10; ///< further sends beyond it, of all entries together
    seconds window{10};
};

/// The budget of one service at one entry. All calls take \c share, the part of the allowance that
/// is this entry's; 0 while that is not known.
class send_budget
{
public:
    /// \param rounding from 0 to 1, another one for each process: what is missing to a whole send
    /// when it is made. Where many entries get a request now and then, none would ever have a whole
    /// one; with roundings drawn at random they make as many on average as they have earned.
    explicit send_budget(const send_budget_bounds &bounds, double rounding = 0)
        : m_bounds(bounds)
        , m_rounding(rounding)
    {
    }

    /// Counts a request, sent or not.
    void request(time_point now, double share);

    /// \returns further sends that may be made at \p now.
    double left(time_point now, double share);

    /// \returns true when one more send for \p what may be made at \p now.
    bool allows(time_point now, double share, further_send what);

    /// Takes one further send out of the budget, before it is made.
    /// \returns false when none is left for \p what.
    bool take(time_point now, double share, further_send what);

    /// A send that was taken is not made after all.
    void refund() { m_saved += 1; }

private:
    struct bucket
    {
        time_point from;
        std::size_t requests = 0;
    };
    void advance(time_point now, double share);
    double maxSaved() const;

    send_budget_bounds m_bounds;
    double m_rounding;
    std::deque<bucket> m_buckets; ///< requests of the last window
    std::size_t m_requests = 0; ///< in all of them
    std::optional<time_point> m_at; ///< of the last call
    double m_share = 0;
    double m_saved = 0; ///< further sends; above -1
};

} // namespace laurelcroft

#endif
