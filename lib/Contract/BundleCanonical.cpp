//===-- BundleCanonical.cpp - canonical text and differences ----------------===//
//
// The canonical text is hashed, signed and stored. std::to_chars prints numbers in
// their shortest form, so that neither locale nor precision can change a hash.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Contract/BundleText.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

using namespace laurelcroft;

static std::string formatNumber(double value)
{
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc() ? std::string(buffer.data(), end) : std::string("0");
}

template <class T>
static void emitField(YAML::Emitter &out, const char *name, const T &value)
{
    out << YAML::Key << name << YAML::Value << value;
}

static void emitField(YAML::Emitter &out, const char *name, double value)
{
    out << YAML::Key << name << YAML::Value << formatNumber(value);
}

static void emitString(YAML::Emitter &out, const char *name, const std::string &value)
{
    out << YAML::Key << name << YAML::Value << YAML::DoubleQuoted << value;
}

static void emitStrings(YAML::Emitter &out, const char *name,
                        const std::vector<std::string> &values)
{
    out << YAML::Key << name << YAML::Value << YAML::Flow << YAML::BeginSeq;
    for (const std::string &value : values)
        out << YAML::DoubleQuoted << value;
    out << YAML::EndSeq;
}

template <class T>
static void emitList(YAML::Emitter &out, const char *name, const std::vector<T> &items,
                     void (*emitOne)(YAML::Emitter &, const T &))
{
    out << YAML::Key << name << YAML::Value << YAML::BeginSeq;
    for (const T &item : items) {
        out << YAML::BeginMap;
        emitOne(out, item);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

static void emitPool(YAML::Emitter &out, const pool &item)
{
    emitString(out, "name", item.name);
    emitField(out, "kind", item.kind == pool_kind::engine ? "engine" : "service");
    emitField(out, "fenced", item.fenced);
}

static void emitVersion(YAML::Emitter &out, const model_version &item)
{
    emitString(out, "name", item.name);
    emitField(out, "state", std::string(textOf(item.state)));
    emitString(out, "weights", item.weights);
}

static void emitModel(YAML::Emitter &out, const model &item)
{
    emitString(out, "name", item.name);
    emitString(out, "pool", item.pool);
    emitField(out, "input_cost", item.inputCost);
    emitField(out, "output_cost", item.outputCost);
    emitList(out, "versions", item.versions, emitVersion);
}

static void emitService(YAML::Emitter &out, const service &item)
{
    emitString(out, "name", item.name);
    emitString(out, "pool", item.pool);
    emitField(out, "repeatable", item.repeatable);
    emitField(out, "cost", item.cost);
}

static void emitCascade(YAML::Emitter &out, const cascade &item)
{
    emitString(out, "name", item.name);
    emitStrings(out, "tiers", item.tiers);
    emitField(out, "quality_target", item.qualityTarget);
    emitField(out, "start_score", item.startScore);
    emitField(out, "latency_ms", item.latencyMs);
    emitField(out, "repeatable", item.repeatable);
}

static void emitRollout(YAML::Emitter &out, const rollout &item)
{
    emitString(out, "model", item.model);
    emitString(out, "from", item.from);
    emitString(out, "to", item.to);
    emitField(out, "share_percent", item.sharePercent);
    out << YAML::Key << "guard" << YAML::Value << YAML::BeginMap;
    emitField(out, "worse_by", item.guard.worseBy);
    emitField(out, "false_stop", item.guard.falseStop);
    emitField(out, "confirm_seconds", item.guard.confirmSeconds);
    out << YAML::EndMap;
}

static void emitCustomer(YAML::Emitter &out, const customer &item)
{
    emitString(out, "name", item.name);
    emitString(out, "key_sha256", item.keySha256);
    emitString(out, "group", item.group);
    emitStrings(out, "allowed", item.allowed);
    emitField(out, "requests_per_second", item.requestsPerSecond);
    emitField(out, "burst", item.burst);
    emitField(out, "max_concurrent", item.maxConcurrent);
    emitField(out, "priority", item.priority);
}

std::string laurelcroft::canonicalText(const bundle &rules)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    emitField(out, "laurelcroft", bundleFormat);
    emitString(out, "site", rules.site);
    emitList(out, "pools", rules.pools, emitPool);
    emitList(out, "models", rules.models, emitModel);
    emitList(out, "services", rules.services, emitService);
    emitList(out, "cascades", rules.cascades, emitCascade);
    emitList(out, "rollouts", rules.rollouts, emitRollout);
    emitList(out, "customers", rules.customers, emitCustomer);
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

/// Appends a line for each item that was added or removed between two lists of named items, and
/// calls \p explain for each changed one.
template <class T, class F>
static void diffNamed(const char *kind, const std::vector<T> &before, const std::vector<T> &after,
                      std::vector<std::string> &lines, F explain)
{
    const auto find = [](const std::vector<T> &items, const std::string &name) -> const T * {
        for (const T &item : items) {
            if (item.name == name)
                return &item;
        }
        return nullptr;
    };
    for (const T &item : before) {
        if (find(after, item.name) == nullptr)
            lines.push_back(std::string(kind) + " " + item.name + " is removed");
    }
    for (const T &item : after) {
        const T *old = find(before, item.name);
        if (old == nullptr)
            lines.push_back(std::string(kind) + " " + item.name + " is added");
        else if (!(*old == item))
            explain(*old, item);
    }
}

static std::string customersUsing(const bundle &rules, const std::string &name)
{
    std::string users;
    for (const customer &who : rules.customers) {
        const bool uses = std::any_of(who.allowed.begin(), who.allowed.end(),
                                      [&](const std::string &entry) {
                                          return entry == name || entry.rfind(name + "@", 0) == 0;
                                      });
        if (uses)
            users += (users.empty() ? "" : ", ") + who.name;
    }
    return users.empty() ? "no customer" : users;
}

static void diffCustomer(const customer &before, const customer &after,
                         std::vector<std::string> &lines)
{
    const std::set<std::string> old(before.allowed.begin(), before.allowed.end());
    const std::set<std::string> fresh(after.allowed.begin(), after.allowed.end());
    for (const std::string &entry : fresh) {
        if (old.count(entry) == 0)
            lines.push_back("customer " + after.name + " may now use " + entry);
    }
    for (const std::string &entry : old) {
        if (fresh.count(entry) == 0)
            lines.push_back("customer " + after.name + " may no longer use " + entry);
    }
    if (before.keySha256 != after.keySha256)
        lines.push_back("customer " + after.name + " gets another key");
    const bool limitsChanged = before.requestsPerSecond != after.requestsPerSecond
            || before.burst != after.burst || before.maxConcurrent != after.maxConcurrent
            || before.priority != after.priority;
    if (limitsChanged)
        lines.push_back("customer " + after.name + " gets other limits: "
                        + formatNumber(after.requestsPerSecond) + " requests/s, burst "
                        + std::to_string(after.burst) + ", " + std::to_string(after.maxConcurrent)
                        + " in flight, priority " + std::to_string(after.priority));
    if (before.group != after.group)
        lines.push_back("customer " + after.name + " moves to group " + after.group);
}

static void diffModel(const bundle &rules, const model &before, const model &after,
                      std::vector<std::string> &lines)
{
    const std::string affected = " (affects " + customersUsing(rules, after.name) + ")";
    diffNamed("version", before.versions, after.versions, lines,
              [&](const model_version &old, const model_version &fresh) {
                  if (old.state != fresh.state)
                      lines.push_back("version " + after.name + "@" + fresh.name + " goes from "
                                      + std::string(textOf(old.state)) + " to "
                                      + std::string(textOf(fresh.state)) + affected);
                  if (old.weights != fresh.weights)
                      lines.push_back("version " + after.name + "@" + fresh.name
                                      + " gets other weights" + affected);
              });
    if (before.inputCost != after.inputCost || before.outputCost != after.outputCost)
        lines.push_back("model " + after.name + " gets another cost" + affected);
    if (before.pool != after.pool)
        lines.push_back("model " + after.name + " moves to pool " + after.pool + affected);
}

static void diffRollouts(const bundle &before, const bundle &after, std::vector<std::string> &lines)
{
    for (const rollout &item : after.rollouts) {
        const rollout *old = before.findRollout(item.model);
        if (old != nullptr && *old == item)
            continue;
        lines.push_back("roll-out of " + item.model + " from " + item.from + " to " + item.to
                        + " takes " + std::to_string(item.sharePercent) + "% of new sessions"
                        + (old ? " instead of " + std::to_string(old->sharePercent) + "%" : "")
                        + " (affects " + customersUsing(after, item.model) + ")");
    }
    for (const rollout &item : before.rollouts) {
        if (after.findRollout(item.model) == nullptr)
            lines.push_back("roll-out of " + item.model + " to " + item.to + " ends");
    }
}

std::vector<std::string> laurelcroft::diffBundles(const bundle &before, const bundle &after)
{
    std::vector<std::string> lines;
    const auto changed = [&](const char *kind) {
        return [&lines, kind](const auto &, const auto &fresh) {
            lines.push_back(std::string(kind) + " " + fresh.name + " is changed");
        };
    };
    if (before.site != after.site)
        lines.push_back("the site is renamed to " + after.site);
    diffNamed("pool", before.pools, after.pools, lines, changed("pool"));
    diffNamed("model", before.models, after.models, lines,
              [&](const model &old, const model &now) { diffModel(after, old, now, lines); });
    diffNamed("service", before.services, after.services, lines, changed("service"));
    diffNamed("cascade", before.cascades, after.cascades, lines, changed("cascade"));
    diffRollouts(before, after, lines);
    diffNamed("customer", before.customers, after.customers, lines,
              [&](const customer &old, const customer &now) { diffCustomer(old, now, lines); });
    return lines;
}
