//===-- Proxy/FlowTypes.h - the record of a request --------------*- C++ -*-===//
//
// What is logged and counted of one request, and the bounds that flows keep.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_FLOWTYPES_H
#define LAURELCROFT_PROXY_FLOWTYPES_H

#include "laurelcroft/Policy/AttemptOutcome.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Why a request ended as it did.
enum class flow_reason {
    served,
    endpointFailure, ///< the endpoint's own failure was passed on
    noContract,
    noRoute,
    unknownKey,
    tooLarge,
    noEndpoint, ///< none that may be used is listed or reachable
    coldEndpoints, ///< all that are left are cold and bear no more now
    limitedEndpoints, ///< this entry's shares of the rate limits of all that are left are used up
    backoffEndpoints, ///< all that are left are in backoff after a Retry-After
    evacuated, ///< all that are listed stand in data centres that must get nothing
    withheld, ///< endpoints ended under it, one after the other
    outsideRegions, ///< all that are left stand outside the regions that it is bound to
    refusedByEndpoints, ///< all that were asked refused without running it
    brokenAttempt, ///< an endpoint broke off and nothing more may be tried
    silentEndpoint,
    timedOut, ///< the route's timeout or the caller's patience
    callerLeft,
    stopping ///< this process ends
};

std::string_view textOf(flow_reason reason);

/// One request, as logged at its end.
struct flow_record
{
    std::string request;
    std::string session;
    std::optional<std::uint64_t> key; ///< the same when the request comes again; once it matters
    std::string route;
    std::string customer;
    std::string service;
    std::string endpoint; ///< the last one
    std::string endpointVersion;
    bool endpointLeaving = false; ///< as stated in the answer to the last attempt
    std::optional<milliseconds> endpointRetryAfter; ///< from a 503 to the last attempt
    std::string_view versionReason; ///< why that version; empty: nothing was sent
    std::string_view stage; ///< of a roll-out, as this entry knew it at the last send
    std::string model;
    std::string choice; ///< why that endpoint
    std::uint64_t contract = 0;
    unsigned attempts = 0;
    milliseconds attemptDuration{0}; ///< the last attempt
    milliseconds timeLeft{0}; ///< of the deadline, when the last attempt ended
    attempt_lack lack = attempt_lack::nothing; ///< of a further attempt, when the last one ended
    double budgetLeft = 0; ///< further sends that the budget had left then
    unsigned resumes = 0;
    unsigned escalations = 0;
    std::optional<int> confidence;
    /// When a larger model's first part was expected, as a share of the objective; 0: none was
    /// thought of. Above 1 the doubtful answer was kept.
    double largerExpectedAt = 0;
    double serviceWait = 0; ///< recent mean at the service, as a share of the objective
    int status = 0;
    flow_reason reason = flow_reason::served;
    std::optional<milliseconds> firstPart; ///< from arrival to the first event or the answer
    milliseconds total{0};
    std::uint64_t events = 0;
};

namespace flow_bounds {

/// A request that can't get this much of an endpoint's time is not sent any more: less
/// than any prompt or call takes.
inline constexpr milliseconds minAttemptTime{30};
/// Endpoints without a connection that one request tries before it is given up.
inline constexpr unsigned maxUnreachedEndpoints = 4;
/// Endpoints without a connection after which a begun stream no longer keeps to its version: half
/// of those that it may try.
inline constexpr unsigned unreachedBeforeVersionChange = 2;
/// An endpoint that answers none of this entry's requests for this long seems dead. Several
/// steps of a full batch, and the reading of a long prompt between two of them.
inline constexpr milliseconds endpointSilenceTimeout{700};
/// How often a wait is looked at.
inline constexpr milliseconds progressCheckInterval{400};
/// A request waits for room at cold endpoints for the objective over this: their shares are there
/// again within a second or less, and it is still answered in time.
inline constexpr int roomWaitDivisor = 4;
/// A suspected request that is sent again waits this long: its endpoint's address is looked at
/// meanwhile, which takes 2 to 5 ms in one region.
inline constexpr milliseconds suspectResendDelay{10};
/// How often a request that waits looks again.
inline constexpr milliseconds roomCheckInterval{25};
/// Told to callers that are refused: about the time in which a place becomes free.
inline constexpr milliseconds minRetryAfter{250};
/// The most that is told to callers while a service answers nobody: a third of the time that most
/// of them have, and they wait no longer than that.
inline constexpr milliseconds maxRetryAfter{4000};
/// Told when there is no contract or no endpoint at all: some reads of the store.
inline constexpr milliseconds defaultRetryAfter{600};
/// Weight of the reading that other entries told of, against an entry's own: it is a guess of how
/// far they are, and they see the same endpoints as free. Half served best of 1 and 0.5.
inline constexpr double remoteReadingWeight = 0.5;
/// Largest whole answer that is kept, bytes: what a body may be in either direction.
inline constexpr std::size_t maxAnswerBytes = 8U << 20;

} // namespace flow_bounds

} // namespace laurelcroft

#endif
