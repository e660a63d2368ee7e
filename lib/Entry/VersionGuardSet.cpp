//===-- VersionGuardSet.cpp - guards of all roll-outs ---------------------===//
//
// A stopped roll-out resumes only if a new bundle changes it.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/VersionGuardSet.h"

using namespace laurelcroft;

namespace {
/// Further groups have no tests of their own; only the tests over all customers cover them.
constexpr std::size_t maxGroups = 16;
/// Each test may stop a version by itself, so the bound on the probability of a false stop is split
/// between them: half for the two tests over all customers, half for the two tests of each group.
constexpr double totalTestShare = 0.5 / 2;
constexpr double groupTestShare = 0.5 / (2 * maxGroups);
} // namespace

/// \returns \p bounds with the bound on false stops multiplied by \p share.
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

version_guard_set::guard_pair *version_guard_set::findOrAddGroup(rollout_state &state,
                                                                 std::string_view group)
{
    const auto it = state.groups.find(group);
    if (it != state.groups.end())
        return &it->second;
    if (state.groups.size() >= maxGroups)
        return nullptr;
    const guard_pair fresh(scaleFalseStop(state.plan.guard, groupTestShare));
    return &state.groups.emplace(std::string(group), fresh).first->second;
}

bool version_guard_set::add(const version_evidence &evidence)
{
    const auto it = m_rollouts.find(evidence.model);
    if (it == m_rollouts.end())
        return false;
    rollout_state &state = it->second;
    bool stops = addToGuards(state.all, state.plan, evidence);
    if (guard_pair *const group = findOrAddGroup(state, evidence.group))
        stops = addToGuards(*group, state.plan, evidence) || stops;
    if (state.stopped || !stops)
        return false;
    state.stopped = true;
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
