//===-- Entry/EntryCore.h - decision logic of an entry ----------*- C++ -*-===//
//
// Takes each request through its steps: authentication, limits, choice of version, claim, choice of
// the first tier, evaluation of its answer, billing and delivery. All I/O goes through the
// environment, so that tests can run this code with fakes and a manual clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_ENTRYCORE_H
#define LAURELCROFT_ENTRY_ENTRYCORE_H

#include "laurelcroft/Entry/AttemptRunner.h"
#include "laurelcroft/Entry/EntryErrors.h"
#include "laurelcroft/Entry/RequestFlow.h"
#include "laurelcroft/Entry/RequestLookup.h"
#include "laurelcroft/Entry/VersionGuardSet.h"
#include "laurelcroft/Ledger/BillOutbox.h"
#include "laurelcroft/Ledger/ClaimRegistry.h"
#include "laurelcroft/Platform/HttpClients.h"
#include "laurelcroft/Policy/CustomerLimits.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace laurelcroft {

/// The interface to the process that the core requires.
template <class E>
concept entry_environment = attempt_port<E> && bill_port<E> && bundle_source<E> && requires(
        E env, caller_id caller, answer_event event, const rating_sample &sample,
        std::function<void(std::optional<double>)> onRating, const std::string &name)
{
    env.answer(caller, std::move(event));
    env.rate(sample, onRating);
    env.broadcastRolloutStop(name, name);
    {
        env.tableReachable()
        } -> std::convertible_to<bool>;
};

/// Options of one entry.
struct entry_options
{
    std::string instance;
    std::string dataCentre;
    std::size_t maxRequestsInFlight = 4096; ///< further requests are refused
    milliseconds defaultTimeout{120000};
    std::int64_t sessionLifetimeMs = 7LL * 24 * 3600 * 1000;
    double ratedShare = 0.1; ///< share of answers that are sent to be rated
    duration bundleRetryDelay = milliseconds(100); ///< time to fetch a newer bundle
    int maxBundleRetries = 3; ///< of one request
    attempt_options attempts;
    outbox_options outbox;
    subset_options subset;
};

/// Processes the requests of one entry.
template <runtime_like Runtime, table_like Table, entry_environment Env>
class entry_core
{
public:
    using tracker_type = bundle_tracker<Runtime, Env>;
    using runner_type = attempt_runner<Runtime, Env>;

    entry_core(Runtime &runtime, Table &table, Env &env, random_source &random, signoff_rule rule,
               session_token_codec tokenCodec, entry_options options)
        : m_runtime(runtime)
        , m_env(env)
        , m_random(random)
        , m_options(std::move(options))
        , m_bundleTracker(runtime, env, std::move(rule),
                          [this](const auto &taken) { m_guards.onBundle(taken->rules); })
        , m_directory(m_options.instance, m_options.dataCentre, m_options.subset)
        , m_runner(runtime, env, m_directory, random, m_options.attempts)
        , m_outbox(runtime, table, env, m_options.instance, m_options.outbox)
        , m_claims(runtime, table, m_options.instance)
        , m_pinner(table, random, std::move(tokenCodec), m_options.sessionLifetimeMs)
        , m_lookup(table, m_claims, env)
    {
    }

    tracker_type &bundleTracker() { return m_bundleTracker; }
    endpoint_directory &directory() { return m_directory; }
    runner_type &runner() { return m_runner; }
    auto &outbox() { return m_outbox; }
    auto &claims() { return m_claims; }
    customer_limits &limits() { return m_limits; }
    version_guard_set &guards() { return m_guards; }

    /// Refuses new requests from now on, and writes the bills held as copies for other processes.
    void drain()
    {
        m_draining = true;
        m_outbox.adoptAll();
    }
    bool isDraining() const { return m_draining; }

    /// \returns true if no request is in flight and no write to the table is pending.
    bool isIdle() const { return m_flows.empty() && m_outbox.isEmpty() && m_claims.pending() == 0; }
    std::size_t inFlight() const { return m_flows.size(); }

    /// \returns true if requests can be served.
    bool isReady() const { return m_bundleTracker.current() != nullptr && !m_draining; }

    /// Starts processing a caller's request.
    void submit(caller_request request)
    {
        const caller_id id = request.id;
        auto flow = std::make_unique<request_flow>();
        flow->request = std::move(request);
        flow->receivedAt = m_runtime.now();
        const auto refused = admitRequest(*flow);
        if (refused) {
            rejectRequest(*flow, *refused);
            return;
        }
        if (!flow->request.idempotencyKey.empty())
            m_callersByRequestId[flow->requestId] = id;
        m_flows[id] = std::move(flow);
        pinSession(id);
    }

    /// Handles a caller that closed its connection.
    void callerLeft(caller_id id)
    {
        request_flow *const flow = find(id);
        if (flow == nullptr || flow->callerLeft)
            return;
        flow->callerLeft = true;
        // A claimed request continues, so that the caller can ask for its answer. If no tier is
        // running, a later step ends the request.
        if (flow->claimOperationId || flow->run == 0)
            return;
        const tier_result partial = m_runner.cancel(flow->run);
        flow->run = 0;
        recordDecision(*flow, decision_kind::answer, "cancelled", 1, "the caller left");
        if (partial.outcome != tier_outcome::notRun)
            addStep(*flow, partial);
        bill(*flow, "partial");
        end(id);
    }

    /// Returns flow-control credit for streamed data that the caller received.
    void callerConsumed(caller_id id, std::size_t linkBytes)
    {
        if (request_flow *const flow = find(id); flow != nullptr && flow->run != 0)
            m_runner.consumed(flow->run, linkBytes);
    }

    /// Answers a query for the models that a customer may use.
    void listModels(const models_request &request)
    {
        const auto current = m_bundleTracker.current();
        const customer *who = current ? authenticate(current->rules, request.key) : nullptr;
        if (who == nullptr)
            m_env.answer(request.id, errorAnswer(current ? badKey() : noBundle()));
        else
            m_env.answer(request.id, modelsAnswer(current->rules, *who));
    }

    /// Answers a query for the status of a request.
    void findRequest(const status_request &request)
    {
        const auto current = m_bundleTracker.current();
        const customer *who = current ? authenticate(current->rules, request.key) : nullptr;
        if (who == nullptr) {
            m_env.answer(request.id, errorAnswer(current ? badKey() : noBundle()));
            return;
        }
        m_lookup.find(request, who->name, [this](const std::string &id) {
            return m_callersByRequestId.count(id) != 0;
        });
    }

    /// Handles the bundle epoch in a message from another process.
    void onPeerEpoch(const std::string &peer, bundle_epoch epoch)
    {
        if (epoch > m_bundleTracker.epoch())
            m_bundleTracker.observePeerEpoch(peer, epoch, false, duration(0));
    }

    /// Handles a roll-out that another process's guard stopped.
    void onRolloutStopped(const std::string &model, const std::string &version)
    {
        if (m_guards.stop(model, version))
            logWarning(log_part::routing, "roll-out stopped by another entry's guard",
                       {{"model", model}, {"version", version}});
    }

private:
    request_flow *find(caller_id id)
    {
        const auto it = m_flows.find(id);
        return it == m_flows.end() ? nullptr : it->second.get();
    }

    void recordDecision(const request_flow &flow, decision_kind kind, std::string chosen,
                        std::size_t considered, std::string reason)
    {
        m_env.recordDecision({flow.requestId, flow.rules ? flow.epoch() : 0, kind,
                              std::move(chosen), considered, std::move(reason)});
    }

    /// Checks a new request and initializes its flow. \returns an error if it is refused.
    std::optional<caller_error> admitRequest(request_flow &flow);
    /// Checks capacity and the customer's limits, and sets the deadline.
    std::optional<caller_error> checkCapacity(request_flow &flow, const customer &who);

    std::string newRequestId()
    {
        const std::uint64_t bits[2] = {m_random.bits(), m_random.bits()};
        return "r" + toHex(std::string_view(reinterpret_cast<const char *>(bits), sizeof(bits)));
    }

    /// Refuses a request for which no flow was registered.
    void rejectRequest(const request_flow &flow, const caller_error &error)
    {
        recordDecision(flow, decision_kind::answer, error.code, 0, error.message);
        m_env.answer(flow.request.id,
                     errorAnswer(error, {{"X-Laurelcroft-Request-Id", flow.requestId}}));
    }

    /// Ends a flow with an error answer.
    void fail(caller_id id, const caller_error &error);

    /// Removes a flow and frees its place in the customer's limits.
    void end(caller_id id)
    {
        request_flow *const flow = find(id);
        m_limits.finish(flow->customerName);
        const auto keyed = m_callersByRequestId.find(flow->requestId);
        if (keyed != m_callersByRequestId.end() && keyed->second == id)
            m_callersByRequestId.erase(keyed);
        m_flows.erase(id);
    }

    version_knowledge knowledgeOf(const bundle &rules, const std::string &name) const
    {
        version_knowledge known;
        known.rolloutStopped = m_guards.isStopped(name);
        const rollout *moving = rules.findRollout(name);
        known.confirmed = moving == nullptr
                || m_bundleTracker.isConfirmedWithin(seconds(moving->guard.confirmSeconds));
        return known;
    }

    void pinSession(caller_id id);

    static std::string describePins(const session &item)
    {
        std::string text;
        for (const auto &[name, version] : item.pins)
            text += (text.empty() ? "" : " ") + name + "@" + version;
        return text;
    }

    void claimIfNeeded(caller_id id);
    void onClaim(caller_id id, const claim_result &result);
    void startTiers(caller_id id);
    void startTier(caller_id id);
    void onTierData(caller_id id, std::string_view data, std::size_t linkBytes);
    void beginStream(request_flow &flow);
    void addStep(request_flow &flow, const tier_result &result);
    void onTierResult(caller_id id, const tier_result &result);
    /// \returns true if the agent refused the version because of a newer bundle than this entry has
    /// and the session is new: it may get another version once this entry has that bundle.
    bool mayRetryWithNewBundle(const request_flow &flow, const tier_result &result) const
    {
        const bool isNewer = result.refusal == wire::refusal_withdrawn
                || result.refusal == wire::refusal_not_allowed;
        return isNewer && flow.session.isNew && flow.steps.empty() && !flow.callerLeft
                && flow.bundleRetries < m_options.maxBundleRetries;
    }

    /// After a delay, resolves the target and pins the session again with the bundle then in force.
    void retryWithNewBundle(caller_id id);
    void onTierFinished(caller_id id, const tier_result &result);
    /// Decides whether the answer of the current tier is accepted or the request escalates.
    bool suffices(const request_flow &flow, const tier_result &result, bool isError);

    /// Updates the moving average of the time from receipt of a request until \p result's tier
    /// ended.
    void updateTierLatency(const request_flow &flow, const tier_result &result)
    {
        const double tookMs
                = std::chrono::duration<double, std::milli>(m_runtime.now() - flow.receivedAt)
                          .count();
        double &known = m_tierLatencyMs[flow.tierTarget()];
        if (result.outcome == tier_outcome::finished)
            known += latencySmoothing * (tookMs - known);
    }

    void addEvidence(const request_flow &flow, evidence_kind kind, bool good)
    {
        addEvidence(flow.tierTarget(), flow.tierVersion(), flow.who().group, kind, good);
    }

    void addEvidence(const std::string &model, const std::string &version, const std::string &group,
                     evidence_kind kind, bool good)
    {
        if (!m_guards.add({model, version, group, kind, good}))
            return;
        logWarning(log_part::routing, "roll-out stopped by its guard",
                   {{"model", model}, {"version", version}});
        m_env.broadcastRolloutStop(model, version);
    }

    /// Sends a random sample of answers to be rated and records the ratings.
    void sampleRating(const request_flow &flow, const tier_result &result, bool released);
    /// Bills the request. Its runs are settled once a second process or the table holds the bill.
    void bill(request_flow &flow, std::string_view outcome)
    {
        if (flow.steps.empty())
            return;
        wire::bill item = makeBill(flow, outcome);
        // A process that knows more, such as the agent that could not be reached, may replace it.
        item.set_provisional(outcome == uncertainOutcome);
        m_outbox.add(std::move(item), [this, runs = flow.unsettled] { settle(runs); });
    }

    void settle(const std::vector<std::uint64_t> &runs)
    {
        for (const std::uint64_t run : runs)
            m_runner.settle(run);
    }

    /// Bills a complete answer. Its last part is sent once a second process or the table holds the
    /// bill.
    void complete(caller_id id, const tier_result &result)
    {
        request_flow &flow = *find(id);
        const wire::bill item = makeBill(flow, "complete");
        recordDecision(flow, decision_kind::bill, shortNumber(item.cost()), flow.steps.size(),
                       "complete");
        m_outbox.add(item, [this, id, result] { release(id, result); });
    }

    /// Stores and sends a billed answer and ends the flow.
    void release(caller_id id, const tier_result &result);
    /// Settles the runs of a request. The answer of a claimed request is stored first, so that its
    /// agent keeps it until then.
    void storeAnswer(const request_flow &flow, const tier_result &result);
    /// Sends the complete answer, or the end of a streamed one.
    void sendFinalPart(request_flow &flow, const tier_result &result);
    static constexpr milliseconds maxTimeout{3600000};
    static constexpr double latencySmoothing = 0.1; ///< weight of a new value
    static constexpr double minGoodRating = 0.5; ///< ratings below it count as bad
    static constexpr std::size_t maxRatedBytes = 8192;
    static constexpr std::string_view streamTerminator = "data: [DONE]\n\n";

    Runtime &m_runtime;
    Env &m_env;
    random_source &m_random;
    entry_options m_options;
    bool m_draining = false;
    tracker_type m_bundleTracker;
    endpoint_directory m_directory;
    runner_type m_runner;
    bill_outbox<Runtime, Table, Env> m_outbox;
    claim_registry<Runtime, Table> m_claims;
    session_pinner<Table> m_pinner;
    request_lookup<Table, claim_registry<Runtime, Table>, Env> m_lookup;
    customer_limits m_limits;
    cascade_learner m_learner;
    version_guard_set m_guards;
    std::map<std::string, double> m_tierLatencyMs; ///< moving average by model
    std::unordered_map<caller_id, std::unique_ptr<request_flow>> m_flows;
    std::unordered_map<std::string, caller_id> m_callersByRequestId; ///< with idempotency key
};

} // namespace laurelcroft

#include "laurelcroft/Entry/EntryCoreImpl.h"

#endif
