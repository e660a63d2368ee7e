//===-- BundleCheck.cpp - rules between the parts of a bundle ---------------===//
//
// Names must be unique and refer to something; a roll-out must move between two
// versions of one model; a cascade must go from cheap to costly.
//
//===----------------------------------------------------------------------===//
#include "BundleCheck.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <set>

using namespace laurelcroft;

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t hexDigestSize = 64;

/// Notes errors at the place of one item of one list.
class item_checker
{
public:
    item_checker(const YAML::Node &root, const std::string &list, std::size_t index,
                 bundle_errors &errors)
        : m_errors(errors)
        , m_path(list + "[" + std::to_string(index) + "]")
    {
        const YAML::Node items = root[list];
        const YAML::Node item = items.IsSequence() ? items[index] : items;
        m_line = item.Mark().line + 1;
        m_column = item.Mark().column + 1;
    }

    void require(bool holds, const std::string &field, const std::string &message)
    {
        if (!holds)
            m_errors.push_back({m_line, m_column, m_path + "." + field, message});
    }

private:
    bundle_errors &m_errors;
    std::string m_path;
    int m_line = 0;
    int m_column = 0;
};

} // namespace

static bool isName(std::string_view name)
{
    if (name.empty() || name.size() > maxNameLength)
        return false;
    return std::all_of(name.begin(), name.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '.' || c == '_';
    });
}

template <class T, class F>
static void checkList(const std::vector<T> &items, const std::string &list, const YAML::Node &root,
                      bundle_errors &errors, F check)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        item_checker here(root, list, i, errors);
        if constexpr (requires { items[i].name; }) {
            here.require(isName(items[i].name), "name",
                         "must be 1 to 64 letters, digits, '-', '.' or '_'");
            here.require(seen.insert(items[i].name).second, "name",
                         "'" + items[i].name + "' stands twice");
        }
        check(items[i], here);
    }
}

static void checkModel(const bundle &rules, const model &item, item_checker &here)
{
    const pool *where = rules.findPool(item.pool);
    here.require(where != nullptr, "pool", "no pool is called '" + item.pool + "'");
    here.require(where == nullptr || where->kind == pool_kind::engine, "pool",
                 "a model needs a pool of kind engine");
    here.require(!item.versions.empty(), "versions", "must name at least one version");
    std::set<std::string> seen;
    for (const model_version &version : item.versions) {
        here.require(isName(version.name), "versions", "'" + version.name + "' is not a name");
        here.require(seen.insert(version.name).second, "versions",
                     "'" + version.name + "' stands twice");
        const rollout *moving = rules.findRollout(item.name);
        here.require(version.state != version_state::rollout
                             || (moving != nullptr && moving->to == version.name),
                     "versions",
                     "'" + version.name + "' is in roll-out, but no roll-out leads to it");
    }
}

static void checkRollout(const bundle &rules, const rollout &item, item_checker &here)
{
    const model *moved = rules.findModel(item.model);
    here.require(moved != nullptr, "model", "no model is called '" + item.model + "'");
    if (moved == nullptr)
        return;
    const model_version *from = findVersion(*moved, item.from);
    const model_version *to = findVersion(*moved, item.to);
    here.require(from != nullptr && from->state == version_state::settled, "from",
                 "must be a settled version of the model");
    here.require(to != nullptr && to->state == version_state::rollout, "to",
                 "must be a version of the model in state rollout");
    here.require(item.from != item.to, "to", "must differ from 'from'");
}

static void checkCascade(const bundle &rules, const cascade &item, item_checker &here)
{
    here.require(item.tiers.size() >= 2, "tiers", "must name at least two models");
    double lastCost = 0;
    for (const std::string &tier : item.tiers) {
        const model *found = rules.findModel(tier);
        here.require(found != nullptr, "tiers", "no model is called '" + tier + "'");
        if (found == nullptr)
            continue;
        here.require(found->outputCost >= lastCost, "tiers", "must go from cheap to costly");
        lastCost = found->outputCost;
    }
    here.require(rules.findModel(item.name) == nullptr, "name",
                 "'" + item.name + "' is also a model");
}

static bool isKnownTarget(const bundle &rules, const std::string &entry)
{
    if (rules.findCascade(entry) || rules.findService(entry) || rules.findModel(entry))
        return true;
    const std::size_t at = entry.find('@');
    if (at == std::string::npos)
        return false;
    const model *found = rules.findModel(entry.substr(0, at));
    return found != nullptr && findVersion(*found, entry.substr(at + 1)) != nullptr;
}

/// A cascade runs on its tiers: a customer without one of them could never use it.
static void checkCascadeTiers(const bundle &rules, const customer &item, const cascade &wanted,
                              item_checker &here)
{
    for (const std::string &tier : wanted.tiers) {
        const bool listed = std::any_of(item.allowed.begin(), item.allowed.end(),
                                        [&](const std::string &entry) {
                                            return entry == tier || entry.rfind(tier + "@", 0) == 0;
                                        });
        here.require(listed || rules.findModel(tier) == nullptr, "allowed",
                     "'" + wanted.name + "' needs its tier '" + tier + "' as well");
    }
}

static void checkCustomer(const bundle &rules, const customer &item, item_checker &here)
{
    const bool isDigest = item.keySha256.size() == hexDigestSize
            && std::all_of(item.keySha256.begin(), item.keySha256.end(),
                           [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    here.require(isDigest, "key_sha256", "must be 64 lower-case hexadecimal digits");
    here.require(!item.group.empty(), "group", "must not be empty");
    for (const std::string &entry : item.allowed) {
        here.require(isKnownTarget(rules, entry), "allowed",
                     "'" + entry + "' is no model, model@version, cascade or service");
        if (const cascade *wanted = rules.findCascade(entry))
            checkCascadeTiers(rules, item, *wanted, here);
    }
}

void laurelcroft::checkReferences(const bundle &rules, const YAML::Node &root,
                                  bundle_errors &errors)
{
    if (!root.IsMap())
        return;
    checkList(rules.pools, "pools", root, errors, [](const pool &, item_checker &) {});
    checkList(rules.models, "models", root, errors,
              [&](const model &item, item_checker &here) { checkModel(rules, item, here); });
    checkList(rules.services, "services", root, errors,
              [&](const service &item, item_checker &here) {
                  const pool *where = rules.findPool(item.pool);
                  here.require(where != nullptr, "pool", "no pool is called '" + item.pool + "'");
                  here.require(where == nullptr || where->kind == pool_kind::service, "pool",
                               "a service needs a pool of kind service");
                  here.require(!rules.findModel(item.name) && !rules.findCascade(item.name), "name",
                               "'" + item.name + "' is also a model or cascade");
              });
    checkList(rules.cascades, "cascades", root, errors,
              [&](const cascade &item, item_checker &here) { checkCascade(rules, item, here); });
    std::set<std::string> moving;
    checkList(rules.rollouts, "rollouts", root, errors,
              [&](const rollout &item, item_checker &here) {
                  checkRollout(rules, item, here);
                  here.require(moving.insert(item.model).second, "model", "is in two roll-outs");
              });
    std::set<std::string> keys;
    checkList(rules.customers, "customers", root, errors,
              [&](const customer &item, item_checker &here) {
                  checkCustomer(rules, item, here);
                  here.require(keys.insert(item.keySha256).second, "key_sha256",
                               "is another customer's key as well");
              });
}
