//===-- Edit.cpp - edits of a bundle ----------------------------------------===//
//
// Edited bundles are validated like any other before they are proposed.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Operator/Edit.h"

#include <algorithm>

using namespace laurelcroft;

static model *findMutableModel(bundle &rules, std::string_view name)
{
    const auto it = std::find_if(rules.models.begin(), rules.models.end(),
                                 [name](const model &item) { return item.name == name; });
    return it == rules.models.end() ? nullptr : &*it;
}

static model_version *findMutableVersion(model &item, std::string_view name)
{
    const auto it = std::find_if(item.versions.begin(), item.versions.end(),
                                 [name](const model_version &v) { return v.name == name; });
    return it == item.versions.end() ? nullptr : &*it;
}

outcome<bundle, std::string> laurelcroft::rollForward(bundle rules, std::string_view name,
                                                      std::uint32_t sharePercent)
{
    const auto active = std::find_if(rules.rollouts.begin(), rules.rollouts.end(),
                                     [name](const rollout &item) { return item.model == name; });
    if (active == rules.rollouts.end())
        return failure("no roll-out of '" + std::string(name) + "' is under way");
    if (sharePercent > 100)
        return failure(std::string("the share must lie in 0..100 %"));
    if (sharePercent < 100) {
        active->sharePercent = sharePercent;
        return rules;
    }
    model *const item = findMutableModel(rules, name);
    findMutableVersion(*item, active->to)->state = version_state::settled;
    rules.rollouts.erase(active);
    return rules;
}

outcome<bundle, std::string> laurelcroft::withdrawVersion(bundle rules, std::string_view name,
                                                          std::string_view version)
{
    model *const item = findMutableModel(rules, name);
    model_version *const found = item == nullptr ? nullptr : findMutableVersion(*item, version);
    if (found == nullptr)
        return failure("no version is called '" + std::string(name) + "@" + std::string(version)
                       + "'");
    if (found->state == version_state::withdrawn)
        return failure(std::string("the version is withdrawn already"));
    const bool isSource
            = std::any_of(rules.rollouts.begin(), rules.rollouts.end(), [&](const rollout &plan) {
                  return plan.model == name && plan.from == version;
              });
    if (isSource)
        return failure(std::string("a roll-out starts from this version; roll it forward to 100 "
                                   "or withdraw its target first"));
    found->state = version_state::withdrawn;
    std::erase_if(rules.rollouts,
                  [&](const rollout &plan) { return plan.model == name && plan.to == version; });
    return rules;
}
