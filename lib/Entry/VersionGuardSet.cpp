//===-- VersionGuardSet.cpp - guards of all roll-outs ----------------------------===//
//
// A stopped roll-out returns only through a bundle that changes it.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/VersionGuardSet.h"

using namespace laurelcroft;

namespace {
/// Groups beyond these are judged by the sum alone.
constexpr std::size_t maxGroups = 16;
/// Tests that may each stop a version: errors and ratings, over all and for each group.
/// The bound on false stops is split: half for the sums, half for the groups.
constexpr double totalTestShare = 0.5 / 2;
constexpr double groupTestShare = 0.5 / (2 * maxGroups);
} // namespace

static rollout_guard scaleFalseStop(rollout_guard bounds, double share)
{
    bounds.falseStop *= share;
    return bounds;
}

version_guard_set::rollout_state::rollout_state(const rollout &plan)
    : plan(plan)
    , all(scaleFalseStop(plan.guard, totalTestShare))
{
}

void version_guard_set::onBundle(const bundle &rules)
{
    std::map<std::string, rollout_state, std::less<>> next;
    for (const rollout &plan : rules.rollouts) {
        const auto known = m_rollouts.find(plan.model);
        if (known != m_rollouts.end() && known->second.plan == plan)
            next.emplace(plan.model, known->second);
        else
            next.emplace(plan.model, rollout_state(plan));
    }
    m_rollouts = std::move(next);
}

bool version_guard_set::addToGuards(guard_pair &pair, const rollout &plan,
                                    const version_evidence &evidence)
{
    version_guard &guard = evidence.kind == evidence_kind::errors ? pair.errors : pair.ratings;
    const std::uint64_t good = evidence.good ? 1 : 0;
    if (evidence.version == plan.from)
        guard.addSettled(good, 1 - good);
    else if (evidence.version == plan.to)
        guard.addRollout(good, 1 - good);
    return guard.isStopped();
}

version_guard_set::guard_pair *version_guard_set::findOrAddGroup(rollout_state &entry,
                                                                 std::string_view group)
{
    const auto it = entry.groups.find(group);
    if (it != entry.groups.end())
        return &it->second;
    if (entry.groups.size() >= maxGroups)
        return nullptr;
    const guard_pair fresh(scaleFalseStop(entry.plan.guard, groupTestShare));
    return &entry.groups.emplace(std::string(group), fresh).first->second;
}

bool version_guard_set::add(const version_evidence &evidence)
{
    const auto it = m_rollouts.find(evidence.model);
    if (it == m_rollouts.end())
        return false;
    rollout_state &entry = it->second;
    bool stops = addToGuards(entry.all, entry.plan, evidence);
    if (guard_pair *const group = findOrAddGroup(entry, evidence.group))
        stops = addToGuards(*group, entry.plan, evidence) || stops;
    if (entry.stopped || !stops)
        return false;
    entry.stopped = true;
    return true;
}

bool version_guard_set::stop(std::string_view model, std::string_view version)
{
    const auto it = m_rollouts.find(model);
    if (it == m_rollouts.end() || it->second.plan.to != version || it->second.stopped)
        return false;
    it->second.stopped = true;
    return true;
}

bool version_guard_set::isStopped(std::string_view model) const
{
    const auto it = m_rollouts.find(model);
    return it != m_rollouts.end() && it->second.stopped;
}
