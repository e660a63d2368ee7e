//===-- Agent/AgentCore.h - admits and runs attempts -------------*- C++ -*-===//
//
// The decisions of the process beside an endpoint: what to admit, what a refusal
// means, what becomes of an attempt whose entry is lost. All I/O is behind the
// environment, so that tests run this code over fakes under a paused clock.
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

/// What the core needs of its process.
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
    env.giveOrder(order, done);
};

/// Bounds of one agent.
struct agent_options
{
    std::string instance;
    std::string pool;
    std::uint32_t slots = 8; ///< attempts the endpoint runs at once
    std::uint32_t mostAttempts = 64; ///< running and waiting; above it: refused
    duration aliveTick = milliseconds(100);
    /// A gap that counts as a freeze; shorter than an entry waits for an admission, so
    /// that an offer which was given up is void when a frozen agent wakes.
    duration frozenAfter = milliseconds(500);
    duration orphanGrace = seconds(10); ///< an entry may resume within this
    duration duplicateLife = seconds(900); ///< how long a request id is remembered
    std::size_t mostRemembered = 200000;
    std::uint64_t firstIncarnation = 1;
};

/// The agent of one endpoint.
template <runtime_like Runtime, table_like Table, agent_environment Env>
class agent_core
{
public:
    using keeper_type = bundle_tracker<Runtime, Env>;

    agent_core(Runtime &runtime, Table &table, Env &env, signoff_rule rule, agent_options options)
        : m_runtime(runtime)
        , m_env(env)
        , m_options(std::move(options))
        , m_incarnation(m_options.firstIncarnation)
        , m_lastAlive(runtime.now())
        , m_keeper(runtime, env, std::move(rule), [this](const auto &taken) { onBundle(taken); })
        , m_outbox(runtime, table, env, m_options.instance)
        , m_claims(runtime, table, m_options.instance)
    {
    }

    void start() { tick(); }

    keeper_type &keeper() { return m_keeper; }
    auto &outbox() { return m_outbox; }
    std::uint64_t incarnation() const { return m_incarnation; }

    /// Refuses new work from now on; running attempts finish.
    void drain()
    {
        m_draining = true;
        m_outbox.adoptAll();
    }
    bool isDraining() const { return m_draining; }

    /// Sets the attempts that may run and wait; fewer than run now refuses new ones.
    void setMostAttempts(std::uint32_t most) { m_options.mostAttempts = most; }

    /// \returns true when nothing runs and nothing is owed to the table.
    bool isIdle() const
    {
        return m_attempts.empty() && m_outbox.isEmpty() && m_claims.pending() == 0;
    }

    /// Handles a message of an entry on an attempt's stream.
    void onEntryMessage(link_stream_id stream, const wire::from_entry &message)
    {
        noteAlive();
        if (message.has_offer())
            onOffer(stream, message.offer(), message.bundle_epoch());
        else if (message.has_resume())
            onResume(stream, message.resume());
        else if (message.has_settled())
            onSettled(stream);
        else if (message.has_cancel())
            onCancel(stream);
    }

    /// The stream of an attempt was lost or ended.
    void onStreamClosed(link_stream_id stream)
    {
        noteAlive();
        attempt *const item = findByStream(stream);
        m_streams.erase(stream);
        if (item == nullptr)
            return;
        item->stream = 0;
        m_runtime.after(m_options.orphanGrace, [this, key = item->key, life = ++item->orphanings] {
            attempt *const found = find(key);
            if (found != nullptr && found->stream == 0 && found->orphanings == life)
                orphan(*found);
        });
    }

    /// Answers whether an offer that was not answered has started; if not, it never will.
    wire::revoked onRevoke(const wire::revoke &message)
    {
        noteAlive();
        wire::revoked answer;
        answer.set_bundle_epoch(m_keeper.epoch());
        const attempt_key key{message.request_id(), message.attempt()};
        const bool ran = find(key) != nullptr || m_recent.count(key) != 0;
        answer.set_state(ran ? wire::attempt_started : wire::attempt_never_started);
        if (!ran)
            remember(m_revoked, key);
        return answer;
    }

    /// Data of the endpoint's answer.
    void onWorkData(work_id work, std::string_view data)
    {
        attempt *const item = findByWork(work);
        if (item == nullptr)
            return;
        const std::uint64_t offset = item->answer.size();
        item->answer += data;
        sendPiece(*item, offset);
    }

    /// The endpoint's answer is whole, or failed.
    void onWorkEnd(work_id work, const work_result &result)
    {
        attempt *const item = findByWork(work);
        if (item == nullptr)
            return;
        m_works.erase(work);
        item->running = false;
        item->result = result;
        countIfUnknown(*item);
        m_load.finished(m_runtime.now(), result.usage.generated_tokens(),
                        m_runtime.now() - item->startedAt);
        sendEnd(*item);
        if (item->orphaned)
            settleOrphan(*item);
    }

    /// \returns the work that runs for \p stream; 0 when none does.
    work_id workOf(link_stream_id stream)
    {
        const attempt *const item = findByStream(stream);
        return item != nullptr && item->running ? item->work : 0;
    }

    /// \returns the load as it is now.
    wire::load_report load() const
    {
        wire::load_report report;
        const auto running = static_cast<std::uint32_t>(m_works.size());
        report.set_running(std::min(running, m_options.slots));
        report.set_queued(running > m_options.slots ? running - m_options.slots : 0);
        report.set_slots(m_options.slots);
        report.set_tokens_per_second(m_load.tokensPerSecond());
        report.set_draining(m_draining);
        return report;
    }

    /// \returns the load with the versions that the endpoint holds.
    wire::load_report fullLoad() const
    {
        wire::load_report report = load();
        for (const std::string &name : m_loaded)
            report.add_loaded(name);
        return report;
    }

    /// A message with the header that every answer of this agent carries.
    wire::from_agent header() const
    {
        wire::from_agent message;
        message.set_bundle_epoch(m_keeper.epoch());
        message.set_incarnation(m_incarnation);
        *message.mutable_load() = load();
        return message;
    }

private:
    using attempt_map = std::map<attempt_key, std::unique_ptr<attempt>>;

    /// A gap longer than a freeze's bound begins a new life: whatever was offered to
    /// the one before is refused, because its entry may have given it up.
    void noteAlive();

    void tick()
    {
        noteAlive();
        expire(m_revoked);
        expire(m_recent);
        m_runtime.after(m_options.aliveTick, [this] { tick(); });
    }

    template <class M>
    void expire(M &known);

    void remember(std::set<attempt_key> &known, const attempt_key &key)
    {
        if (known.insert(key).second)
            m_ages[&known].emplace_back(m_runtime.now(), key);
    }

    attempt *find(const attempt_key &key)
    {
        const auto it = m_attempts.find(key);
        return it == m_attempts.end() ? nullptr : it->second.get();
    }

    attempt *findByStream(link_stream_id stream)
    {
        const auto it = m_streams.find(stream);
        return it == m_streams.end() ? nullptr : find(it->second);
    }

    attempt *findByWork(work_id work)
    {
        const auto it = m_works.find(work);
        return it == m_works.end() ? nullptr : find(it->second);
    }

    void onOffer(link_stream_id stream, const wire::offer &offer, bundle_epoch epoch);
    wire::refusal judge(const wire::offer &offer, bundle_epoch epoch);
    wire::refusal checkPermission(const wire::offer &offer) const;
    bool isDuplicate(const wire::offer &offer, const attempt_key &key) const;
    void onResume(link_stream_id stream, const wire::resume &resume);

    void onSettled(link_stream_id stream)
    {
        attempt *const item = findByStream(stream);
        m_env.resetStream(stream);
        if (item != nullptr)
            forget(*item);
    }

    void onCancel(link_stream_id stream);

    void forget(attempt &item)
    {
        m_works.erase(item.work);
        m_streams.erase(item.stream);
        m_attempts.erase(attempt_key(item.key));
    }

    void sendPiece(const attempt &item, std::uint64_t offset)
    {
        if (item.stream == 0 || offset >= item.answer.size())
            return;
        wire::from_agent message = header();
        message.mutable_piece()->set_offset(offset);
        message.mutable_piece()->set_data(item.answer.substr(offset));
        m_env.sendToEntry(item.stream, message);
    }

    void sendEnd(const attempt &item);
    /// The entry did not come back. What may be repeated is cancelled: nobody waits for
    /// it. What may not goes on, and its answer is kept in its claim.
    void orphan(attempt &item);
    /// Work that ended early told no usage: the events that came are counted.
    static void countIfUnknown(attempt &item)
    {
        if (item.result.failed && item.result.usage.generated_tokens() == 0)
            item.result.usage.set_generated_tokens(countEvents(item.answer));
    }

    void settleOrphan(attempt &item);
    wire::bill provisionalBill(const attempt &item) const;
    /// Orders the endpoint to hold every version of its pool that may be used.
    void onBundle(const typename keeper_type::ptr &taken);
    void order(order_action action, const std::string &name, bundle_epoch fence);
    static constexpr duration orderRetry = seconds(1);

    Runtime &m_runtime;
    Env &m_env;
    agent_options m_options;
    std::uint64_t m_incarnation;
    time_point m_lastAlive;
    bool m_draining = false;
    keeper_type m_keeper;
    bill_outbox<Runtime, Table, Env> m_outbox;
    claim_registry<Runtime, Table> m_claims;
    load_meter m_load;
    attempt_map m_attempts;
    std::unordered_map<link_stream_id, attempt_key> m_streams;
    std::unordered_map<work_id, attempt_key> m_works;
    std::set<attempt_key> m_revoked;
    std::set<attempt_key> m_recent;
    std::map<const void *, std::deque<std::pair<time_point, attempt_key>>> m_ages;
    std::set<std::string> m_loaded;
    work_id m_lastWork = 0;
};

} // namespace laurelcroft

#include "laurelcroft/Agent/AgentCoreImpl.h"

#endif
