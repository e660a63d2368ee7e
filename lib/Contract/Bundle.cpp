//===-- Bundle.cpp - lookups and permissions --------------------------------===//
//
// Bundles contain tens of items, so linear searches are fast enough.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Contract/Bundle.h"

#include <algorithm>

using namespace laurelcroft;

template <class T>
static const T *findByName(const std::vector<T> &items, std::string_view name)
{
    const auto it = std::find_if(items.begin(), items.end(),
                                 [name](const T &item) { return item.name == name; });
    return it == items.end() ? nullptr : &*it;
}

const model *bundle::findModel(std::string_view name) const
{
    return findByName(models, name);
}

const service *bundle::findService(std::string_view name) const
{
    return findByName(services, name);
}

const cascade *bundle::findCascade(std::string_view name) const
{
    return findByName(cascades, name);
}

const customer *bundle::findCustomer(std::string_view name) const
{
    return findByName(customers, name);
}

const pool *bundle::findPool(std::string_view name) const
{
    return findByName(pools, name);
}

const rollout *bundle::findRollout(std::string_view model) const
{
    const auto it = std::find_if(rollouts.begin(), rollouts.end(),
                                 [model](const rollout &item) { return item.model == model; });
    return it == rollouts.end() ? nullptr : &*it;
}

const model_version *laurelcroft::findVersion(const model &item, std::string_view version)
{
    return findByName(item.versions, version);
}

static bool isAllowed(const customer &who, std::string_view entry)
{
    return std::find(who.allowed.begin(), who.allowed.end(), entry) != who.allowed.end();
}

static std::string versionedName(std::string_view name, std::string_view version)
{
    return std::string(name) + "@" + std::string(version);
}

bool laurelcroft::mayUse(const bundle &rules, const customer &who, std::string_view name,
                         std::string_view version)
{
    if (rules.findService(name) != nullptr)
        return isAllowed(who, name);
    const model *item = rules.findModel(name);
    if (item == nullptr)
        return false;
    const model_version *found = findVersion(*item, version);
    if (found == nullptr || found->state == version_state::withdrawn)
        return false;
    return isAllowed(who, name) || isAllowed(who, versionedName(name, version));
}

bool laurelcroft::mayUseAnyVersion(const bundle &rules, const customer &who, std::string_view name)
{
    if (rules.findCascade(name) != nullptr || rules.findService(name) != nullptr)
        return isAllowed(who, name);
    const model *item = rules.findModel(name);
    if (item == nullptr)
        return false;
    return std::any_of(item->versions.begin(), item->versions.end(),
                       [&](const model_version &v) { return mayUse(rules, who, name, v.name); });
}

std::string_view laurelcroft::textOf(version_state state)
{
    switch (state) {
    case version_state::settled:
        return "settled";
    case version_state::rollout:
        return "rollout";
    case version_state::withdrawn:
        return "withdrawn";
    }
    return "unknown";
}
