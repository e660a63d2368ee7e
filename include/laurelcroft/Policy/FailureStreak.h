//===-- Policy/FailureStreak.h - does a repeat have a chance? ----*- C++ -*-===//
//
// How the last attempts at a service ended, at whichever endpoints, tells how the next one will.
// The load it answers: all endpoints of a service refuse or fail for seconds. A repeat is one more
// arrival at endpoints that have too many, comes out of a budget that other failures need, and ends
// like the one before; the caller is better told at once when to come back. First attempts go on
// and show when the service is back. Where only some endpoints fail, a success between keeps
// repeats going.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_FAILURESTREAK_H
#define LAURELCROFT_POLICY_FAILURESTREAK_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// The attempts of one entry at one service.
class failure_streak
{
public:
    /// Attempts in a row that came to nothing from which the next one is thought to as well: it has
    /// a chance of about one in thirty then.
    static constexpr unsigned failuresToGiveUp = 30;
    /// A failure that is older says nothing any more.
    static constexpr milliseconds failureLifetime{1000};

    /// An endpoint has begun to answer with a success.
    void succeeded() { m_failuresInRow = 0; }

    /// An endpoint refused, failed or left without an answer.
    void failed(time_point now);

    /// \returns true when a repeat at \p now would hardly bring an answer.
    bool isRepeatFutile(time_point now) const;

    /// \returns a guess of how much longer it will be so: as long as it has been. Nothing better is
    /// known of an outage.
    milliseconds expectedRemaining(time_point now) const;

private:
    unsigned m_failuresInRow = 0;
    time_point m_since{}; ///< of the first of them
    time_point m_last{};
};

} // namespace laurelcroft

#endif
