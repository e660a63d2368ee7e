//===-- BundleCheck.cpp - consistency checks of a bundle --------------------===//
//
// Names must be unique and references must resolve; a roll-out must connect two
// versions of one model; the tiers of a cascade must be ordered by cost.
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

/// Reports errors at the line and column of one list item.
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
        item_checker checker(root, list, i, errors);
        if constexpr (requires { items[i].name; }) {
            checker.require(isName(items[i].name), "name",
                            "must be 1 to 64 letters, digits, '-', '.' or '_'");
            checker.require(seen.insert(items[i].name).second, "name",
                            "duplicate name '" + items[i].name + "'");
        }
        check(items[i], checker);
    }
}

static void checkModel(const bundle &rules, const model &item, item_checker &checker)
{
    const pool *servingPool = rules.findPool(item.pool);
    checker.require(servingPool != nullptr, "pool", "no pool is called '" + item.pool + "'");
    checker.require(servingPool == nullptr || servingPool->kind == pool_kind::engine, "pool",
                    "a model needs a pool of kind engine");
    checker.require(!item.versions.empty(), "versions", "must name at least one version");
    std::set<std::string> seen;
    for (const model_version &version : item.versions) {
        checker.require(isName(version.name), "versions",
                        "'" + version.name + "' is not a valid name");
        checker.require(seen.insert(version.name).second, "versions",
                        "duplicate version '" + version.name + "'");
        const rollout *moving = rules.findRollout(item.name);
        checker.require(version.state != version_state::rollout
                                || (moving != nullptr && moving->to == version.name),
                        "versions",
                        "'" + version.name + "' is in roll-out, but no roll-out leads to it");
    }
}

static void checkRollout(const bundle &rules, const rollout &item, item_checker &checker)
{
    const model *moved = rules.findModel(item.model);
    checker.require(moved != nullptr, "model", "no model is called '" + item.model + "'");
    if (moved == nullptr)
        return;
    const model_version *from = findVersion(*moved, item.from);
    const model_version *to = findVersion(*moved, item.to);
    checker.require(from != nullptr && from->state == version_state::settled, "from",
                    "must be a settled version of the model");
    checker.require(to != nullptr && to->state == version_state::rollout, "to",
                    "must be a version of the model in state rollout");
    checker.require(item.from != item.to, "to", "must differ from 'from'");
}

static void checkCascade(const bundle &rules, const cascade &item, item_checker &checker)
{
    checker.require(item.tiers.size() >= 2, "tiers", "must name at least two models");
    double lastCost = 0;
    for (const std::string &tier : item.tiers) {
        const model *found = rules.findModel(tier);
        checker.require(found != nullptr, "tiers", "no model is called '" + tier + "'");
        if (found == nullptr)
            continue;
        checker.require(found->outputCost >= lastCost, "tiers",
                        "must be ordered by output_cost, cheapest first");
        lastCost = found->outputCost;
    }
    checker.require(rules.findModel(item.name) == nullptr, "name",
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

/// Requires that a customer with a cascade may use a version of each of its tiers, because the
/// cascade runs on them.
static void checkCascadeTiers(const bundle &rules, const customer &item, const cascade &wanted,
                              item_checker &checker)
{
    for (const std::string &tier : wanted.tiers) {
        const bool listed = std::any_of(item.allowed.begin(), item.allowed.end(),
                                        [&](const std::string &entry) {
                                            return entry == tier || entry.rfind(tier + "@", 0) == 0;
                                        });
        checker.require(listed || rules.findModel(tier) == nullptr, "allowed",
                        "'" + wanted.name + "' needs its tier '" + tier + "' as well");
    }
}

static void checkCustomer(const bundle &rules, const customer &item, item_checker &checker)
{
    const bool isDigest = item.keySha256.size() == hexDigestSize
            && std::all_of(item.keySha256.begin(), item.keySha256.end(),
                           [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    checker.require(isDigest, "key_sha256", "must be 64 lower-case hexadecimal digits");
    checker.require(!item.group.empty(), "group", "must not be empty");
    for (const std::string &entry : item.allowed) {
        checker.require(isKnownTarget(rules, entry), "allowed",
                        "'" + entry + "' is no model, model@version, cascade or service");
        if (const cascade *wanted = rules.findCascade(entry))
            checkCascadeTiers(rules, item, *wanted, checker);
    }
}

void laurelcroft::checkReferences(const bundle &rules, const YAML::Node &root,
                                  bundle_errors &errors)
{
    if (!root.IsMap())
        return;
    checkList(rules.pools, "pools", root, errors, [](const pool &, item_checker &) {});
    checkList(rules.models, "models", root, errors,
              [&](const model &item, item_checker &checker) { checkModel(rules, item, checker); });
    checkList(rules.services, "services", root, errors,
              [&](const service &item, item_checker &checker) {
                  const pool *servingPool = rules.findPool(item.pool);
                  checker.require(servingPool != nullptr, "pool",
                                  "no pool is called '" + item.pool + "'");
                  checker.require(servingPool == nullptr || servingPool->kind == pool_kind::service,
                                  "pool", "a service needs a pool of kind service");
                  checker.require(!rules.findModel(item.name) && !rules.findCascade(item.name),
                                  "name", "'" + item.name + "' is also a model or cascade");
              });
    checkList(rules.cascades, "cascades", root, errors,
              [&](const cascade &item, item_checker &checker) {
                  checkCascade(rules, item, checker);
              });
    std::set<std::string> moving;
    checkList(rules.rollouts, "rollouts", root, errors,
              [&](const rollout &item, item_checker &checker) {
                  checkRollout(rules, item, checker);
                  checker.require(moving.insert(item.model).second, "model",
                                  "has more than one roll-out");
              });
    std::set<std::string> keys;
    checkList(rules.customers, "customers", root, errors,
              [&](const customer &item, item_checker &checker) {
                  checkCustomer(rules, item, checker);
                  checker.require(keys.insert(item.keySha256).second, "key_sha256",
                                  "is already the key of another customer");
              });
}
