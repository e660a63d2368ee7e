//===-- VersionChoice.cpp - version of a session --------------------------===//
//
// The bundle lists settled versions in order; new sessions get the last allowed one, unless they
// are drawn for the version under roll-out.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/VersionChoice.h"

using namespace laurelcroft;

std::string_view laurelcroft::textOf(version_reason reason)
{
    switch (reason) {
    case version_reason::settled:
        return "settled version";
    case version_reason::rolloutShare:
        return "share of the roll-out";
    case version_reason::rolloutPaused:
        return "settled version, the roll-out is not confirmed";
    case version_reason::rolloutStopped:
        return "settled version, the roll-out was stopped";
    case version_reason::wanted:
        return "the caller asked for it";
    }
    return "unknown";
}

std::string_view laurelcroft::textOf(version_refusal refusal)
{
    switch (refusal) {
    case version_refusal::unknownModel:
        return "no such model";
    case version_refusal::notAllowed:
        return "this customer may not use it";
    case version_refusal::withdrawn:
        return "the version is withdrawn";
    case version_refusal::noVersion:
        return "no version of it may be used";
    case version_refusal::stopped:
        return "the version was stopped by its roll-out's guard";
    }
    return "unknown";
}

outcome<void, version_refusal> laurelcroft::checkVersion(const bundle &rules, const customer &who,
                                                         std::string_view name,
                                                         std::string_view version)
{
    const model *item = rules.findModel(name);
    if (item == nullptr)
        return failure(version_refusal::unknownModel);
    const model_version *found = findVersion(*item, version);
    if (found != nullptr && found->state == version_state::withdrawn)
        return failure(version_refusal::withdrawn);
    if (!mayUse(rules, who, name, version))
        return failure(version_refusal::notAllowed);
    return success();
}

static outcome<version_choice, version_refusal>
chooseRequested(const bundle &rules, const customer &who, std::string_view name,
                std::string_view wanted, const version_knowledge &known)
{
    const auto checked = checkVersion(rules, who, name, wanted);
    if (!checked)
        return failure(checked.error());
    const rollout *active = rules.findRollout(name);
    const bool isUnderRollout = active != nullptr && active->to == wanted;
    if (isUnderRollout && (known.rolloutStopped || !known.confirmed))
        return failure(version_refusal::stopped);
    return version_choice{std::string(wanted), version_reason::wanted};
}

/// \returns whether a new session gets the version under roll-out, and why.
static version_reason drawRollout(const rollout *active, const bundle &rules, const customer &who,
                                  const version_knowledge &known, random_source &random)
{
    if (active == nullptr || !mayUse(rules, who, active->model, active->to))
        return version_reason::settled;
    // Draw first, so that seeded runs draw the same numbers regardless of the other conditions.
    const bool drawn = random.uniform() * 100.0 < active->sharePercent;
    if (known.rolloutStopped)
        return version_reason::rolloutStopped;
    if (!known.confirmed)
        return version_reason::rolloutPaused;
    return drawn ? version_reason::rolloutShare : version_reason::settled;
}

outcome<version_choice, version_refusal>
laurelcroft::chooseVersion(const bundle &rules, const customer &who, std::string_view name,
                           std::string_view wanted, const version_knowledge &known,
                           random_source &random)
{
    const model *item = rules.findModel(name);
    if (item == nullptr)
        return failure(version_refusal::unknownModel);
    if (!wanted.empty())
        return chooseRequested(rules, who, name, wanted, known);
    const rollout *active = rules.findRollout(name);
    const version_reason reason = drawRollout(active, rules, who, known, random);
    if (reason == version_reason::rolloutShare)
        return version_choice{active->to, reason};
    for (auto it = item->versions.rbegin(); it != item->versions.rend(); ++it) {
        if (it->state == version_state::settled && mayUse(rules, who, name, it->name))
            return version_choice{it->name, reason};
    }
    const bool named = mayUseAnyVersion(rules, who, name);
    return failure(named ? version_refusal::noVersion : version_refusal::notAllowed);
}
