//===-- Proxy/FlowTypes.h - request outcome types and limits -----*- C++ -*-===//
//
// The record of one request for logs and metrics, and the timeouts and limits of request flows.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_FLOWTYPES_H
#define LAURELCROFT_PROXY_FLOWTYPES_H

#include "laurelcroft/Policy/AttemptOutcome.h"
#include "laurelcroft/Policy/PressureCascade.h"
#include "laurelcroft/Policy/RoomAdmission.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Why a request ended.
enum class flow_reason {
    served,
    endpointFailure, ///< the endpoint's own error answer was passed on
    noContract,
    noRoute,
    unknownKey,
    tooLarge,
    noEndpoint, ///< no usable endpoint is listed or reachable
    coldEndpoints, ///< the remaining endpoints are cold and have no spare capacity
    limitedEndpoints, ///< this entry's shares of the remaining rate limits are used up
    backoffEndpoints, ///< the remaining endpoints are in backoff after a Retry-After
    evacuated, ///< all listed endpoints are in evacuated data centres
    withheld, ///< the request is withheld because endpoints crashed while running it
    noRoom, ///< the endpoints have too little room for requests of its urgency
    overShare, ///< its customer asks for more than its fair share of the room
    outsideRegions, ///< the remaining endpoints are outside the permitted regions
    refusedByEndpoints, ///< all endpoints tried refused it without running it
    brokenAttempt, ///< an endpoint broke off and no further attempt is allowed
    silentEndpoint, ///< an endpoint made no progress and no further attempt is allowed
    timedOut, ///< the route's timeout or the caller's own limit elapsed
    callerLeft, ///< the caller disconnected
    callerStalled, ///< the caller read nothing and was disconnected to free memory
    noMemory, ///< refused since the memory budget is used up by slow peers
    stopping ///< this process is shutting down
};

std::string_view textOf(flow_reason reason);

/// How a request was admitted, or refused for lack of room.
struct room_record
{
    room_reason reason = room_reason::free;
    int urgency = 0;
    double wait = 0; ///< expected at the service, as a share of the objective
    double admitted = 1; ///< part of demand that was admitted at that wait
    double load = 0; ///< of an endpoint, divided by its slots
    milliseconds age{0}; ///< of this knowledge
    double chance = 1; ///< of this request
    double demandRatio = 0; ///< demand of its customer relative to the fair share; 0: no limit
};

/// What is logged and counted of one request.
struct flow_record
{
    std::string request;
    std::string session;
    std::optional<std::uint64_t> key; ///< the same for each retry by the caller; set when needed
    std::vector<std::uint64_t> partKeys; ///< of the shared parts of its prompt
    std::optional<std::uint64_t> withheldBy; ///< key for which it was withheld from an endpoint
    std::string route;
    std::string customer;
    std::string service;
    std::string endpoint; ///< of the last attempt
    std::string endpointVersion;
    bool endpointLeaving = false; ///< as stated in the answer to the last attempt
    std::optional<milliseconds> endpointRetryAfter; ///< from a 503 to the last attempt
    std::string_view versionReason; ///< why this version was used; empty if nothing was sent
    std::string_view stage; ///< roll-out stage known to this entry at the last send
    std::string model;
    std::string choice; ///< why this endpoint was chosen
    std::uint64_t contract = 0; ///< version of the contract
    unsigned attempts = 0;
    milliseconds attemptDuration{0}; ///< of the last attempt
    milliseconds timeLeft{0}; ///< until the deadline, when the last attempt ended
    retry_blocker lack = retry_blocker::nothing; ///< why no further attempt was possible
    double budgetLeft = 0; ///< further sends left in the budget at that time
    bool isSuspected = false; ///< of crashing endpoints, at that time
    unsigned resumes = 0;
    unsigned escalations = 0;
    std::optional<int> confidence;
    /// Slowdown expected of the endpoint at the last send; empty where pace is not used.
    std::optional<double> slowdown;
    /// When the first part of a larger model's answer was expected, as a share of the objective; 0
    /// if no larger model was considered. Above 1, the low-confidence answer was kept.
    double largerExpectedAt = 0;
    /// Set where the cascade takes the pressure on the service into account: its decision, and what
    /// it was based on.
    std::optional<second_run> secondRun;
    std::optional<double> servicePressure; ///< as a share of the objective
    milliseconds secondRunReadTime{0}; ///< of the larger model at the chosen endpoint
    double secondRunLate = 0; ///< other requests that were expected to become late by it
    milliseconds maxPause{0}; ///< between two events passed to the caller
    double serviceWait = 0; ///< recent mean wait at the service, as a share of the objective
    std::optional<room_record> room; ///< empty if room was not asked about
    int status = 0;
    flow_reason reason = flow_reason::served;
    std::optional<milliseconds> firstPart; ///< from arrival to the first event or the answer
    milliseconds total{0};
    std::uint64_t events = 0; ///< passed to the caller
};

namespace flow_bounds {

/// A request with less time left is not sent again: no prompt or call takes less than this.
inline constexpr milliseconds minAttemptTime{30};
/// Number of unreachable endpoints that one request tries before it fails.
inline constexpr unsigned maxUnreachedEndpoints = 4;
/// Number of unreachable endpoints after which a begun stream may continue at another version: half
/// of maxUnreachedEndpoints.
inline constexpr unsigned unreachedBeforeVersionChange = 2;
/// Number of entries that one request asks for a further send, one after the other. At 300 entries
/// about half of them have one, and three unanswered requests take less than the longest pause that
/// streams allow.
inline constexpr std::size_t maxLenders = 3;
/// An endpoint that makes no progress on any of this entry's requests for this long is presumed
/// dead. Covers several decoding steps of a full batch and the reading of a long prompt in between.
inline constexpr milliseconds endpointSilenceTimeout{700};
/// Longest time between two checks of an attempt's progress.
inline constexpr milliseconds progressCheckInterval{400};
/// A request waits for an available endpoint for at most the route's objective divided by this.
/// Shares of cold endpoints are refilled within a second, and the answer is still in time.
inline constexpr int roomWaitDivisor = 4;
/// Delay before a suspected request is sent again. The endpoint is probed in the meantime, which
/// takes 2 to 5 ms within one region.
inline constexpr milliseconds suspectResendDelay{10};
/// Interval at which a waiting request tries to choose an endpoint again.
inline constexpr milliseconds roomCheckInterval{25};
/// Prompt tokens that count as much as a request in customers' demand.
inline constexpr double tokensPerWorkUnit = 4096;
/// Until an answer was seen, one is assumed to take the route's objective divided by this.
inline constexpr int assumedAnswerDivisor = 8;
/// Shortest Retry-After sent to refused callers: about the time in which a slot becomes free.
inline constexpr milliseconds minRetryAfter{250};
/// Longest Retry-After, used while a service answers no requests: a third of the time limit of most
/// callers. They do not wait longer than that.
inline constexpr milliseconds maxRetryAfter{4000};
/// Retry-After when there is no contract or no endpoint at all: enough time for several reads of
/// the store.
inline constexpr milliseconds defaultRetryAfter{600};
/// Weight of prompt reading reported by other entries, relative to this entry's own. The remaining
/// time of those prompts is only an estimate, and the other entries see the same endpoints as free.
/// Of 1 and 0.5, 0.5 served best.
inline constexpr double remoteReadingWeight = 0.5;
/// Largest answer that is held back until it is complete, in bytes. A larger one is passed on as it
/// arrives and can't be repeated elsewhere. Some tens of these fit into a small instance's budget.
inline constexpr std::size_t maxHeldAnswerBytes = 256U << 10;
/// Largest event of a stream, in bytes. An incomplete event is held back.
inline constexpr std::size_t maxEventBytes = 1U << 20;
/// An answer that was begun may take this many times the request's time limit, without the time in
/// which its caller is behind. Large answers end by then; bytes without end don't.
inline constexpr int lateAnswerFactor = 2;
/// Largest answer without a stated length that continues after the deadline, in bytes, whether its
/// caller is behind or not. A file of this size takes a slow caller half a minute.
inline constexpr std::size_t maxLateUnsizedBytes = 64U << 20;
/// After the deadline, an answer that was begun ends when its caller takes nothing for this long.
inline constexpr milliseconds callerStallTimeout{10000};

} // namespace flow_bounds

} // namespace laurelcroft

#endif
