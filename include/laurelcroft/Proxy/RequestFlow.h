//===-- Proxy/RequestFlow.h - state machine of one request -------*- C++ -*-===//
//
// Handles one request from its arrival to the final response: finds the route and the customer,
// chooses an endpoint, and retries or resumes after a failed attempt. The class is a template over
// its environment so that tests run the same code with fake endpoints and a manual clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOW_H
#define LAURELCROFT_PROXY_REQUESTFLOW_H

#include "laurelcroft/Http/EventSplitter.h"
#include "laurelcroft/Policy/AttemptOutcome.h"
#include "laurelcroft/Policy/AttemptTimeout.h"
#include "laurelcroft/Policy/CandidateSample.h"
#include "laurelcroft/Policy/DirectChoice.h"
#include "laurelcroft/Policy/PauseSample.h"
#include "laurelcroft/Proxy/FlowTypes.h"
#include "laurelcroft/Proxy/PromptPartKeys.h"
#include "laurelcroft/Proxy/ProxyTypes.h"
#include "laurelcroft/Proxy/RequestKey.h"
#include "laurelcroft/Proxy/RoutingState.h"

#include <algorithm>
#include <concepts>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>

namespace laurelcroft {

/// Requirements on the environment of a request_flow: the clock, the routing state, the calls to
/// endpoints, the response to the caller, and hooks for logs and metrics.
template <class E>
concept flow_environment = requires(E env, proxy_attempt attempt, call_events events, call_id call,
                                    const endpoint_ptr &endpoint, const flow_record &record,
                                    int status, const http_headers &headers, std::string body)
{
    requires runtime_like<std::remove_reference_t<decltype(env.runtime())>>;
    {
        env.routing()
        } -> std::same_as<routing_state &>;
    {
        env.hasRoomAt(endpoint)
        } -> std::same_as<bool>;
    {
        env.call(std::move(attempt), std::move(events))
        } -> std::same_as<call_id>;
    env.cancel(call);
    env.reply(status, headers, body);
    env.begin(status, headers);
    env.write(std::string_view(body));
    env.end();
    env.abort();
    env.beginWhole(status, headers, std::optional<std::uint64_t>());
    {
        env.holdAnswer(body.size())
        } -> std::same_as<bool>;
    {
        env.isCallerBehind()
        } -> std::same_as<bool>;
    {
        env.hasMemoryFor(status)
        } -> std::same_as<bool>;
    {
        env.wasCallerCutOff()
        } -> std::same_as<bool>;
    {
        env.callerProgressAt()
        } -> std::same_as<time_point>;
    env.whenCallerDrained([] {});
    env.pause(call);
    env.resume(call);
    env.finished(record);
    env.attemptEnded(record, attempt_end::notSent, next_step::refuse);
    env.checkEnded(endpoint);
    env.escalated(record, body);
    env.sentFurther(record, further_send::repeat);
};

/// The endpoint chosen for the next send.
struct endpoint_pick
{
    endpoint_ptr endpoint;
    double waitMs = 0; ///< expected time to read the prompts queued there and this one
    direct_reason reason = direct_reason::leastCost;
};

/// Cost for the current model to read the request's prompt; the same at all endpoints.
struct prompt_cost
{
    unsigned sharedTokens = 0; ///< tokens of its shared prefixes
    double msPerToken = 0;
    const mean_work *work = nullptr; ///< of the service; null where pace is not used
};

/// Handles one request. The owner must keep it alive until \c isDone returns true.
template <flow_environment Env>
class request_flow : public std::enable_shared_from_this<request_flow<Env>>
{
public:
    request_flow(Env env, std::shared_ptr<const proxy_request> request)
        : m_env(std::move(env))
        , m_request(std::move(request))
        , m_contract(m_env.routing().contract())
    {
    }

    /// Starts handling the request. The response may be complete before this returns.
    void start();

    /// Replaces start() while this process waits until it gets no more callers before it shuts down
    /// at \p end. A request whose objective can't be met by then is refused at once; other
    /// processes can serve it.
    void startBeforeShutdown(time_point end);

    /// Replaces start() while this process shuts down. A request whose deadline is at or before
    /// \p end is served; any other is refused at once.
    /// \param retryAfter time until this process or its successor is expected to be ready.
    void startDuringShutdown(time_point end, milliseconds retryAfter);

    /// Called when the caller disconnects. Cancels the current attempt.
    void callerLeft();

    /// Called when the process must exit. Ends the request as a timeout would, with the reason
    /// flow_reason::stopping.
    void giveUp() { onDeadline(flow_reason::stopping); }

    bool isDone() const { return m_done; }
    const flow_record &record() const { return m_record; }

private:
    using weak_flow = std::weak_ptr<request_flow>;

    bool admit();
    void serve();
    const weighted_service &pickService();
    void sendNext();
    /// Refuses the request, before its first send, if the service has no room for it.
    /// \returns true if it was refused.
    bool refuseForRoom(const endpoint_pick &pick);
    room_view roomView(const service_endpoint &endpoint, service_room &room);
    /// \returns the load of \p endpoint divided by its slots.
    double endpointLoad(const service_endpoint &endpoint, const service_room &room);
    /// \returns the number of prompts at \p endpoint that are not read yet, with the own one.
    double promptsAt(const service_endpoint &endpoint, double readMs);
    /// \returns the wait for this entry's own requests at \p endpoint, as a share of the objective.
    double ownWaitShare(const service_endpoint &endpoint, milliseconds answerTime,
                        const service_room &room);
    void recordRoom(const room_view &view, room_reason reason, const service_room &room);
    bool hasPrompt() const { return m_request->promptTokens > 0; }
    void noteStatedRoom();
    void noteAnswerTime();
    bool waitForRoom();
    /// Schedules another attempt to choose an endpoint.
    /// \returns false when the request has already waited for \p longest.
    bool waitAndSend(milliseconds longest);
    /// Calls sendNext() after \p delay, unless the request has ended by then.
    void sendAfter(milliseconds delay);
    void beginRun();
    void refuseUnsent();
    /// \returns the Retry-After of a refusal: the time until the first excluded endpoint becomes
    /// available, within bounds.
    milliseconds retryAfterUnsent();
    std::optional<endpoint_pick> pickEndpoint();
    std::optional<endpoint_pick> pickSameVersion(const std::vector<endpoint_ptr> &usable);
    std::optional<endpoint_pick> pickForResume(const std::vector<endpoint_ptr> &usable);
    bool runsSuspectedRequest(const service_endpoint &endpoint);
    bool isBoundToRegions() const;
    /// \returns those of \p endpoints that lie in the permitted regions of both the route and the
    /// customer.
    std::vector<endpoint_ptr> withinRegions(const std::vector<endpoint_ptr> &endpoints);
    direct_candidate candidateFor(const endpoint_ptr &endpoint, const prompt_cost &prompt);
    /// Marks \p candidate as excluded because its endpoint is in backoff.
    void applyBackoff(const service_endpoint &endpoint, direct_candidate &candidate);
    /// Records that the excluded \p candidate becomes available at \p at. Endpoints that were
    /// already tried are ignored.
    void noteAvailableAt(const direct_candidate &candidate, time_point at);
    /// Marks \p candidate as excluded when this entry's share of the endpoint's rate limit is used
    /// up.
    void applyRateLimit(const service_endpoint &endpoint, direct_candidate &candidate);
    std::optional<endpoint_pick> pickAmong(const std::vector<endpoint_ptr> &endpoints);
    /// \param items sampling data of \p endpoints, in the same order.
    std::optional<endpoint_pick> pickAmong(const std::vector<endpoint_ptr> &endpoints,
                                           std::span<const sampled_endpoint> items);
    /// \returns indices of endpoints that are neither in backoff nor above their rate limit. Used
    /// when the sample contains none. The search starts at a position derived from \p draw.
    std::vector<std::size_t> availableEndpoints(const std::vector<endpoint_ptr> &endpoints,
                                                std::uint64_t draw);
    std::optional<endpoint_pick> pickEligible(const std::vector<endpoint_ptr> &usable);
    void send(const endpoint_pick &pick);
    failure_streak &outlook() { return m_env.routing().outlook(m_service); }
    send_budget &budget() { return m_env.routing().repeats(m_service); }
    double allowanceShare() { return m_env.routing().shareOfEntries(); }
    bool mayTakeFurtherSend(further_send what);
    /// Reserves a further send in the budget, unless one is reserved already.
    /// \returns false when the budget is exhausted.
    bool takeFurtherSend(further_send what);
    /// \returns true if another entry may be asked for a send to resume the stream with.
    bool mayBorrowSend();
    /// Asks another entry for a send, to resume the stream that \p end has interrupted. Cuts it if
    /// no further entry may be asked.
    void borrowSend(attempt_end end);
    void onBorrowReply(bool isGranted, attempt_end end);
    call_events eventsFor(unsigned number);
    void watchProgress(unsigned number);
    /// Reports to the roll-out tracker when the first part of the current attempt is late.
    void noteSlowWait();
    std::vector<prompt_prefix> prefixesOf(const std::string &model) const;
    std::string modelName() const;
    unsigned tokensToRead(unsigned kept) const;
    double prefillMsPerToken();
    /// \returns the lasting slowdown of \p endpoint; 1 where pace is not used.
    double usualSlowdown(const service_endpoint &endpoint);
    /// \returns the expected time at \p endpoint of work that usually takes \p workMs.
    double expectedMs(const service_endpoint &endpoint, double workMs);
    /// \returns the expected time at \p endpoint until \p tokens of \p prompt are read, after the
    /// prompts queued before it.
    double waitMs(const service_endpoint &endpoint, const direct_candidate &candidate,
                  const prompt_cost &prompt, unsigned tokens);
    /// \returns the lasting slowdown that the endpoint of the current attempt states.
    double statedSlowdown();
    /// Reports how fast the endpoint of the current attempt has answered.
    void observePace();
    double shareOfObjective(std::chrono::duration<double, std::milli> time) const;
    void endReading();
    milliseconds currentAttemptTimeout();
    bool isEndpointSilent();

    void onAnswer(proxy_answer &&answer);
    /// Updates the endpoint's load, rate limit, leaving state and backoff from the answer's head.
    void noteEndpointState();
    /// Reports, once per request, that an endpoint runs it. This happens at the send, so that a
    /// process that exits has counted the requests it sent; nearly all of them do run.
    void noteRun();
    /// Reverts noteRun() when the endpoint of the current attempt did not run the request.
    void noteNotRun();
    void noteWait();
    /// Sends the request to a larger model if the confidence of the answer is low.
    void escalate();
    /// \returns true if the request is to be sent to the larger model at \p pick.
    bool mayEscalateTo(const endpoint_pick &pick, const cascade_view &view);
    bool mayEscalateUnderPressure(const endpoint_pick &pick, const cascade_view &view);
    /// \returns the index of the model that may replace the current answer.
    std::optional<std::size_t> escalationCandidate(const cascade_view &view);
    cascade_view cascadeView();
    /// \returns true if an answer may be dropped for a larger model's. While endpoints refuse
    /// requests, or little is known of them, a repeat must be left too: the caller gets nothing if
    /// the larger model's endpoint refuses.
    bool mayDropAnswer();
    void onData(std::string_view data);
    void onEvent(const stream_event &event);
    /// Keeps a part of an answer that is delivered when it is complete, unless it grows too large.
    void holdBack(std::string_view data);
    /// Begins to pass on a large answer. From then on, it can't be replaced by another one.
    void beginPassingOn();
    void passOn(std::string_view data);
    /// Stops reading the answer if the caller is behind, until the caller has taken some of it.
    void pauseIfBehind();
    void resumeReading();
    /// \returns true while an answer that was begun still arrives, or is taken by the caller.
    bool continuesPastDeadline();
    void watchDeadline(duration wait);
    void onEnd(call_end end);
    void endAttempt(attempt_end end);
    /// Ends the attempt and its call. After a lost connection, checks whether the endpoint's
    /// process has ended.
    void releaseEndpoint(attempt_end end);
    void countAttempt(attempt_end end);
    /// \returns the next step after an unanswered attempt; records its reason for the log.
    next_step decideNextStep(attempt_end end);
    void executeStep(next_step step, attempt_end end);
    void sendAgain(further_send what);
    void closeAttempt(attempt_end end);
    void endRun();
    /// \returns the keys of the request and of the parts of its prompt; none while nothing at all
    /// is suspected of crashing endpoints. Computing the key of the request hashes the body.
    std::span<const request_key> suspectKeys();
    suspicion ownSuspicion();
    /// \returns the key for which the request is withheld from \p endpoint, if it is.
    std::optional<request_key> withholdingKey(const service_endpoint &endpoint);
    bool waitForTrial();
    void endTrial();
    /// Clears the request of suspicion at the endpoint's version, since the endpoint has answered
    /// it or has run it for long without crashing.
    void clearOfSuspicion();
    /// \returns true if the endpoint may have crashed at the end of an answer that seems complete.
    bool mayHideCrash() const { return m_answer.endsWithConnection && !m_isProven; }
    void onDeadline(flow_reason why);

    answer_timing timingNow();
    attempt_facts facts();
    bool isValidSuccess() const;
    void deliver();
    /// \returns the Retry-After for a caller whose request was refused by all endpoints tried.
    milliseconds retryAfterAllRefused();
    void refuse(int status, flow_reason why, std::optional<milliseconds> retryAfter);
    void finish(flow_reason why, int status);

    session_request sessionRequest() { return {m_session, m_arrivedAt, now()}; }
    time_point now() { return m_env.runtime().now(); }
    bool isStream() const { return m_route->form == answer_form::events; }
    int urgency() const { return priorityOf(*m_route, m_customer); }
    milliseconds timeLeft() { return std::chrono::ceil<milliseconds>(m_deadline - now()); }

    Env m_env;
    std::shared_ptr<const proxy_request> m_request;
    contract_ptr m_contract;
    const service_route *m_route = nullptr;
    const contract_customer *m_customer = nullptr;
    std::string m_service;
    std::uint64_t m_session = 0;
    version_reason m_versionReason = version_reason::single; ///< of the last choice's version
    std::vector<prompt_prefix> m_prefixes; ///< shared prefixes, hashed for the current model
    double m_prefillMs = 0; ///< own prefill in progress; 0 once the answer has begun
    double m_expectedPrefillMs = 0; ///< until the first event of the current attempt
    double m_ownPrefillShare = 1; ///< share of the own prompt in endpoint_pick::waitMs
    double m_remotePrefillMs = 0; ///< expected prefill of prompts that other entries reported
    unsigned m_readTokens = 0;
    time_point m_arrivedAt{};
    time_point m_deadline{};
    timer_id m_deadlineTimer = 0;
    timer_id m_progressTimer = 0;
    flow_record m_record;

    double m_loadAtSend = 0; ///< of the endpoint before the first send, divided by its slots

    std::vector<std::string> m_tried;
    std::set<std::string> m_failedDataCentres; ///< where an attempt broke off or could not connect
    std::size_t m_modelIndex = 0;
    unsigned m_sends = 0; ///< sends that reached or may have reached the intended endpoint
    unsigned m_unreached = 0; ///< endpoints that could not be reached at their addresses
    unsigned m_receivedSends = 0; ///< sends that any process received, including misdirected ones
    std::optional<further_send> m_reservedSend; ///< taken from the budget, not sent yet
    std::size_t m_lendersAsked = 0; ///< entries asked for a send
    std::optional<further_send> m_currentFurtherSend; ///< set if the attempt is a further send
    bool m_excludedCold = false; ///< the last choice excluded a cold endpoint at capacity
    bool m_excludedInBackoff = false; ///< the last choice excluded an endpoint in backoff
    bool m_excludedRateLimited = false; ///< the last choice excluded an endpoint at its rate limit
    std::optional<time_point> m_nextAvailableAt; ///< earliest time an excluded endpoint is usable
    std::vector<request_key> m_suspectKeys; ///< see suspectKeys()
    std::vector<request_key> m_trialKeys; ///< under suspicion when the current attempt was sent
    bool m_isProven = false; ///< the current attempt has run for long without a crash
    suspicion m_suspicion = suspicion::none; ///< of this request, as of the last choice
    bool m_excludedWithheld = false; ///< the last choice withheld the request from an endpoint
    bool m_excludedByRegion = false; ///< the last choice excluded an endpoint outside the regions
    bool m_coldRoomExpected = false; ///< this entry has a share of an untried cold endpoint
    std::optional<time_point> m_waitingSince; ///< start of the wait for an available endpoint
    unsigned m_attemptNumber = 0; ///< current attempt; events of earlier attempts are ignored
    call_id m_call = 0;
    endpoint_ptr m_endpoint; ///< endpoint of the current attempt; null between attempts
    endpoint_ptr m_escalatedFrom; ///< endpoint whose answer was dropped for a larger model's
    std::shared_ptr<endpoint_run> m_run; ///< run of the current attempt
    proxy_answer m_answer;
    bool m_headReceived = false; ///< the head of the current attempt's answer was received
    std::optional<time_point> m_runNotedAt; ///< start of the run that was reported
    bool m_mayHaveRun = false; ///< the request may have run at an earlier endpoint
    bool m_hasEndpointFailure = false; ///< the last attempt ended with a complete error answer
    bool m_streamBegun = false; ///< the head of an answer in pieces was passed to the caller
    bool m_passingOn = false; ///< the answer is not a stream, but large
    bool m_paused = false; ///< the answer is not read, since the caller is behind
    time_point m_pausedAt{};
    duration m_pausedTime{0}; ///< of the current attempt
    std::string m_streamVersion; ///< software version of the endpoint that began the stream
    std::optional<std::uint64_t> m_lastEventId;
    std::string m_body;
    std::size_t m_passedBytes = 0; ///< of the body of a large answer
    std::size_t m_droppedBytes = 0; ///< of the body of a refusal
    std::unique_ptr<event_splitter> m_splitter;
    time_point m_attemptAt{};
    time_point m_lastProgressAt{};
    time_point m_passedAt{}; ///< of the last event passed to the caller
    time_point m_firstEventAt{}; ///< first event of the current attempt
    std::int64_t m_attemptEvents = 0;
    pause_sample m_pauses; ///< between the events of the current attempt
    bool m_hasFirstEvent = false;
    bool m_countedSlow = false; ///< the current attempt was counted as a slow answer
    bool m_done = false;
};

} // namespace laurelcroft

#include "laurelcroft/Proxy/RequestFlowAdmission.h"
#include "laurelcroft/Proxy/RequestFlowAnswering.h"
#include "laurelcroft/Proxy/RequestFlowAttempts.h"
#include "laurelcroft/Proxy/RequestFlowBackpressure.h"
#include "laurelcroft/Proxy/RequestFlowBorrowing.h"
#include "laurelcroft/Proxy/RequestFlowCandidates.h"
#include "laurelcroft/Proxy/RequestFlowCascade.h"
#include "laurelcroft/Proxy/RequestFlowChoosing.h"
#include "laurelcroft/Proxy/RequestFlowEndpointState.h"
#include "laurelcroft/Proxy/RequestFlowPace.h"
#include "laurelcroft/Proxy/RequestFlowProgress.h"
#include "laurelcroft/Proxy/RequestFlowRoom.h"
#include "laurelcroft/Proxy/RequestFlowSending.h"
#include "laurelcroft/Proxy/RequestFlowSuspicion.h"

#endif
