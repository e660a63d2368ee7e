//===-- Entry/EntryCore.h - the decisions of an entry ------------*- C++ -*-===//
//
// Sees each request through its steps: who asks, within which limits, on which
// version, claimed or not, from which tier, judged, billed, released. All I/O is
// behind the environment, so that tests run this code over fakes under a paused
// clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_ENTRYCORE_H
#define LAURELCROFT_ENTRY_ENTRYCORE_H

#include "laurelcroft/Entry/AttemptRunner.h"
#include "laurelcroft/Entry/EntryErrors.h"
#include "laurelcroft/Entry/GuardBoard.h"
#include "laurelcroft/Entry/RequestFlow.h"
#include "laurelcroft/Entry/RequestLookup.h"
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

/// What the core needs of its process.
template <class E>
concept entry_environment = attempt_port<E> && bill_port<E> && bundle_source<E> && requires(
        E env, caller_id caller, answer_event event, const rating_sample &sample,
        std::function<void(std::optional<double>)> onRating, const std::string &name)
{
    env.answer(caller, std::move(event));
    env.rate(sample, onRating);
    env.spreadStop(name, name);
    {
        env.tableReachable()
        } -> std::convertible_to<bool>;
};

/// Bounds of one entry.
struct entry_options
{
    std::string instance;
    std::string dataCentre;
    std::size_t mostFlows = 4096; ///< requests in flight; above it: refused
    milliseconds defaultTimeout{120000};
    std::int64_t sessionLifeMs = 7LL * 24 * 3600 * 1000;
    double ratedShare = 0.1; ///< of answers that are sent to be rated
    duration redecideWait = milliseconds(100); ///< after an agent knew a newer bundle
    int mostRedecisions = 3;
    attempt_options attempts;
    outbox_options outbox;
    subset_options subset;
};

/// The decisions of one entry.
template <runtime_like Runtime, table_like Table, entry_environment Env>
class entry_core
{
public:
    using keeper_type = bundle_tracker<Runtime, Env>;
    using runner_type = attempt_runner<Runtime, Env>;

    entry_core(Runtime &runtime, Table &table, Env &env, random_source &random, signoff_rule rule,
               session_mint mint, entry_options options)
        : m_runtime(runtime)
        , m_env(env)
        , m_random(random)
        , m_options(std::move(options))
        , m_keeper(runtime, env, std::move(rule),
                   [this](const auto &taken) { m_guards.onBundle(taken->rules); })
        , m_directory(m_options.instance, m_options.dataCentre, m_options.subset)
        , m_runner(runtime, env, m_directory, random, m_options.attempts)
        , m_outbox(runtime, table, env, m_options.instance, m_options.outbox)
        , m_claims(runtime, table, m_options.instance)
        , m_pinner(table, random, std::move(mint), m_options.sessionLifeMs)
        , m_lookup(table, m_claims, env)
    {
    }

    keeper_type &keeper() { return m_keeper; }
    endpoint_directory &directory() { return m_directory; }
    runner_type &runner() { return m_runner; }
    auto &outbox() { return m_outbox; }
    auto &claims() { return m_claims; }
    customer_limits &limits() { return m_limits; }
    guard_board &guards() { return m_guards; }

    /// Refuses new requests from now on, and writes what it holds for others.
    void drain()
    {
        m_draining = true;
        m_outbox.adoptAll();
    }
    bool isDraining() const { return m_draining; }

    /// \returns true when nothing is in flight and nothing is owed to the table.
    bool isIdle() const { return m_flows.empty() && m_outbox.isEmpty() && m_claims.pending() == 0; }
    std::size_t inFlight() const { return m_flows.size(); }

    /// \returns true when requests can be served.
    bool isReady() const { return m_keeper.current() != nullptr && !m_draining; }

    /// Takes a caller's request.
    void submit(caller_request request)
    {
        const caller_id id = request.id;
        auto flow = std::make_unique<request_flow>();
        flow->request = std::move(request);
        flow->receivedAt = m_runtime.now();
        const auto refused = receive(*flow);
        if (refused) {
            refuseAtOnce(*flow, *refused);
            return;
        }
        if (!flow->request.idempotencyKey.empty())
            m_keyed[flow->requestId] = id;
        m_flows[id] = std::move(flow);
        pinSession(id);
    }

    /// The caller closed its connection.
    void callerLeft(caller_id id)
    {
        request_flow *const flow = find(id);
        if (flow == nullptr || flow->callerLeft)
            return;
        flow->callerLeft = true;
        // What may not be repeated goes on: its answer is kept for the caller to ask.
        if (flow->claimOperation || flow->run == 0)
            return;
        const tier_result partial = m_runner.cancel(flow->run);
        flow->run = 0;
        note(*flow, decision_kind::answer, "cancelled", 1, "the caller left");
        if (partial.outcome != tier_outcome::notRun)
            addStep(*flow, partial);
        bill(*flow, "partial");
        end(id);
    }

    /// The caller took streamed data.
    void callerConsumed(caller_id id, std::size_t linkBytes)
    {
        if (request_flow *const flow = find(id); flow != nullptr && flow->run != 0)
            m_runner.consumed(flow->run, linkBytes);
    }

    /// Answers what models a customer may use.
    void listModels(const models_request &request)
    {
        const auto current = m_keeper.current();
        const customer *who = current ? authenticate(current->rules, request.key) : nullptr;
        if (who == nullptr)
            m_env.answer(request.id, errorAnswer(current ? badKey() : noBundle()));
        else
            m_env.answer(request.id, modelsAnswer(current->rules, *who));
    }

    /// Answers what became of a request.
    void findRequest(const status_request &request)
    {
        const auto current = m_keeper.current();
        const customer *who = current ? authenticate(current->rules, request.key) : nullptr;
        if (who == nullptr) {
            m_env.answer(request.id, errorAnswer(current ? badKey() : noBundle()));
            return;
        }
        m_lookup.find(request, who->name,
                      [this](const std::string &id) { return m_keyed.count(id) != 0; });
    }

    /// Hears the bundle epoch that another process put on a message.
    void hearEpoch(const std::string &peer, bundle_epoch epoch)
    {
        if (epoch > m_keeper.epoch())
            m_keeper.observePeerEpoch(peer, epoch, false, duration(0));
    }

    /// Another process stopped a version under roll-out.
    void hearStop(const std::string &model, const std::string &version)
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

    void note(const request_flow &flow, decision_kind kind, std::string chosen,
              std::size_t considered, std::string reason)
    {
        m_env.note({flow.requestId, flow.rules ? flow.epoch() : 0, kind, std::move(chosen),
                    considered, std::move(reason)});
    }

    /// Checks a new request and fills its flow. \returns the error that refuses it.
    std::optional<caller_error> receive(request_flow &flow);
    std::optional<caller_error> checkRoom(request_flow &flow, const customer &who);

    std::string newRequestId()
    {
        const std::uint64_t bits[2] = {m_random.bits(), m_random.bits()};
        return "r" + toHex(std::string_view(reinterpret_cast<const char *>(bits), sizeof(bits)));
    }

    void refuseAtOnce(const request_flow &flow, const caller_error &error)
    {
        note(flow, decision_kind::answer, error.code, 0, error.message);
        m_env.answer(flow.request.id,
                     errorAnswer(error, {{"X-Laurelcroft-Request-Id", flow.requestId}}));
    }

    /// Ends a flow with an error and answers it at once.
    void fail(caller_id id, const caller_error &error);

    void end(caller_id id)
    {
        request_flow *const flow = find(id);
        m_limits.finish(flow->customerName);
        const auto keyed = m_keyed.find(flow->requestId);
        if (keyed != m_keyed.end() && keyed->second == id)
            m_keyed.erase(keyed);
        m_flows.erase(id);
    }

    version_knowledge knowledgeOf(const bundle &rules, const std::string &name) const
    {
        version_knowledge known;
        known.rolloutStopped = m_guards.isStopped(name);
        const rollout *moving = rules.findRollout(name);
        known.confirmed = moving == nullptr
                || m_keeper.isConfirmedWithin(seconds(moving->guard.confirmSeconds));
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
    /// A withdrawal that the agent knew first: a session that begins here may still get
    /// another version, once this entry has caught up.
    bool mayRedecide(const request_flow &flow, const tier_result &result) const
    {
        const bool isNewer = result.refusal == wire::refusal_withdrawn
                || result.refusal == wire::refusal_not_allowed;
        return isNewer && flow.session.minted && flow.steps.empty() && !flow.callerLeft
                && flow.redecisions < m_options.mostRedecisions;
    }

    void redecide(caller_id id);
    void onTierFinished(caller_id id, const tier_result &result);
    bool suffices(const request_flow &flow, const tier_result &result, bool isError);

    void learnSpeed(const request_flow &flow, const tier_result &result)
    {
        const double tookMs
                = std::chrono::duration<double, std::milli>(m_runtime.now() - flow.receivedAt)
                          .count();
        double &known = m_tierMs[flow.tierTarget()];
        if (result.outcome == tier_outcome::finished)
            known += speedSmoothing * (tookMs - known);
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
        m_env.spreadStop(model, version);
    }

    void sampleRating(const request_flow &flow, const tier_result &result, bool released);
    /// Bills the request; \c settle follows once the bill is safe.
    void bill(request_flow &flow, std::string_view outcome)
    {
        if (flow.steps.empty())
            return;
        wire::bill item = makeBill(flow, outcome);
        // Whoever learns more, such as the agent that was out of reach, replaces it.
        item.set_provisional(outcome == uncertainOutcome);
        m_outbox.add(std::move(item), [this, runs = flow.unsettled] { settle(runs); });
    }

    void settle(const std::vector<std::uint64_t> &runs)
    {
        for (const std::uint64_t run : runs)
            m_runner.settle(run);
    }

    /// The answer is whole: bill first, then the last part of the answer.
    void complete(caller_id id, const tier_result &result)
    {
        request_flow &flow = *find(id);
        const wire::bill item = makeBill(flow, "complete");
        note(flow, decision_kind::bill, shortNumber(item.cost()), flow.steps.size(), "complete");
        m_outbox.add(item, [this, id, result] { release(id, result); });
    }

    void release(caller_id id, const tier_result &result);
    /// Stores the answer of a claimed request; its agent forgets it only then.
    void keepAnswer(const request_flow &flow, const tier_result &result);
    void sendLast(request_flow &flow, const tier_result &result);
    static constexpr milliseconds longestTimeout{3600000};
    static constexpr double speedSmoothing = 0.1;
    static constexpr double goodRating = 0.5;
    static constexpr std::size_t largestRated = 8192;
    static constexpr std::string_view streamEnd = "data: [DONE]\n\n";

    Runtime &m_runtime;
    Env &m_env;
    random_source &m_random;
    entry_options m_options;
    bool m_draining = false;
    keeper_type m_keeper;
    endpoint_directory m_directory;
    runner_type m_runner;
    bill_outbox<Runtime, Table, Env> m_outbox;
    claim_registry<Runtime, Table> m_claims;
    session_pinner<Table> m_pinner;
    request_lookup<Table, claim_registry<Runtime, Table>, Env> m_lookup;
    customer_limits m_limits;
    cascade_learner m_learner;
    guard_board m_guards;
    std::map<std::string, double> m_tierMs;
    std::unordered_map<caller_id, std::unique_ptr<request_flow>> m_flows;
    std::unordered_map<std::string, caller_id> m_keyed;
};

} // namespace laurelcroft

#include "laurelcroft/Entry/EntryCoreImpl.h"

#endif
