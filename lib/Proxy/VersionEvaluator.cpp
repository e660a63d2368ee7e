//===-- VersionEvaluator.cpp - evaluates a version ------------------------===//
//
// Failures and slowness are judged separately, for each route and for all routes together.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/VersionEvaluator.h"

#include <algorithm>
#include <utility>

using namespace laurelcroft;

namespace {

/// Fraction of the evidence that stops a version above which the old version may not end. A good
/// version seldom reaches it.
constexpr double suspicionFraction = 0.01;
/// Name of the guard over all routes; no route has this name.
constexpr std::string_view allRoutes = "*";
/// An answer is slow when its slowness is more than this multiple of the settled mean.
constexpr double slowFactor = 4.0;
/// Part of a wait that prompts do not explain: the network and one or two generation steps. A wait
/// is divided by this plus the processing time of the prompts before it, so that an endpoint does
/// not look slow because of long prompts, or because it must process prefixes that others have
/// cached.
constexpr milliseconds minExpectedWait{50};
/// Standard deviations of the bad share of the new version above the tolerated share from which the
/// old version may not end.
constexpr double suspicionDeviations = 2;
/// Minimum number of answers of the new version before it can count as mostly failing.
constexpr std::uint64_t minAnswersForMajority = 10;
/// Minimum number of answers of a kind before its mean is used.
constexpr unsigned minAnswersForMean = 10;
/// Minimum weight of one answer in the running mean.
constexpr double meanWeight = 0.05;

} // namespace

void version_evaluator::rename(store_version orderedAt)
{
    for (auto &[source, evidence] : m_received) {
        if (evidence.orderedAt == m_orderedAt)
            evidence.orderedAt = orderedAt;
    }
    m_orderedAt = orderedAt;
    m_own.orderedAt = orderedAt;
}

void version_evaluator::begin(store_version orderedAt)
{
    m_orderedAt = orderedAt;
    m_guards.clear();
    m_targetAnswers = 0;
    m_slowAt.reset();
    m_own = {orderedAt, {}};
    m_addedEvidence.clear();
    // Drop evidence of earlier orders; each restart of an entry left some.
    std::erase_if(m_received, [&](const auto &item) { return item.second.orderedAt < orderedAt; });
    // Evidence rows may have been read before their order.
    addReceivedEvidence();
}

bool version_evaluator::isSlow(const std::string &kind, double slowness) const
{
    const auto mean = m_slownesses.find(kind);
    return mean != m_slownesses.end() && mean->second.count >= minAnswersForMean
            && slowness > slowFactor * mean->second.value;
}

bool version_evaluator::updateSlowness(const std::string &kind, double slowness, bool onTarget)
{
    const bool slow = isSlow(kind, slowness);
    if (onTarget)
        return slow;
    running_mean &mean = m_slownesses[kind];
    ++mean.count;
    const double weight = std::max(meanWeight, 1.0 / mean.count);
    mean.value += weight * (slowness - mean.value);
    return slow;
}

version_evaluator::guard_pair &version_evaluator::guardsOf(std::string_view route)
{
    const auto it = m_guards.find(route);
    if (it != m_guards.end())
        return it->second;
    return m_guards.emplace(route, guard_pair()).first->second;
}

void version_evaluator::addAnswers(std::string_view route, bool onTarget,
                                   const version_answers &seen)
{
    const std::uint64_t whole = seen.good + seen.slow;
    for (const std::string_view name : {route, allRoutes}) {
        guard_pair &guards = guardsOf(name);
        if (onTarget) {
            guards.failures.addRollout(whole, seen.failed);
            guards.slowness.addRollout(seen.good, seen.slow);
        } else {
            guards.failures.addSettled(whole, seen.failed);
            guards.slowness.addSettled(seen.good, seen.slow);
        }
    }
    if (onTarget)
        m_targetAnswers += seen.all();
}

/// \returns the key under which answers of this route and model are compared.
static std::string kindOf(std::string_view route, std::string_view model)
{
    return std::string(route) + "/" + std::string(model);
}

static double slownessOf(const answer_timing &timing)
{
    return timing.wait / (timing.reading + minExpectedWait);
}

bool version_evaluator::observeWait(bool onTarget, std::string_view route, std::string_view model,
                                    const answer_timing &soFar, time_point now)
{
    if (!m_orderedAt || !isSlow(kindOf(route, model), slownessOf(soFar)))
        return false;
    note(onTarget, route, {0, 0, 1}, now);
    return true;
}

void version_evaluator::observe(bool onTarget, std::string_view route, std::string_view model,
                                std::optional<answer_timing> timing, time_point now)
{
    version_answers seen;
    if (!timing) {
        seen.failed = 1;
    } else {
        const std::string kind = kindOf(route, model);
        const bool slowStart = updateSlowness(kind, slownessOf(*timing), onTarget);
        const bool slowEvents = timing->pause
                && updateSlowness(kind + "/pause", *timing->pause / duration(minExpectedWait),
                                  onTarget);
        if (timing->countedSlow)
            return;
        ++(slowStart || slowEvents ? seen.slow : seen.good);
    }
    note(onTarget, route, seen, now);
}

void version_evaluator::observeSilence(bool onTarget, std::string_view route, time_point now)
{
    note(onTarget, route, {0, 0, 1}, now);
}

void version_evaluator::note(bool onTarget, std::string_view route, version_answers seen,
                             time_point now)
{
    if (!m_orderedAt)
        return;
    if (onTarget)
        seen.slow = countedSlowAnswers(seen.slow, now);
    addAnswers(route, onTarget, seen);
    if (!onTarget)
        return;
    version_answers &own = m_own.byRoute[std::string(route)];
    own.good += seen.good;
    own.failed += seen.failed;
    own.slow += seen.slow;
}

std::uint64_t version_evaluator::countedSlowAnswers(std::uint64_t slow, time_point now)
{
    if (slow == 0 || (m_slowAt && now - *m_slowAt < slowAnswerSpacing))
        return 0;
    m_slowAt = now;
    return 1;
}

/// \returns the answers in \p seen that are not in \p before.
/// \param sameIncarnation whether both are from the same process of the entry.
static version_answers newerThan(const version_answers &before, const version_answers &seen,
                                 bool sameIncarnation)
{
    const bool isLess
            = seen.good < before.good || seen.failed < before.failed || seen.slow < before.slow;
    // A restarted entry counts from 0 again; lower counts from the same process are outdated.
    if (isLess)
        return sameIncarnation ? version_answers() : seen;
    return {seen.good - before.good, seen.failed - before.failed, seen.slow - before.slow};
}

void version_evaluator::takeEvidence(const std::string &entry, const rollout_evidence &evidence)
{
    const std::string source = entry + "#" + std::to_string(evidence.incarnation);
    rollout_evidence &last = m_received[source];
    // A row may arrive after a datagram that reports more.
    const bool isOld = evidence.incarnation != 0 && evidence.orderedAt == last.orderedAt
            && evidence.all() < last.all();
    if (!isOld)
        last = evidence;
    if (m_usesPeerEvidence)
        addPeerEvidence(source, evidence);
}

void version_evaluator::setUsesPeerEvidence(bool judges)
{
    if (std::exchange(m_usesPeerEvidence, judges) == judges || !judges)
        return;
    addReceivedEvidence();
}

void version_evaluator::addReceivedEvidence()
{
    if (!m_usesPeerEvidence)
        return;
    for (const auto &[source, evidence] : m_received)
        addPeerEvidence(source, evidence);
}

void version_evaluator::addPeerEvidence(const std::string &source, const rollout_evidence &evidence)
{
    if (evidence.orderedAt != m_orderedAt)
        return;
    rollout_evidence &known = m_addedEvidence[source];
    for (const auto &[route, seen] : evidence.byRoute) {
        version_answers &before = known.byRoute[route];
        const version_answers newAnswers = newerThan(before, seen, evidence.incarnation != 0);
        if (newAnswers.all() == 0)
            continue;
        addAnswers(
                route, true,
                {newAnswers.good, newAnswers.failed, std::min<std::uint64_t>(newAnswers.slow, 1)});
        before = seen;
    }
}

bool version_evaluator::anyGuard(const std::function<bool(const version_guard &)> &test) const
{
    return std::any_of(m_guards.begin(), m_guards.end(), [&](const auto &item) {
        return test(item.second.failures) || test(item.second.slowness);
    });
}

rollout_suspicion version_evaluator::strongestSuspicion() const
{
    rollout_suspicion strongest;
    const auto consider
            = [&](const std::string &route, std::string_view fault, const version_guard &guard) {
                  if (guard.evidence() <= strongest.evidence)
                      return;
                  strongest = {route,
                               fault,
                               guard.evidence(),
                               guard.deviationsAbove(),
                               guard.rolloutBad(),
                               guard.rolloutAll()};
              };
    for (const auto &[route, guards] : m_guards) {
        consider(route, "failures", guards.failures);
        consider(route, "slowness", guards.slowness);
    }
    return strongest;
}

bool version_evaluator::isFoundBad() const
{
    return anyGuard([](const version_guard &guard) { return guard.isStopped(); });
}

bool version_evaluator::mostlyFails() const
{
    const auto all = m_guards.find(allRoutes);
    if (all == m_guards.end())
        return false;
    const version_guard &failures = all->second.failures;
    return failures.rolloutAll() >= minAnswersForMajority
            && failures.rolloutBad() * 2 >= failures.rolloutAll();
}

bool version_evaluator::isSuspected() const
{
    // When endpoints of the old version fail too, few answers show no significant difference: 13
    // failures of 17 answers raised no suspicion.
    return mostlyFails() || anyGuard([](const version_guard &guard) {
               return guard.evidenceFraction() >= suspicionFraction
                       || guard.deviationsAbove() >= suspicionDeviations;
           });
}

bool version_evaluator::isDoubtful() const
{
    return std::any_of(m_guards.begin(), m_guards.end(),
                       [](const auto &item) { return item.second.slowness.isDoubtful(); });
}
