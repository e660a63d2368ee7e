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
#include "laurelcroft/Fleet/BundleKeeper.h"
#include "laurelcroft/Ledger/BillOutbox.h"
#include "laurelcroft/Ledger/ClaimBook.h"

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
    using keeper_type = bundle_keeper<Runtime, Env>;

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
    void noteAlive()
    {
        const time_point now = m_runtime.now();
        if (now - m_lastAlive > m_options.frozenAfter) {
            m_incarnation += 1;
            logWarning(log_part::agent, "woke from a freeze, offers made before are void",
                       {{"incarnation", static_cast<std::int64_t>(m_incarnation)}});
        }
        m_lastAlive = now;
    }

    void tick()
    {
        noteAlive();
        expire(m_revoked);
        expire(m_recent);
        m_runtime.after(m_options.aliveTick, [this] { tick(); });
    }

    template <class M>
    void expire(M &known)
    {
        while (!m_ages[&known].empty()) {
            const auto &[at, key] = m_ages[&known].front();
            if (m_runtime.now() - at < m_options.duplicateLife
                && m_ages[&known].size() <= m_options.mostRemembered)
                return;
            known.erase(key);
            m_ages[&known].pop_front();
        }
    }

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

    void onOffer(link_stream_id stream, const wire::offer &offer, bundle_epoch epoch)
    {
        const wire::refusal refusal = judge(offer, epoch);
        wire::from_agent answer = header();
        answer.mutable_admission()->set_refusal(refusal);
        logInfo(log_part::agent, refusal == wire::refusal_none ? "offer admitted" : "offer refused",
                {{"request", offer.request_id()},
                 {"attempt", static_cast<std::int64_t>(offer.attempt())},
                 {"target", offer.target()},
                 {"version", offer.version()},
                 {"epoch", static_cast<std::int64_t>(m_keeper.epoch())},
                 {"reason", textOf(refusal)}});
        if (refusal != wire::refusal_none) {
            m_env.sendToEntry(stream, answer);
            m_env.closeStream(stream);
            return;
        }
        auto item = std::make_unique<attempt>();
        item->key = {offer.request_id(), offer.attempt()};
        item->offer = offer;
        item->epoch = m_keeper.epoch();
        item->stream = stream;
        item->work = ++m_lastWork;
        item->startedAt = m_runtime.now();
        remember(m_recent, item->key);
        m_streams[stream] = item->key;
        m_works[item->work] = item->key;
        const work_id work = item->work;
        m_attempts[item->key] = std::move(item);
        m_env.sendToEntry(stream, answer);
        m_env.startWork(work, offer);
    }

    wire::refusal judge(const wire::offer &offer, bundle_epoch epoch)
    {
        if (offer.incarnation() != m_incarnation)
            return wire::refusal_incarnation;
        if (m_draining)
            return wire::refusal_draining;
        if (!m_keeper.current())
            return wire::refusal_no_bundle;
        if (epoch > m_keeper.epoch()) {
            m_keeper.hear(offer.entry(), epoch, false, duration(0));
            return wire::refusal_behind;
        }
        const wire::refusal permitted = checkPermission(offer);
        if (permitted != wire::refusal_none)
            return permitted;
        const attempt_key key{offer.request_id(), offer.attempt()};
        if (m_revoked.count(key) != 0)
            return wire::refusal_revoked;
        if (isDuplicate(offer, key))
            return wire::refusal_duplicate;
        if (offer.kind() == wire::work_chat
            && m_loaded.count(offer.target() + "@" + offer.version()) == 0)
            return wire::refusal_not_loaded;
        if (m_works.size() >= m_options.mostAttempts)
            return wire::refusal_full;
        return wire::refusal_none;
    }

    wire::refusal checkPermission(const wire::offer &offer) const
    {
        const bundle &rules = m_keeper.current()->rules;
        const customer *who = rules.findCustomer(offer.customer());
        if (who == nullptr)
            return wire::refusal_not_allowed;
        const model *item = rules.findModel(offer.target());
        const model_version *version
                = item == nullptr ? nullptr : findVersion(*item, offer.version());
        if (version != nullptr && version->state == version_state::withdrawn)
            return wire::refusal_withdrawn;
        const bool allowed = mayUse(rules, *who, offer.target(), offer.version());
        return allowed ? wire::refusal_none : wire::refusal_not_allowed;
    }

    bool isDuplicate(const wire::offer &offer, const attempt_key &key) const
    {
        // A caller may bring a repeatable request to another entry under the same key, and
        // entries number their attempts alike: only one that still runs is the same.
        if (offer.repeatable())
            return m_attempts.count(key) != 0;
        if (m_recent.count(key) != 0)
            return true;
        // Any attempt of a request that may not be repeated counts, whatever its number.
        const auto it = m_recent.lower_bound({offer.request_id(), 0});
        return it != m_recent.end() && it->requestId == offer.request_id();
    }

    void onResume(link_stream_id stream, const wire::resume &resume)
    {
        attempt *const item = find({resume.request_id(), resume.attempt()});
        wire::from_agent answer = header();
        if (item == nullptr || resume.offset() > item->answer.size()) {
            answer.mutable_admission()->set_refusal(wire::refusal_unknown_attempt);
            m_env.sendToEntry(stream, answer);
            m_env.closeStream(stream);
            return;
        }
        if (item->stream != 0)
            m_streams.erase(item->stream);
        item->stream = stream;
        item->orphanings += 1;
        m_streams[stream] = item->key;
        answer.mutable_admission()->set_refusal(wire::refusal_none);
        m_env.sendToEntry(stream, answer);
        sendPiece(*item, resume.offset());
        if (!item->running)
            sendEnd(*item);
    }

    void onSettled(link_stream_id stream)
    {
        attempt *const item = findByStream(stream);
        m_env.resetStream(stream);
        if (item != nullptr)
            forget(*item);
    }

    void onCancel(link_stream_id stream)
    {
        attempt *const item = findByStream(stream);
        m_env.resetStream(stream);
        if (item == nullptr)
            return;
        logInfo(log_part::agent, "attempt cancelled by its entry",
                {{"request", item->key.requestId}});
        if (item->running)
            m_env.cancelWork(item->work);
        forget(*item);
    }

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

    void sendEnd(const attempt &item)
    {
        if (item.stream == 0)
            return;
        wire::from_agent message = header();
        if (item.result.failed) {
            wire::fault &fault = *message.mutable_fault();
            fault.set_executed(item.result.executed);
            fault.set_message(item.result.message);
            *fault.mutable_usage() = item.result.usage;
        } else {
            wire::finish &finish = *message.mutable_finish();
            finish.set_status(static_cast<std::uint32_t>(item.result.status));
            finish.set_length(item.answer.size());
            finish.set_digest(sha256(item.answer));
            *finish.mutable_usage() = item.result.usage;
            finish.set_score(item.result.score);
            finish.set_content_type(item.result.contentType);
        }
        m_env.sendToEntry(item.stream, message);
    }

    /// The entry did not come back. What may be repeated is cancelled: nobody waits for
    /// it. What may not goes on, and its answer is kept in its claim.
    void orphan(attempt &item)
    {
        logWarning(log_part::agent, "attempt lost its entry", {{"request", item.key.requestId}});
        item.orphaned = true;
        if (!item.running) {
            settleOrphan(item);
            return;
        }
        if (!item.offer.repeatable())
            return;
        m_env.cancelWork(item.work);
        item.running = false;
        item.result.failed = true;
        item.result.executed = wire::execution_yes;
        countIfUnknown(item);
        settleOrphan(item);
    }

    /// Work that ended early told no usage: the events that came are counted.
    static void countIfUnknown(attempt &item)
    {
        if (item.result.failed && item.result.usage.generated_tokens() == 0)
            item.result.usage.set_generated_tokens(countEvents(item.answer));
    }

    void settleOrphan(attempt &item)
    {
        if (item.result.executed != wire::execution_no || !item.result.failed)
            m_outbox.add(provisionalBill(item), {});
        if (item.offer.claimed() && !item.result.failed) {
            claim answered;
            answered.requestId = item.key.requestId;
            answered.operationId = item.offer.operation_id();
            answered.status = item.result.status;
            answered.contentType = item.result.contentType;
            answered.model = item.offer.kind() == wire::work_chat ? item.offer.target() : "";
            answered.version = item.offer.version();
            if (item.answer.size() <= largestKeptAnswer)
                answered.answer = item.answer;
            m_claims.finish(answered);
        }
        forget(item);
    }

    wire::bill provisionalBill(const attempt &item) const
    {
        wire::bill bill;
        bill.set_request_id(item.key.requestId);
        bill.set_customer(item.offer.customer());
        bill.set_target(item.offer.target());
        bill.set_outcome(item.result.failed ? "failed" : "complete");
        bill.set_bundle_epoch(item.epoch);
        bill.set_wall_ms(wallMilliseconds());
        bill.set_provisional(true);
        wire::bill_step &step = *bill.add_steps();
        step.set_target(item.offer.target());
        step.set_version(item.offer.version());
        step.set_endpoint(m_options.instance);
        *step.mutable_usage() = item.result.usage;
        const auto current = m_keeper.current();
        step.set_cost(current ? costOf(current->rules, step) : 0);
        bill.set_cost(step.cost());
        return bill;
    }

    /// Orders the endpoint to hold every version of its pool that may be used.
    void onBundle(const typename keeper_type::ptr &taken)
    {
        std::set<std::string> wanted;
        for (const model &item : taken->rules.models) {
            if (item.pool != m_options.pool)
                continue;
            for (const model_version &version : item.versions) {
                if (version.state != version_state::withdrawn)
                    wanted.insert(item.name + "@" + version.name);
            }
        }
        for (const std::string &name : std::set<std::string>(m_loaded)) {
            if (wanted.count(name) == 0)
                order(order_action::unload, name, taken->accepted.epoch);
        }
        for (const std::string &name : wanted) {
            if (m_loaded.count(name) == 0)
                order(order_action::load, name, taken->accepted.epoch);
        }
    }

    void order(order_action action, const std::string &name, bundle_epoch fence)
    {
        // No new work for a version that goes, from the moment the order is decided.
        if (action == order_action::unload)
            m_loaded.erase(name);
        logInfo(log_part::placement,
                action == order_action::load ? "load ordered" : "unload ordered",
                {{"version", name}, {"fence", static_cast<std::int64_t>(fence)}});
        m_env.giveOrder({action, name, fence}, [this, action, name, fence](bool done) {
            // A newer epoch has given its own orders meanwhile.
            if (fence != m_keeper.epoch())
                return;
            if (done && action == order_action::load)
                m_loaded.insert(name);
            if (!done)
                m_runtime.after(orderRetry, [this, action, name, fence] {
                    if (fence == m_keeper.epoch())
                        order(action, name, fence);
                });
        });
    }

    static constexpr duration orderRetry = seconds(1);

    Runtime &m_runtime;
    Env &m_env;
    agent_options m_options;
    std::uint64_t m_incarnation;
    time_point m_lastAlive;
    bool m_draining = false;
    keeper_type m_keeper;
    bill_outbox<Runtime, Table, Env> m_outbox;
    claim_book<Runtime, Table> m_claims;
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

#endif
