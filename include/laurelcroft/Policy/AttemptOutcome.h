//===-- Policy/AttemptOutcome.h - what follows from an attempt ---*- C++ -*-===//
//
// One pure function: how an attempt ended and what its request allows, to what the
// caller gets. Everything about running once and about true refusals is decided here.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_ATTEMPTOUTCOME_H
#define LAURELCROFT_POLICY_ATTEMPTOUTCOME_H

#include <string_view>

namespace laurelcroft {

/// How an attempt at one endpoint ended.
enum class attempt_end {
    notSent, ///< no connection stood: the endpoint saw nothing
    refused, ///< the endpoint says that it has not run the request and won't
    answered, ///< a whole, valid success
    failed, ///< a whole answer with an error of the endpoint's own: it ran
    broken, ///< reset, closed, or bytes that are no valid answer: it may have run
    silent ///< nothing came for too long: it may have run
};

/// What the request allows at that moment.
struct attempt_facts
{
    bool mayRepeat = false; ///< the request may run again
    bool partDelivered = false; ///< the caller has got a part of the answer
    bool resumable = false; ///< a stream that may go on elsewhere after an event id
    bool mayHaveRun = false; ///< at this endpoint or an earlier one
    bool endpointsLeft = false; ///< one more endpoint may be tried
    bool budgetLeft = false; ///< the fleet's budget for repeats has room
    bool worthRetrying = false; ///< one more attempt may bring an answer, or is worth it anyway
    bool timeLeft = false; ///< enough of the deadline for another attempt
};

/// What to do next.
enum class next_step {
    deliver, ///< pass the answer on, success or the endpoint's own failure
    tryElsewhere,
    resumeElsewhere, ///< after the last event that was passed on
    refuse, ///< tell the caller, truly, that the request has not run
    fail, ///< tell the caller that nothing is known
    cut ///< break the begun answer off, so that it can't look whole
};

/// What a further attempt lacked, the first that applies.
enum class retry_blocker { nothing, endpoints, time, chance, budget };

std::string_view textOf(attempt_end end);
std::string_view textOf(next_step step);
std::string_view textOf(retry_blocker lack);

/// \returns why no further attempt may be made, whatever the one before came to.
retry_blocker retryBlockerOf(const attempt_facts &facts);

/// \returns what follows from \p end.
next_step stepAfter(attempt_end end, const attempt_facts &facts);

} // namespace laurelcroft

#endif
