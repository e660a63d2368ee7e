//===-- Entry/AttemptRunner.h - runs one tier of a request ------*- C++ -*-===//
//
// Chooses an endpoint, offers it the work, and handles refusals, disconnects and deadlines. Work
// that may have started and must not be repeated is never offered again.
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

/// Runs the tiers of requests at one entry.
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

    /// Starts a tier. Its result is reported asynchronously, never from within this call.
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

    /// Cancels the endpoint's work because the caller disconnected. No result is reported.
    /// \returns the partial result, for billing.
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

    /// Tells the agent that the answer and its bill are stored, so that it may discard the attempt.
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

    /// Returns flow-control credit to the agent for \p linkBytes that the caller has received.
    void consumed(run_id id, std::size_t linkBytes)
    {
        if (run *const item = find(id); item != nullptr && item->handle != 0)
            m_env.consumeAttempt(item->handle, linkBytes);
    }

    /// Handles an agent's message on an attempt's stream.
    /// \param linkBytes size of the message on the link, for flow control.
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

    /// Handles the unexpected end of an attempt's stream.
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
    /// State of one running tier.
    struct run
    {
        run_id id = 0;
        tier_work work;
        tier_events events;
        bundle_epoch epoch = 0;
        attempt_handle handle = 0;
        std::string endpointId;
        std::uint32_t attemptNumber = 0; ///< of the latest attempt
        std::uint32_t offers = 0; ///< number of offers made
        bool countedAsRunning = false; ///< counted in the directory as running
        bool admitted = false;
        bool finished = false;
        bool mayHaveRun = false; ///< for some attempt it is unknown whether it ran
        bool ran = false; ///< an attempt was admitted
        bool ranBefore = false; ///< value of \c ran before the latest attempt
        bool resuming = false; ///< fetching the rest of the answer after a disconnect
        time_point disconnectedAt{};
        std::set<std::string> triedEndpoints;
        std::string answer;
        std::size_t releasedBytes = 0; ///< bytes of the answer passed on to the caller
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

    /// Closes the stream to the endpoint and stops counting the run as running there.
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

    /// \returns the candidates except those already tried and those ejected. At most a fixed share
    /// of the pool counts as ejected.
    std::vector<const endpoint *> usableEndpoints(const run &item) const;
    /// Chooses an endpoint and offers it the work, or gives up.
    void dispatch(run &item);
    void offer(run &item, const endpoint &chosen);
    void onAdmission(run &item, wire::refusal refusal);

    /// Records the endpoint that now has the session's prefix in its cache.
    void rememberAffinity(const run &item)
    {
        if (item.work.affinity.empty())
            return;
        if (m_affinity.size() >= m_options.maxAffinityEntries)
            m_affinity.erase(m_affinity.begin());
        m_affinity[item.work.affinity] = item.endpointId;
    }

    /// Revokes an offer that got no answer. Unless the work is repeatable, the agent's reply to the
    /// revocation determines how to continue.
    void revokeOffer(run &item);
    void onRevoked(run &item, const std::optional<wire::revoked> &answer);
    /// Offers the work to another endpoint, unless part of the answer was passed on already or the
    /// retry budget is used up.
    void retryElsewhere(run &item, const std::string &reason);
    /// Asks the same agent for the rest of an answer whose stream was closed early.
    void resume(run_id id);
    /// Handles an attempt whose answer is lost: retries repeatable work, otherwise ends the run.
    void failAfterDisconnect(run &item, const std::string &reason);
    void onPiece(run &item, const wire::piece &piece, std::size_t linkBytes);
    /// Marks the endpoint's work as finished. The run is kept until it is settled, so that the
    /// agent keeps the attempt.
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
    /// Ends a run that failed at its endpoint. The agent keeps the attempt until the bill is
    /// stored: if this entry fails before that, the agent writes the bill.
    void finishUnsettled(run &item, const wire::fault &fault);
    void onDeadline(run_id id);
    /// \returns the usage of an answer that ended early and so has no final usage report: one token
    /// for each event received, and the estimated prompt tokens.
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

    /// \returns the outcome of a run that ends now without a complete answer.
    static tier_outcome outcomeSoFar(const run &item)
    {
        if (item.ran)
            return tier_outcome::failed;
        return item.mayHaveRun ? tier_outcome::uncertain : tier_outcome::notRun;
    }

    /// Ends a run whose work is not offered to any further endpoint.
    void giveUp(run &item)
    {
        const bool full = item.lastRefusal == wire::refusal_full;
        const std::string reason = item.lastRefusal == wire::refusal_none
                ? "no endpoint can serve it now"
                : std::string(textOf(item.lastRefusal));
        finish(item, outcomeSoFar(item), reason, false,
               full ? m_options.fullRetryAfter : m_options.noEndpointRetryAfter);
    }

    /// Ends a run without a complete answer and reports its result asynchronously.
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
    std::unordered_map<std::string, std::string> m_affinity; ///< endpoint by affinity key
    run_id m_lastRun = 0;
};

} // namespace laurelcroft

#include "laurelcroft/Entry/AttemptRunnerImpl.h"

#endif
