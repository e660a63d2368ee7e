//===-- Proxy/VersionEvaluator.h - whether a version is bad ------*- C++ -*-===//
//
// Whether the version under roll-out is worse than the settled one, from this entry's own requests
// and from what other entries tell of theirs.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_VERSIONEVALUATOR_H
#define LAURELCROFT_PROXY_VERSIONEVALUATOR_H

#include "laurelcroft/Policy/VersionGuard.h"
#include "laurelcroft/Proxy/RolloutRows.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// How long an answer took.
struct answer_timing
{
    duration wait{0}; ///< until its first part
    std::optional<duration> pause; ///< mean, between the events of a stream
    duration reading{0}; ///< expected, of the prompts that were read before its first part
    bool countedSlow = false; ///< by observeWait, before it ended
};

/// What speaks most against a version under roll-out.
struct rollout_suspicion
{
    std::string route; ///< "*" for all routes together
    std::string_view fault; ///< "failures" or "slowness"
    double evidence = 0; ///< of its guard
    double deviations = 0; ///< bad share above what is tolerated
    std::uint64_t bad = 0; ///< answers of the new version
    std::uint64_t all = 0;
};

/// Evidence for and against the version of one service's order.
class version_evaluator
{
public:
    /// An order begins: what was seen before counts no more.
    void begin(std::uint64_t orderedAt);

    /// There is no order any more. Answers still tell what is usual.
    void end() { m_orderedAt.reset(); }

    /// An attempt ended. \param onTarget whether the new version's endpoint answered.
    /// \param route and \p model: answers of one pair are alike.
    /// \param timing of the answer; empty when it failed.
    void observe(bool onTarget, std::string_view route, std::string_view model,
                 std::optional<answer_timing> timing, time_point now);

    /// An attempt waits for its first part. A slow answer ends long after it is known to be slow:
    /// counted at its end only, versions of which half of the answers took eight times as long were
    /// completed on 2 of 6 days, since the fast ones had ended first.
    /// \param soFar its wait until now.
    /// \returns true when it counts as slow from now on.
    bool observeWait(bool onTarget, std::string_view route, std::string_view model,
                     const answer_timing &soFar, time_point now);

    /// An attempt was left because nothing came for too long. That is a slow answer, not a
    /// failure: a busy endpoint does it too.
    void observeSilence(bool onTarget, std::string_view route, time_point now);

    /// Answers of the target version that this entry has seen since the order, by route.
    const rollout_evidence &ownEvidence() const { return m_own; }

    /// Takes what another entry has seen since the order. Late and repeated news change nothing.
    void takeEvidence(const std::string &entry, const rollout_evidence &evidence);

    /// Whether others' evidence counts. It does where all of it comes: elsewhere only entries that
    /// have seen bad answers are heard of, and a good version looks bad. \p judges may change;
    /// what came meanwhile counts then.
    void setUsesPeerEvidence(bool judges);

    /// \returns the guard with the most evidence, for the log.
    rollout_suspicion strongestSuspicion() const;

    /// \returns answers of the new version that are known.
    std::uint64_t targetAnswers() const { return m_targetAnswers; }

    /// \returns true when the new version was found bad; it stays so.
    bool isFoundBad() const;

    /// \returns true when enough speaks against the new version not to let the old one go.
    bool isSuspected() const;

    /// Slow answers of the new version that are nearer to each other count as one. A trial has
    /// few endpoints, and one long prompt holds up all that run beside it.
    static constexpr milliseconds slowAnswerSpacing{300};

private:
    struct running_mean
    {
        double value = 0;
        unsigned count = 0;
    };
    /// Drop of the good share that makes a version bad, and the probability, for each guard,
    /// of stopping a good one. A wrong stop costs one roll-out, a late one many bad answers.
    static constexpr rollout_guard failureBounds{0.08, 0.002, 0};
    /// Slow answers come in groups (one long prompt, one full endpoint), and the guard takes them
    /// for independent: two or three more in a row are asked for.
    static constexpr rollout_guard slownessBounds{0.08, 0.0002, 0};

    /// Slow answers are more frequent than failures, also of a good version: counted together
    /// they would hide each other.
    struct guard_pair
    {
        version_guard failures{failureBounds};
        version_guard slowness{slownessBounds};
    };
    guard_pair &guardsOf(std::string_view route);
    void note(bool onTarget, std::string_view route, version_answers seen, time_point now);
    void addAnswers(std::string_view route, bool onTarget, const version_answers &seen);
    void addPeerEvidence(const std::string &source, const rollout_evidence &evidence);
    void addReceivedEvidence();
    std::uint64_t countedSlowAnswers(std::uint64_t slow, time_point now);
    bool anyGuard(const std::function<bool(const version_guard &)> &test) const;
    /// \returns true when half of the new version's answers are failures, whatever the old one's
    /// are.
    bool mostlyFails() const;
    bool isSlow(const std::string &kind, double slowness) const;
    /// Adds an answer's slowness to the settled mean. \returns true when it is slow against that.
    bool updateSlowness(const std::string &kind, double slowness, bool onTarget);

    std::optional<std::uint64_t> m_orderedAt; ///< tells orders apart; nothing: there is none
    /// One for each route, and one for all: a version may be bad for one route only.
    std::map<std::string, guard_pair, std::less<>> m_guards;
    std::uint64_t m_targetAnswers = 0; ///< answers of the target version
    std::optional<time_point> m_slowAt; ///< when the last slow answer counted
    std::map<std::string, running_mean> m_slownesses; ///< of the settled version
    rollout_evidence m_own;
    bool m_usesPeerEvidence = true;
    std::map<std::string, rollout_evidence>
            m_addedEvidence; ///< by entry and incarnation, as judged already
    std::map<std::string, rollout_evidence> m_received; ///< by entry and incarnation, as told last
};

} // namespace laurelcroft

#endif
