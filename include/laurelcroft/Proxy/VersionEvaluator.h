//===-- Proxy/VersionEvaluator.h - evaluates a version ----------*- C++ -*-===//
//
// Decides whether the version under roll-out is worse than the settled one, from this entry's own
// requests and from the evidence of other entries.
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
    duration wait{0}; ///< until the first part
    std::optional<duration> pause; ///< mean time between the events of a stream
    duration reading{0}; ///< expected processing time of the prompts read before the first part
    bool countedSlow = false; ///< observeWait() counted it as slow before it ended
};

/// The strongest evidence against a version under roll-out.
struct rollout_suspicion
{
    std::string route; ///< "*" for all routes together
    std::string_view fault; ///< "failures" or "slowness"
    double evidence = 0; ///< evidence() of its guard
    double deviations = 0; ///< standard deviations of the bad share above the tolerated one
    std::uint64_t bad = 0; ///< answers of the new version
    std::uint64_t all = 0;
};

/// Collects evidence for and against the version that one service's order targets.
class version_evaluator
{
public:
    /// Starts a new order and discards the earlier evidence.
    void begin(store_version orderedAt);

    /// Keeps all evidence for the order, whose row has another version since the store came back
    /// from a copy.
    void rename(store_version orderedAt);

    /// Ends the order. Later answers still update the settled means.
    void end() { m_orderedAt.reset(); }

    /// Records the end of an attempt.
    /// \param onTarget whether an endpoint of the new version answered.
    /// \param route and \p model: answers with the same pair are compared with each other.
    /// \param timing of the answer; empty when the attempt failed.
    void observe(bool onTarget, std::string_view route, std::string_view model,
                 std::optional<answer_timing> timing, time_point now);

    /// Records that an attempt is still waiting for its first part. A slow answer ends long after
    /// it is known to be slow; counted only at its end, it would come after the fast answers that
    /// complete a slow version.
    /// \param soFar how long it has waited until now.
    /// \returns true when it counts as slow from now on.
    bool observeWait(bool onTarget, std::string_view route, std::string_view model,
                     const answer_timing &soFar, time_point now);

    /// Records that an attempt was abandoned because no data came for too long. This counts as a
    /// slow answer, not as a failure, because a busy endpoint causes it too.
    void observeSilence(bool onTarget, std::string_view route, time_point now);

    /// \returns answers of the target version that this entry has seen since the order, by route.
    const rollout_evidence &ownEvidence() const { return m_own; }

    /// Adds what another entry has seen since the order. Late and repeated reports change nothing.
    void takeEvidence(const std::string &entry, const rollout_evidence &evidence);

    /// Sets whether evidence of other entries counts. It counts only where all of it arrives.
    /// Elsewhere only entries with bad answers report theirs, which makes a good version look bad.
    /// The setting may change; evidence received in the meantime then counts.
    void setUsesPeerEvidence(bool judges);

    /// \returns the state of the guard with the most evidence, for the log.
    rollout_suspicion strongestSuspicion() const;

    /// \returns the number of known answers of the new version.
    std::uint64_t targetAnswers() const { return m_targetAnswers; }

    /// \returns true when the new version was found bad; this never becomes false again for the
    /// same order.
    bool isFoundBad() const;

    /// \returns true when there is too much evidence against the new version to let the old one
    /// end.
    bool isSuspected() const;

    /// \returns true when the new version may be slower than the old one, although too few answers
    /// are known for a suspicion. Failures don't count: those of single endpoints come in groups.
    bool isDoubtful() const;

    /// Slow answers of the new version closer together than this count as one. A trial uses few
    /// endpoints, and one long prompt delays all requests that run beside it.
    static constexpr milliseconds slowAnswerSpacing{300};

private:
    struct running_mean
    {
        double value = 0;
        unsigned count = 0;
    };
    /// For each guard: drop of the good share that makes a version bad, and the probability of
    /// stopping a good version. A wrong stop costs one roll-out, a late stop costs many bad
    /// answers.
    static constexpr rollout_guard failureBounds{0.08, 0.002, 0};
    /// Slow answers come in groups (one long prompt, one full endpoint), but the guard treats them
    /// as independent. The lower probability requires two or three more in a row.
    static constexpr rollout_guard slownessBounds{0.08, 0.0002, 0};

    /// Slow answers are more frequent than failures, also in a good version. Counted together they
    /// would hide each other.
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
    /// \returns true when at least half of the new version's answers are failures, regardless of
    /// the old version.
    bool mostlyFails() const;
    bool isSlow(const std::string &kind, double slowness) const;
    /// Adds an answer's slowness to the settled mean unless it came from the target.
    /// \returns true when it is slow compared with that mean.
    bool updateSlowness(const std::string &kind, double slowness, bool onTarget);

    /// Identifies the current order (rollout_order::orderedAt); nothing: there is none.
    std::optional<store_version> m_orderedAt;
    /// One pair per route and one for all routes: a version may be bad for one route only.
    std::map<std::string, guard_pair, std::less<>> m_guards;
    std::uint64_t m_targetAnswers = 0; ///< number of answers of the target version
    std::optional<time_point> m_slowAt; ///< when a slow answer was last counted
    /// Mean slowness of the settled version, by kind of answer.
    std::map<std::string, running_mean> m_slownesses;
    rollout_evidence m_own;
    bool m_usesPeerEvidence = true;
    std::map<std::string, rollout_evidence>
            m_addedEvidence; ///< last evidence already added, by entry and incarnation
    /// Last evidence received, by entry and incarnation.
    std::map<std::string, rollout_evidence> m_received;
};

} // namespace laurelcroft

#endif
