//===-- Agent/AgentCore.h - admits and runs attempts -------------*- C++ -*-===//
//
// The logic of an agent: admission of offers, detection of duplicates, load and
// unload orders to the endpoint, and the handling of attempts whose entry is lost.
// All I/O goes through the environment, so that tests can run this code with fakes
// and a simulated clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_AGENT_AGENTCORE_H
#define LAURELCROFT_AGENT_AGENTCORE_H

#include "laurelcroft/Agent/Attempt.h"
#include "laurelcroft/Fleet/BundleTracker.h"
#include "laurelcroft/Ledger/BillOutbox.h"
#include "laurelcroft/Ledger/ClaimRegistry.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace laurelcroft {

/// Operations that the core requires from the process that hosts it.
template <class E>
concept agent_environment
        = bundle_source<E> && bill_port<E> && requires(E env, link_stream_id stream,
                                                       const wire::from_agent &message,
                                                       work_id work, const wire::offer &offer,
                                                       const engine_order &order,
                                                       std::function<void(bool)> done)
{
    env.sendToEntry(stream, message);
    env.closeStream(stream);
    env.resetStream(stream);
    env.startWork(work, offer);
    env.cancelWork(work);
    env.sendOrder(order, done);
};

/// Identity and limits of one agent.
struct agent_options
{
    std::string instance;
    std::string pool;
    std::uint32_t slots = 8; ///< attempts that the endpoint runs concurrently
    std::uint32_t maxAttempts = 64; ///< running and waiting; further offers are refused
    duration freezeCheckInterval = milliseconds(100);
    /// A longer gap between two events means that the process was frozen. It must be shorter
    /// than an entry waits for an admission, so that an offer that the entry has given up is
    /// refused when a frozen agent continues.
    duration freezeThreshold = milliseconds(500);
    duration orphanGrace = seconds(10); ///< time for an entry to resume an attempt
    duration duplicateRetention = seconds(900); ///< time that an attempt key is remembered
    std::size_t maxRememberedKeys = 200000;
    std::uint64_t firstIncarnation = 1;
};

/// The agent of one endpoint.
template <runtime_like Runtime, table_like Table, agent_environment Env>
class agent_core
{
public:
    using tracker_type = bundle_tracker<Runtime, Env>;

    agent_core(Runtime &runtime, Table &table, Env &env, signoff_rule rule, agent_options options)
        : m_runtime(runtime)
        , m_env(env)
        , m_options(std::move(options))
        , m_incarnation(m_options.firstIncarnation)
        , m_lastActivity(runtime.now())
        , m_bundleTracker(runtime, env, std::move(rule),
                          [this](const auto &installed) { onBundleInstalled(installed); })
        , m_outbox(runtime, table, env, m_options.instance)
        , m_claims(runtime, table, m_options.instance)
    {
    }

    void start() { tick(); }

    tracker_type &bundleTracker() { return m_bundleTracker; }
    auto &outbox() { return m_outbox; }
    std::uint64_t incarnation() const { return m_incarnation; }

    /// Refuses new offers from now on and writes the bill copies held for other instances to the
    /// table. Admitted attempts finish.
    void drain()
    {
        m_draining = true;
        m_outbox.adoptAll();
    }
    bool isDraining() const { return m_draining; }

    /// Sets the limit on running and waiting attempts. Below their current number, offers are
    /// refused until enough attempts have ended.
    void setMaxAttempts(std::uint32_t limit) { m_options.maxAttempts = limit; }

    /// \returns true if no attempt is left and all bills and claims are written to the table.
    bool isIdle() const
    {
        return m_attempts.empty() && m_outbox.isEmpty() && m_claims.pending() == 0;
    }

    /// Handles a message that an entry sent on the stream of an attempt.
    void onEntryMessage(link_stream_id stream, const wire::from_entry &message)
    {
        detectFreeze();
        if (message.has_offer())
            onOffer(stream, message.offer(), message.bundle_epoch());
        else if (message.has_resume())
            onResume(stream, message.resume());
        else if (message.has_settled())
            onSettled(stream);
        else if (message.has_cancel())
            onCancel(stream);
    }

    /// Handles the end or loss of a stream. The attempt is orphaned unless it is resumed in time.
    void onStreamClosed(link_stream_id stream)
    {
        detectFreeze();
        attempt *const item = findByStream(stream);
        m_keyByStream.erase(stream);
        if (item == nullptr)
            return;
        item->stream = 0;
        m_runtime.after(m_options.orphanGrace,
                        [this, key = item->key, generation = ++item->orphanGeneration] {
                            attempt *const found = find(key);
                            if (found != nullptr && found->stream == 0
                                && found->orphanGeneration == generation)
                                onOrphaned(*found);
                        });
    }

    /// Reports whether an offer that the entry got no reply to was admitted. If not, its key is
    /// remembered, so that the offer is refused when it still arrives.
    wire::revoked onRevoke(const wire::revoke &message)
    {
        detectFreeze();
        wire::revoked answer;
        answer.set_bundle_epoch(m_bundleTracker.epoch());
        const attempt_key key{message.request_id(), message.attempt()};
        const bool ran = find(key) != nullptr || m_recentKeys.count(key) != 0;
        answer.set_state(ran ? wire::attempt_started : wire::attempt_never_started);
        if (!ran)
            remember(m_revokedKeys, key);
        return answer;
    }

    /// Handles data of the endpoint's answer.
    void onWorkData(work_id work, std::string_view data)
    {
        attempt *const item = findByWork(work);
        if (item == nullptr)
            return;
        const std::uint64_t offset = item->answer.size();
        item->answer += data;
        sendPiece(*item, offset);
    }

    /// Handles the completion or failure of the endpoint's answer.
    void onWorkEnd(work_id work, const work_result &result)
    {
        attempt *const item = findByWork(work);
        if (item == nullptr)
            return;
        m_keyByWork.erase(work);
        item->running = false;
        item->result = result;
        estimateMissingUsage(*item);
        m_tokenRate.addSample(m_runtime.now(), result.usage.generated_tokens(),
                              m_runtime.now() - item->startedAt);
        sendEnd(*item);
        if (item->orphaned)
            settleOrphan(*item);
    }

    /// \returns the work that runs for \p stream, or 0 if there is none.
    work_id workOf(link_stream_id stream)
    {
        const attempt *const item = findByStream(stream);
        return item != nullptr && item->running ? item->work : 0;
    }

    /// \returns the current load without the loaded versions.
    wire::load_report load() const
    {
        wire::load_report report;
        const auto running = static_cast<std::uint32_t>(m_keyByWork.size());
        report.set_running(std::min(running, m_options.slots));
        report.set_queued(running > m_options.slots ? running - m_options.slots : 0);
        report.set_slots(m_options.slots);
        report.set_tokens_per_second(m_tokenRate.tokensPerSecond());
        report.set_draining(m_draining);
        return report;
    }

    /// \returns the current load with the versions that the endpoint has loaded.
    wire::load_report loadWithVersions() const
    {
        wire::load_report report = load();
        for (const std::string &name : m_loaded)
            report.add_loaded(name);
        return report;
    }

    /// \returns a message without a body; bundle epoch, incarnation and load are set.
    wire::from_agent makeMessage() const
    {
        wire::from_agent message;
        message.set_bundle_epoch(m_bundleTracker.epoch());
        message.set_incarnation(m_incarnation);
        *message.mutable_load() = load();
        return message;
    }

private:
    using attempt_map = std::map<attempt_key, std::unique_ptr<attempt>>;

    /// Starts a new incarnation if more than \c freezeThreshold has passed since the last call.
    /// Offers to earlier incarnations are refused because their entries may have given them up.
    void detectFreeze();

    void tick()
    {
        detectFreeze();
        expire(m_revokedKeys);
        expire(m_recentKeys);
        m_runtime.after(m_options.freezeCheckInterval, [this] { tick(); });
    }

    /// Removes keys that are older than \c duplicateRetention or exceed \c maxRememberedKeys.
    template <class M>
    void expire(M &known);

    void remember(std::set<attempt_key> &known, const attempt_key &key)
    {
        if (known.insert(key).second)
            m_insertionOrder[&known].emplace_back(m_runtime.now(), key);
    }

    attempt *find(const attempt_key &key)
    {
        const auto it = m_attempts.find(key);
        return it == m_attempts.end() ? nullptr : it->second.get();
    }

    attempt *findByStream(link_stream_id stream)
    {
        const auto it = m_keyByStream.find(stream);
        return it == m_keyByStream.end() ? nullptr : find(it->second);
    }

    attempt *findByWork(work_id work)
    {
        const auto it = m_keyByWork.find(work);
        return it == m_keyByWork.end() ? nullptr : find(it->second);
    }

    void onOffer(link_stream_id stream, const wire::offer &offer, bundle_epoch epoch);
    wire::refusal checkOffer(const wire::offer &offer, bundle_epoch epoch);
    wire::refusal checkPermission(const wire::offer &offer) const;
    bool isDuplicate(const wire::offer &offer, const attempt_key &key) const;
    void onResume(link_stream_id stream, const wire::resume &resume);

    void onSettled(link_stream_id stream)
    {
        attempt *const item = findByStream(stream);
        m_env.resetStream(stream);
        if (item != nullptr)
            removeAttempt(*item);
    }

    void onCancel(link_stream_id stream);

    void removeAttempt(attempt &item)
    {
        m_keyByWork.erase(item.work);
        m_keyByStream.erase(item.stream);
        m_attempts.erase(attempt_key(item.key));
    }

    void sendPiece(const attempt &item, std::uint64_t offset)
    {
        if (item.stream == 0 || offset >= item.answer.size())
            return;
        wire::from_agent message = makeMessage();
        message.mutable_piece()->set_offset(offset);
        message.mutable_piece()->set_data(item.answer.substr(offset));
        m_env.sendToEntry(item.stream, message);
    }

    void sendEnd(const attempt &item);
    /// Handles an attempt that its entry did not resume within \c orphanGrace. A repeatable one is
    /// cancelled because nobody waits for its answer. Any other runs to its end, and its answer is
    /// stored in its claim if it has one.
    void onOrphaned(attempt &item);
    /// Failed work may have no usage data: estimates the generated tokens by the number of
    /// events received.
    static void estimateMissingUsage(attempt &item)
    {
        if (item.result.failed && item.result.usage.generated_tokens() == 0)
            item.result.usage.set_generated_tokens(countEvents(item.answer));
    }

    /// Writes a provisional bill unless the work did not run, stores a complete answer in the claim
    /// if there is one, and removes the attempt.
    void settleOrphan(attempt &item);
    wire::bill provisionalBill(const attempt &item) const;
    /// Orders the endpoint to load all versions of its pool that are not withdrawn and to unload
    /// all others.
    void onBundleInstalled(const typename tracker_type::ptr &installed);
    void orderVersion(order_action action, const std::string &name, bundle_epoch fence);
    static constexpr duration orderRetryDelay = seconds(1);

    Runtime &m_runtime;
    Env &m_env;
    agent_options m_options;
    std::uint64_t m_incarnation;
    time_point m_lastActivity;
    bool m_draining = false;
    tracker_type m_bundleTracker;
    bill_outbox<Runtime, Table, Env> m_outbox;
    claim_registry<Runtime, Table> m_claims;
    token_rate_meter m_tokenRate;
    attempt_map m_attempts;
    std::unordered_map<link_stream_id, attempt_key> m_keyByStream;
    std::unordered_map<work_id, attempt_key> m_keyByWork;
    std::set<attempt_key> m_revokedKeys;
    std::set<attempt_key> m_recentKeys;
    /// Insertion times of the keys in m_revokedKeys and m_recentKeys, oldest first, by set.
    std::map<const void *, std::deque<std::pair<time_point, attempt_key>>> m_insertionOrder;
    std::set<std::string> m_loaded;
    work_id m_lastWork = 0;
};

} // namespace laurelcroft

#include "laurelcroft/Agent/AgentCoreImpl.h"

#endif
