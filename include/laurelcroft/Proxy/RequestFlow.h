//===-- Proxy/RequestFlow.h - one request on the direct path -----*- C++ -*-===//
//
// From a caller's request to its final answer: route, customer, endpoint, and what
// follows when an attempt goes wrong. A template over its environment, so that tests run
// the same code with fake endpoints and a paused clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOW_H
#define LAURELCROFT_PROXY_REQUESTFLOW_H

#include "laurelcroft/Http/EventSplitter.h"
#include "laurelcroft/Policy/AttemptOutcome.h"
#include "laurelcroft/Policy/CandidateSample.h"
#include "laurelcroft/Policy/DirectChoice.h"
#include "laurelcroft/Policy/Patience.h"
#include "laurelcroft/Proxy/FlowTypes.h"
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

/// What a flow needs around it.
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
    env.write(body);
    env.end();
    env.abort();
    env.finished(record);
    env.attemptEnded(record, attempt_end::notSent, next_step::refuse);
    env.checkEnded(endpoint);
    env.escalated(record, body);
    env.sentFurther(record, further_send::repeat);
};

/// An endpoint that was picked for a send.
struct endpoint_pick
{
    endpoint_ptr endpoint;
    double waitMs = 0; ///< for prompts that it reads before, and for this one
    direct_reason reason = direct_reason::leastCost;
};

/// What a request's prompt costs the current model to read, the same at all endpoints.
struct prompt_cost
{
    unsigned sharedTokens = 0; ///< of its shared prefixes
    double msPerToken = 0;
};

/// One request. Keep it alive until \c isDone.
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

    /// Begins; the answer may come before it returns.
    void start();

    /// Instead of start(), when this process ends at \p end: a request that is over by then in any
    /// case is served, another one is refused at once.
    /// \param retryAfter until this process, or another in its place, is ready.
    void startDuringShutdown(time_point end, milliseconds retryAfter);

    /// The caller left: whatever runs for it is stopped.
    void callerLeft();

    /// The process must end: the answer is ended as well as can be.
    void giveUp() { onDeadline(flow_reason::stopping); }

    bool isDone() const { return m_done; }
    const flow_record &record() const { return m_record; }

private:
    using weak_flow = std::weak_ptr<request_flow>;

    bool admit();
    void serve();
    const weighted_service &pickService();
    void sendNext();
    bool waitForRoom();
    /// Looks again soon. \returns false when it has waited for \p longest.
    bool waitAndSend(milliseconds longest);
    /// Sends, or waits again, unless the flow has ended by then.
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
    /// \returns those of \p endpoints where both the route and the customer may be served.
    std::vector<endpoint_ptr> withinRegions(const std::vector<endpoint_ptr> &endpoints);
    direct_candidate candidateFor(const endpoint_ptr &endpoint, const prompt_cost &prompt);
    /// Excludes \p candidate, whose endpoint is in backoff.
    void applyBackoff(const service_endpoint &endpoint, direct_candidate &candidate);
    /// Records that the excluded \p candidate becomes available at \p at, unless already tried.
    void noteAvailableAt(const direct_candidate &candidate, time_point at);
    /// Excludes \p candidate when this entry's share of the endpoint's rate limit is used up.
    void applyRateLimit(const service_endpoint &endpoint, direct_candidate &candidate);
    std::optional<endpoint_pick> pickAmong(const std::vector<endpoint_ptr> &endpoints);
    /// \param items what is to be known of \p endpoints to leave out some.
    std::optional<endpoint_pick> pickAmong(const std::vector<endpoint_ptr> &endpoints,
                                           std::span<const sampled_endpoint> items);
    /// \returns indices of endpoints that are out of backoff and within their rate limits. Used
    /// when a sample has none. The search starts at a position derived from \p draw.
    std::vector<std::size_t> availableEndpoints(const std::vector<endpoint_ptr> &endpoints,
                                                std::uint64_t draw);
    std::optional<endpoint_pick> pickEligible(const std::vector<endpoint_ptr> &usable);
    void send(const endpoint_pick &pick);
    repeat_outlook &outlook() { return m_env.routing().outlook(m_service); }
    send_budget &budget() { return m_env.routing().repeats(m_service); }
    double allowanceShare() { return m_env.routing().shareOfEntries(); }
    bool mayTakeFurtherSend(further_send what);
    /// Takes a further send out of the budget, unless one is held already.
    /// \returns false when there is none.
    bool takeFurtherSend(further_send what);
    call_events eventsFor(unsigned number);
    void watchProgress(unsigned number);
    /// Tells the judge of versions when the current attempt's first part is late.
    void noteSlowWait();
    std::vector<prompt_prefix> prefixesOf(const std::string &model) const;
    std::string modelName() const;
    unsigned tokensToRead(unsigned kept) const;
    double readingMsPerToken();
    double shareOfObjective(std::chrono::duration<double, std::milli> time) const;
    void endReading();
    milliseconds currentPatience();
    bool isEndpointSilent();

    void onAnswer(proxy_answer &&answer);
    /// Updates the endpoint's load and rate limit from the head of the answer.
    void noteEndpointState();
    /// Tells, once a request, that an endpoint runs it from now on. It is so in nearly all cases;
    /// what was counted when this process ends had mostly begun.
    void noteRun();
    /// Takes that back: the endpoint of the current attempt has not run it.
    void noteNotRun();
    void noteWait();
    void escalate();
    cascade_view cascadeView();
    void onData(std::string_view data);
    void onEvent(const stream_event &event);
    void onEnd(call_end end);
    void endAttempt(attempt_end end);
    /// Ends the call; where the connection was lost, it is looked up whether the endpoint lives.
    void releaseEndpoint(attempt_end end);
    void countAttempt(attempt_end end);
    /// What follows from an attempt that was not answered, and why, for the log.
    next_step decideNextStep(attempt_end end);
    void executeStep(next_step step, attempt_end end);
    void sendAgain(further_send what);
    void closeAttempt(attempt_end end);
    void endRun();
    /// \returns the request's key where something speaks against any request; it costs a hash of
    /// the body.
    std::optional<request_key> keyIfSuspected();
    suspicion ownSuspicion();
    bool waitForTrial();
    void endTrial();
    /// An endpoint has answered the request, or runs it for long.
    void clearOfSuspicion();
    void onDeadline(flow_reason why);

    answer_timing timingNow();
    attempt_facts facts();
    bool isValidSuccess() const;
    void deliver();
    /// \returns when a caller should come back whom endpoints had no room for.
    milliseconds retryAfterAllRefused();
    void refuse(int status, flow_reason why, std::optional<milliseconds> retryAfter);
    void finish(flow_reason why, int status);

    session_request sessionRequest() { return {m_session, m_arrivedAt, now()}; }
    time_point now() { return m_env.runtime().now(); }
    bool isStream() const { return m_route->form == answer_form::events; }
    milliseconds timeLeft() { return std::chrono::ceil<milliseconds>(m_deadline - now()); }

    Env m_env;
    std::shared_ptr<const proxy_request> m_request;
    contract_ptr m_contract;
    const service_route *m_route = nullptr;
    const contract_customer *m_customer = nullptr;
    std::string m_service;
    std::uint64_t m_session = 0;
    version_reason m_versionReason = version_reason::single; ///< of the last choice
    std::vector<prompt_prefix> m_prefixes; ///< of the current model, shared ones only
    double m_readingMs = 0; ///< of the current attempt, until its first event
    double m_expectedReadingMs
            = 0; ///< reading that is before the first event of the current attempt
    double m_ownReadingShare = 1; ///< of all that reading, the current attempt's own prompt
    double m_remoteReadingMs = 0; ///< the same of other entries' prompts, as far as they have told
    unsigned m_readTokens = 0;
    time_point m_arrivedAt{};
    time_point m_deadline{};
    timer_id m_deadlineTimer = 0;
    timer_id m_progressTimer = 0;
    flow_record m_record;

    std::vector<std::string> m_tried;
    std::set<std::string>
            m_failedDataCentres; ///< data centres where an attempt broke or found nobody
    std::size_t m_modelIndex = 0;
    unsigned m_sends = 0; ///< that reached or may have reached an endpoint
    unsigned m_unreached = 0; ///< endpoints that were not found at their addresses
    unsigned m_receivedSends = 0; ///< sends that some process took
    std::optional<further_send> m_reservedSend; ///< out of the budget and not made yet
    std::optional<further_send>
            m_currentFurtherSend; ///< the current attempt, when it is a further send
    bool m_excludedCold = false; ///< the last choice passed over an endpoint that bears no more now
    bool m_excludedInBackoff = false; ///< the last choice passed over one in backoff
    bool m_excludedRateLimited = false; ///< the last choice passed over one for its rate limit
    std::optional<time_point> m_nextAvailableAt; ///< of the endpoints passed over, the earliest
    suspicion m_suspicion = suspicion::none; ///< of this request, at the last choice
    bool m_isTrial = false; ///< the current attempt is one of a suspected request
    bool m_excludedWithheld = false; ///< the last choice left out endpoints that must not get it
    bool m_excludedByRegion
            = false; ///< the last choice passed over an endpoint outside its regions
    bool m_coldRoomExpected = false; ///< one of those has a share for this entry
    std::optional<time_point> m_waitingSince; ///< for room at a cold endpoint
    unsigned m_attemptNumber = 0; ///< of the current attempt; older ones' events are void
    call_id m_call = 0;
    endpoint_ptr m_endpoint; ///< of the current attempt; null between attempts
    endpoint_ptr m_escalatedFrom; ///< whose answer was dropped for a larger model
    std::shared_ptr<endpoint_run> m_run; ///< of the current attempt
    proxy_answer m_answer;
    bool m_headReceived = false; ///< the current attempt's head has come
    std::optional<time_point> m_runNotedAt; ///< when an endpoint is told to have begun to run it
    bool m_mayHaveRun = false; ///< at an earlier endpoint
    bool m_hasEndpointFailure = false; ///< the last attempt brought an endpoint's own whole failure
    bool m_streamBegun = false; ///< the caller has the head of a stream
    std::string m_streamVersion; ///< of the endpoint that began the stream
    std::optional<std::uint64_t> m_lastEventId;
    std::string m_body;
    std::unique_ptr<event_splitter> m_splitter;
    time_point m_attemptAt{};
    time_point m_lastProgressAt{};
    time_point m_firstEventAt{}; ///< of the current attempt
    std::int64_t m_attemptEvents = 0;
    bool m_hasFirstEvent = false;
    bool m_countedSlow = false; ///< the current attempt, as a slow answer of its version
    bool m_done = false;
};

} // namespace laurelcroft

#include "laurelcroft/Proxy/RequestFlowAnswering.h"
#include "laurelcroft/Proxy/RequestFlowChoosing.h"
#include "laurelcroft/Proxy/RequestFlowEndpointState.h"
#include "laurelcroft/Proxy/RequestFlowSending.h"

#endif
