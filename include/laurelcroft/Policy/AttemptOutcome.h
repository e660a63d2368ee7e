//===-- Policy/AttemptOutcome.h - next step after an attempt ----*- C++ -*-===//
//
// Maps how an attempt ended and what its request still allows to the next step. The rules that a
// non-repeatable request runs at most once, and that a refusal is only reported for a request that
// has not run, are enforced here.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_ATTEMPTOUTCOME_H
#define LAURELCROFT_POLICY_ATTEMPTOUTCOME_H

#include <string_view>

namespace laurelcroft {

/// How an attempt at one endpoint ended.
enum class attempt_end {
    notSent, ///< no connection was established; the endpoint received nothing
    refused, ///< the endpoint states that it has not run the request and will not
    answered, ///< a complete, valid success response
    failed, ///< a complete response with an error of the endpoint itself; the request ran
    broken, ///< connection reset or closed, or invalid response; the request may have run
    silent ///< no response within the time allowed; the request may have run
};

/// What the request still allows after an attempt.
struct attempt_facts
{
    bool mayRepeat = false; ///< the request is safe to run more than once
    bool partDelivered = false; ///< part of the response was already forwarded to the caller
    bool resumable = false; ///< a stream that can continue at another endpoint after an event id
    bool mayHaveRun = false; ///< at this endpoint or at an earlier one
    bool endpointsLeft = false; ///< the limit of endpoints per request is not reached
    bool budgetLeft = false; ///< the service's budget for repeats allows one more send
    bool mayBorrow = false; ///< without it, another entry may lend a send to a begun stream
    bool worthRetrying = false; ///< a repeat is not futile, or a stream has begun
    bool timeLeft = false; ///< the deadline leaves enough time for another attempt
};

/// What to do next.
enum class next_step {
    deliver, ///< forward the response, whether a success or the endpoint's own error
    tryElsewhere,
    resumeElsewhere, ///< after the last event that was forwarded
    borrow, ///< ask another entry for a send, then resume elsewhere or cut
    refuse, ///< report an error stating that the request has not run
    fail, ///< report an error stating that it is unknown whether the request ran
    cut ///< abort the partly sent response so that it cannot be mistaken for a complete one
};

/// The condition that prevents a further attempt; conditions are checked in this order.
enum class retry_blocker { nothing, endpoints, time, chance, budget };

std::string_view textOf(attempt_end end);
std::string_view textOf(next_step step);
std::string_view textOf(retry_blocker lack);

/// \returns why no further attempt may be made, independent of how the last one ended.
retry_blocker retryBlockerOf(const attempt_facts &facts);

/// \returns the step that follows an attempt that ended with \p end.
next_step stepAfter(attempt_end end, const attempt_facts &facts);

} // namespace laurelcroft

#endif
