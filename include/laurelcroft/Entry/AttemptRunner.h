//===-- Entry/AttemptRunner.h - runs one tier of a request -------*- C++ -*-===//
//
// Chooses an endpoint, offers the work, and sees it through refusals, cuts and
// deadlines. It never offers again what may have started and may not be repeated.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_ATTEMPTRUNNER_H
#define LAURELCROFT_ENTRY_ATTEMPTRUNNER_H

#include "laurelcroft/Entry/AttemptTypes.h"
#include "laurelcroft/Fleet/EndpointDirectory.h"
#include "laurelcroft/Policy/EndpointChoice.h"
#include "laurelcroft/Policy/Health.h"
#include "laurelcroft/Support/Crypto.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace laurelcroft {

/// Runs tiers for one entry.
template <runtime_like Runtime, attempt_port Env>
class attempt_runner
{
public:
    using run_id = std::uint64_t;

    attempt_runner(Runtime &runtime, Env &env, endpoint_directory &directory, random_source &random,
                   attempt_options options)
        : m_runtime(runtime)
        , m_env(env)
        , m_directory(directory)
        , m_random(random)
        , m_options(options)
    {
    }

    /// Starts a tier. Its result comes later, never from within this call.
    run_id start(tier_work work, tier_events events, bundle_epoch epoch)
    {
        const run_id id = ++m_lastRun;
        run &item = *(m_runs[id] = std::make_unique<run>());
        item.id = id;
        item.work = std::move(work);
        item.events = std::move(events);
        item.epoch = epoch;
        m_budget.earn();
        item.deadlineTimer = m_runtime.after(item.work.deadline - m_runtime.now(),
                                             [this, id] { onDeadline(id); });
        dispatch(item);
        return id;
    }

    /// The caller left: the endpoint's work is cancelled, no result follows.
    /// \returns what is known of the run for its bill.
    tier_result cancel(run_id id)
    {
        tier_result partial;
        run *const item = find(id);
        if (item == nullptr)
            return partial;
        partial.endpoint = item->endpointId;
        partial.answer = item->answer;
        partial.usage = usageSoFar(*item);
        partial.outcome = item->admitted ? tier_outcome::failed : tier_outcome::uncertain;
        if (item->endpointId.empty())
            partial.outcome = tier_outcome::notRun;
        sendCancel(*item);
        erase(*item);
        return partial;
    }

    /// The answer and its bill are safe: the agent may forget the attempt.
    void settle(run_id id)
    {
        run *const item = find(id);
        if (item == nullptr)
            return;
        wire::from_entry message;
        message.set_bundle_epoch(item->epoch);
        message.mutable_settled();
        if (item->handle != 0) {
            m_env.sendAttempt(item->handle, message);
            m_env.closeAttempt(item->handle);
            m_handles.erase(item->handle);
            item->handle = 0;
        }
        erase(*item);
    }

    /// The caller took data: the agent may send as much more.
    void consumed(run_id id, std::size_t linkBytes)
    {
        if (run *const item = find(id); item != nullptr && item->handle != 0)
            m_env.consumeAttempt(item->handle, linkBytes);
    }

    /// A message of an agent on an attempt's stream of \p linkBytes bytes.
    void onMessage(attempt_handle handle, const wire::from_agent &message, std::size_t linkBytes)
    {
        run *const item = findByHandle(handle);
        if (item == nullptr)
            return;
        m_directory.onReport(item->endpointId, message, m_runtime.now());
        if (!message.has_piece())
            m_env.consumeAttempt(handle, linkBytes);
        if (message.has_admission())
            onAdmission(*item, message.admission().refusal());
        else if (message.has_piece())
            onPiece(*item, message.piece(), linkBytes);
        else if (message.has_finish())
            onFinish(*item, message.finish());
        else if (message.has_fault())
            onFault(*item, message.fault());
    }

    /// An attempt's stream was cut.
    void onStreamClosed(attempt_handle handle)
    {
        run *const item = findByHandle(handle);
        if (item == nullptr)
            return;
        m_handles.erase(handle);
        item->handle = 0;
        m_runtime.cancel(item->offerTimer);
        if (item->finished)
            return;
        if (item->admitted)
            resume(item->id);
        else
            revokeOffer(*item);
    }

private:
    struct run
    {
        run_id id = 0;
        tier_work work;
        tier_events events;
        bundle_epoch epoch = 0;
        attempt_handle handle = 0;
        std::string endpointId;
        std::uint32_t attemptNumber = 0; ///< of the attempt
        std::uint32_t offers = 0;
        bool countedAsRunning = false; ///< in the directory as running
        bool admitted = false;
        bool finished = false;
        bool mayHaveRun = false; ///< an attempt that nobody could tell of
        bool ran = false; ///< an attempt was admitted
        bool ranBefore = false; ///< the same of earlier attempts
        bool resuming = false;
        time_point disconnectedAt{};
        std::set<std::string> triedEndpoints;
        std::string answer;
        std::size_t releasedBytes = 0; ///< bytes passed on
        wire::refusal lastRefusal = wire::refusal_none;
        timer_id offerTimer = 0;
        timer_id deadlineTimer = 0;
    };

    run *find(run_id id)
    {
        const auto it = m_runs.find(id);
        return it == m_runs.end() ? nullptr : it->second.get();
    }

    run *findByHandle(attempt_handle handle)
    {
        const auto it = m_handles.find(handle);
        return it == m_handles.end() ? nullptr : find(it->second);
    }

    void erase(run &item)
    {
        detachFromEndpoint(item);
        m_runtime.cancel(item.offerTimer);
        m_runtime.cancel(item.deadlineTimer);
        m_runs.erase(run_id(item.id));
    }

    /// Ends the stream to the endpoint and takes the run out of its count.
    void detachFromEndpoint(run &item)
    {
        if (item.handle != 0) {
            m_handles.erase(item.handle);
            m_env.closeAttempt(item.handle);
            item.handle = 0;
        }
        decrementRunning(item);
    }

    void sendCancel(run &item)
    {
        if (item.handle == 0)
            return;
        wire::from_entry message;
        message.set_bundle_epoch(item.epoch);
        message.mutable_cancel();
        m_env.sendAttempt(item.handle, message);
    }

    static endpoint_view viewOf(const endpoint &item, const std::string &dataCentre,
                                bool holdsPrefix)
    {
        endpoint_view view;
        view.id = item.id;
        view.reportedPending = item.load.running() + item.load.queued();
        view.sentSinceReport = item.sentSinceReport;
        view.ownRunning = item.ownRunning;
        view.slots = item.load.slots();
        view.tokensPerSecond = item.load.tokens_per_second();
        view.holdsPrefix = holdsPrefix;
        view.sameDataCentre = item.dataCentre == dataCentre;
        return view;
    }

    /// Leaves out what was tried and what is ejected, up to the ejection's ceiling.
    std::vector<const endpoint *> usableEndpoints(const run &item) const;
    void dispatch(run &item);
    void offer(run &item, const endpoint &chosen);
    void onAdmission(run &item, wire::refusal refusal);

    void rememberAffinity(const run &item)
    {
        if (item.work.affinity.empty())
            return;
        if (m_affinity.size() >= m_options.maxAffinityEntries)
            m_affinity.erase(m_affinity.begin());
        m_affinity[item.work.affinity] = item.endpointId;
    }

    /// An offer without an answer: it is revoked, and the agent's word decides.
    void revokeOffer(run &item);
    void onRevoked(run &item, const std::optional<wire::revoked> &answer);
    void retryElsewhere(run &item, const std::string &reason);
    /// Asks the same agent for the rest of a cut answer.
    void resume(run_id id);
    void failAfterDisconnect(run &item, const std::string &reason);
    void onPiece(run &item, const wire::piece &piece, std::size_t linkBytes);
    /// The endpoint is done with a run; it stays until it is settled, so that the agent
    /// keeps what it knows.
    void markFinished(run &item)
    {
        item.finished = true;
        m_runtime.cancel(item.deadlineTimer);
        decrementRunning(item);
    }

    void decrementRunning(run &item)
    {
        if (item.countedAsRunning)
            m_directory.onEnded(item.endpointId);
        item.countedAsRunning = false;
    }

    void onFinish(run &item, const wire::finish &done);
    void onFault(run &item, const wire::fault &fault);
    /// Ends a run that failed at its endpoint. The agent goes on knowing of it until the
    /// bill is safe: if this entry dies before, the agent bills.
    void finishUnsettled(run &item, const wire::fault &fault);
    void onDeadline(run_id id);
    /// An answer that ends early has no closing usage: the events that came count, one
    /// token each, and the prompt as it was estimated.
    static wire::usage usageSoFar(const run &item)
    {
        wire::usage usage;
        const std::uint64_t tokens = countEvents(item.answer);
        if (tokens == 0)
            return usage;
        usage.set_generated_tokens(tokens);
        usage.set_prompt_tokens(static_cast<std::uint64_t>(item.work.estimate.promptTokens));
        return usage;
    }

    /// What is known of a run that ends without an answer.
    static tier_outcome outcomeSoFar(const run &item)
    {
        if (item.ran)
            return tier_outcome::failed;
        return item.mayHaveRun ? tier_outcome::uncertain : tier_outcome::notRun;
    }

    void giveUp(run &item)
    {
        const bool full = item.lastRefusal == wire::refusal_full;
        const std::string reason = item.lastRefusal == wire::refusal_none
                ? "no endpoint can serve it now"
                : std::string(textOf(item.lastRefusal));
        finish(item, outcomeSoFar(item), reason, false,
               full ? m_options.fullRetryAfter : m_options.noEndpointRetryAfter);
    }

    void finish(run &item, tier_outcome outcome, const std::string &reason, bool timedOut = false,
                milliseconds retryAfter = milliseconds(1000));

    void recordDecision(const run &item, decision_kind kind, const std::string &chosen,
                        std::size_t considered, std::string reason)
    {
        m_env.recordDecision({item.work.offer.request_id(), item.epoch, kind, chosen, considered,
                              std::move(reason)});
    }

    Runtime &m_runtime;
    Env &m_env;
    endpoint_directory &m_directory;
    random_source &m_random;
    attempt_options m_options;
    endpoint_ejection m_ejection;
    retry_budget m_budget;
    std::unordered_map<run_id, std::unique_ptr<run>> m_runs;
    std::unordered_map<attempt_handle, run_id> m_handles;
    std::unordered_map<std::string, std::string> m_affinity;
    run_id m_lastRun = 0;
};

} // namespace laurelcroft

#include "laurelcroft/Entry/AttemptRunnerImpl.h"

#endif
