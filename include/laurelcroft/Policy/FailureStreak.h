//===-- Policy/FailureStreak.h - consecutive failures -----------*- C++ -*-===//
//
// Suppresses repeats while all attempts at a service fail. If all endpoints of a service refuse or
// fail for seconds, a repeat adds load to endpoints that are already overloaded, uses budget that
// other failures need, and most likely fails too; it is better to tell the caller at once when to
// try again. First attempts are still sent and show when the service has recovered. If only some
// endpoints fail, successes in between reset the streak, so repeats continue.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_FAILURESTREAK_H
#define LAURELCROFT_POLICY_FAILURESTREAK_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// The consecutive failures that one entry has seen at one service, at any endpoint.
class failure_streak
{
public:
    /// Number of consecutive failures from which a repeat is expected to fail. Its chance of
    /// success is then about one in thirty.
    static constexpr unsigned failuresToGiveUp = 30;
    /// A streak ends when its last failure is older than this.
    static constexpr milliseconds failureLifetime{1000};

    /// Records that an endpoint has begun a success response.
    void succeeded() { m_failuresInRow = 0; }

    /// Records that an endpoint refused, failed or did not respond.
    void failed(time_point now);

    /// \returns true if a repeat at \p now is expected to fail.
    bool isRepeatFutile(time_point now) const;

    /// \returns an estimate of the remaining duration of the outage: the time that it has lasted so
    /// far, since nothing better is known.
    milliseconds expectedRemaining(time_point now) const;

private:
    unsigned m_failuresInRow = 0;
    time_point m_since{}; ///< time of the streak's first failure
    time_point m_last{};
};

} // namespace laurelcroft

#endif
