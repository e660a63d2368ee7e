//===-- Policy/SendBudget.h - budget for repeated sends ---------*- C++ -*-===//
//
// Limits the sends after the first of each request to a service ("further sends"), so that
// endpoints that fail or refuse are not overloaded by requests that are each sent to several of
// them.
//
// The limit applies to the sum over all entries: in any window, further sends are at most a ratio
// of the callers' requests, in that window or the one before, plus an allowance. It depends on no
// messages between entries and holds when their processes are killed or restarted:
//
// - Each request earns ratio / (1 + s) of a further send, and an entry saves at most s times what
//   its requests of the last window have earned. In a window it sends at most what it had saved at
//   the beginning and what it earns in the window, so all entries together send at most
//   ratio / (1 + s) * (requests of the window + s * requests of the window before), which is at
//   most the ratio times the larger of the two.
// - A process starts with no savings: the savings of a killed process are lost, and its replacement
//   earns only from new requests.
// - The number of sends is an integer. Each process has its own random rounding offset, so that
//   many entries that have earned less than one send each make as many sends on average as they
//   have earned; the sum over n processes deviates by about sqrt(n) / 2.
// - An entry whose row is visible to others also gets a share of the allowance, and may save part
//   of it; an entry that knows of no row of its own is not counted by the others and gets none.
// - An entry may use a send of another entry, which takes it from its own budget first (see
//   budget_borrowing in Proxy): the sum stays the same.
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

/// The purpose of a further send.
enum class further_send {
    repeat, ///< the previous send was not answered
    resume, ///< the stream that it had begun was interrupted
    suspected, ///< a repeat or resume of a request that is suspected of crashing endpoints
    largerModel, ///< its answer was dropped in favour of a larger model's
    lent ///< another entry resumes an interrupted stream with it
};

std::string_view textOf(further_send what);

/// Parameters of a budget.
struct send_budget_bounds
{
    double ratio = 0.1; ///< further sends per request in the window
    double allowance = 10; ///< additional further sends per window, of all entries together
    seconds window{10};
};

/// The budget of one service at one entry. In all calls, \c share is this entry's share of the
/// allowance, or 0 while it is not known.
class send_budget
{
public:
    /// \param rounding offset from 0 to 1, drawn at random for each process: the fraction of a send
    /// that may be missing when a send is made. Without it, entries that rarely get a request would
    /// never have earned a whole send; with random offsets, they make as many sends on average as
    /// they have earned.
    explicit send_budget(const send_budget_bounds &bounds, double rounding = 0)
        : m_bounds(bounds)
        , m_rounding(rounding)
    {
    }

    /// Counts a request, whether it was sent or not.
    void countRequest(time_point now, double share);

    /// Credits the share of the allowance that was earned since the last call of any kind.
    void credit(time_point now, double share) { advance(now, share); }

    /// \returns the number of further sends available at \p now.
    double availableSends(time_point now, double share);

    /// \returns true if one more send for \p what is allowed at \p now.
    bool allows(time_point now, double share, further_send what);

    /// Takes one further send from the budget before it is made.
    /// \returns false if none is available for \p what.
    bool take(time_point now, double share, further_send what);

    /// Returns a send that was taken but not made.
    void refund() { m_saved += 1; }

private:
    struct bucket
    {
        time_point from;
        std::size_t requests = 0;
    };
    void advance(time_point now, double share);
    double maxSaved() const;
    /// \returns the number of sends that must be left after a send for \p what.
    double reservedFrom(further_send what) const;

    send_budget_bounds m_bounds;
    double m_rounding;
    std::deque<bucket> m_buckets; ///< requests of the last window
    std::size_t m_requests = 0; ///< sum over the buckets
    std::optional<time_point> m_at; ///< time of the last call
    double m_share = 0;
    double m_saved = 0; ///< available further sends; above -1
};

} // namespace laurelcroft

#endif
