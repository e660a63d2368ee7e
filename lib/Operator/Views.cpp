//===-- Views.cpp - status, history, explain --------------------------------===//
//
// Read-only subcommands.
//
//===----------------------------------------------------------------------===//
#include "Commands.h"

#include "laurelcroft/Policy/VersionChoice.h"

#include <map>

using namespace laurelcroft;
using nlohmann::json;

/// Reads the state of all instances, with their epochs, from an entry's admin port.
static std::optional<json> readFleet(command_context &context)
{
    const std::string &url = context.options.text("admin-url");
    if (url.empty())
        return std::nullopt;
    const auto reply = context.platform.get(url + "/fleetz");
    if (!reply || reply.value().status != http_status::ok)
        return std::nullopt;
    json body = json::parse(reply.value().body, nullptr, false);
    if (!body.is_object() || !body.contains("instances"))
        return std::nullopt;
    return body["instances"];
}

report laurelcroft::statusCommand(command_context &context)
{
    const auto current = readCurrent(context.platform);
    if (!current)
        return current.error();
    const acceptance &accepted = current.value().accepted;
    report result;
    result.data["epoch"] = accepted.epoch;
    result.data["hash"] = accepted.hash;
    result.data["operator"] = accepted.operatorName;
    result.lines.push_back("epoch " + std::to_string(accepted.epoch) + " accepted by "
                           + accepted.operatorName + ", hash " + accepted.hash);
    const auto fleet = readFleet(context);
    if (!fleet) {
        result.lines.push_back(
                "instances not queried: set --admin-url to the admin address of an entry");
        return result;
    }
    std::size_t inForce = 0;
    std::size_t silent = 0;
    for (const json &item : *fleet) {
        const json epoch = item.value("epoch", json());
        inForce += epoch.is_number() && epoch.get<bundle_epoch>() == accepted.epoch ? 1 : 0;
        silent += epoch.is_null() ? 1 : 0;
    }
    result.data["instances"] = fleet->size();
    result.data["in_force"] = inForce;
    result.data["silent"] = silent;
    result.lines.push_back("in force at " + std::to_string(inForce) + " of "
                           + std::to_string(fleet->size()) + " instances, " + std::to_string(silent)
                           + " did not answer");
    return result;
}

report laurelcroft::historyCommand(command_context &context)
{
    const auto rows = context.platform.scan("bundle/history/");
    if (!rows)
        return failedReport(operator_exit::platformUnreachable, "the table cannot be reached");
    report result;
    result.data["epochs"] = nlohmann::ordered_json::array();
    for (const new_row &row : rows.value()) {
        const auto accepted = decodeAcceptance(row.value);
        if (!accepted)
            continue;
        result.lines.push_back("epoch " + std::to_string(accepted->epoch) + " by "
                               + accepted->operatorName + " " + accepted->hash);
        result.data["epochs"].push_back({{"epoch", accepted->epoch},
                                         {"operator", accepted->operatorName},
                                         {"hash", accepted->hash}});
    }
    return result;
}

/// Simulates the version choice of new sessions and counts the chosen versions with the reasons.
static std::map<std::string, int> drawVersions(const bundle &rules, const customer &who,
                                               const std::string &name, int draws)
{
    random_source random(1);
    std::map<std::string, int> counts;
    for (int i = 0; i < draws; ++i) {
        const auto choice = chooseVersion(rules, who, name, "", {}, random);
        if (choice)
            counts[choice.value().version + " (" + std::string(textOf(choice.value().reason)) + ")"]
                    += 1;
        else
            counts["refused: " + std::string(textOf(choice.error()))] += 1;
    }
    return counts;
}

static void explainModel(command_context &context, const bundle &rules, const customer &who,
                         const std::string &name, report &result)
{
    constexpr int draws = 1000;
    for (const auto &[version, count] : drawVersions(rules, who, name, draws)) {
        result.lines.push_back("  " + name + ": " + std::to_string(count / 10)
                               + "% of new sessions on " + version);
        result.data["versions"][name][version] = count / static_cast<double>(draws);
    }
    const model *item = rules.findModel(name);
    const auto fleet = readFleet(context);
    if (item == nullptr || !fleet)
        return;
    std::string endpoints;
    for (const json &line : *fleet) {
        if (line.value("pool", "") == item->pool && !line.value("leaving", false))
            endpoints += (endpoints.empty() ? "" : ", ") + line.value("instance", "");
    }
    result.lines.push_back("  endpoints of pool " + item->pool + ": " + endpoints);
    result.data["endpoints"][name] = endpoints;
}

report laurelcroft::explainCommand(command_context &context)
{
    if (context.arguments.size() != 2)
        return failedReport(operator_exit::usage, "explain takes a customer and a target");
    const auto current = readCurrent(context.platform);
    if (!current)
        return current.error();
    const bundle &rules = current.value().rules;
    const customer *who = rules.findCustomer(context.arguments[0]);
    if (who == nullptr)
        return failedReport(operator_exit::failed, "no such customer");
    const std::string &target = context.arguments[1];
    if (!mayUseAnyVersion(rules, *who, target))
        return failedReport(operator_exit::failed,
                            "this customer may not use the target, or no such "
                            "model, cascade or service exists");
    report result;
    result.data["customer"] = who->name;
    result.lines.push_back(who->name + " asks for " + target + " under epoch "
                           + std::to_string(current.value().accepted.epoch) + ":");
    if (const cascade *tiers = rules.findCascade(target)) {
        const std::string start = tiers->repeatable
                ? "  a cascade: starts at the cheapest tier if its answers suffice often enough"
                : "  a non-repeatable cascade: runs on the last tier only";
        result.lines.push_back(start);
        for (const std::string &tier : tiers->tiers)
            explainModel(context, rules, *who, tier, result);
    } else if (const service *plain = rules.findService(target)) {
        result.lines.push_back("  a service of pool " + plain->pool
                               + (plain->repeatable ? "" : ", run at most once"));
    } else {
        explainModel(context, rules, *who, target, result);
    }
    return result;
}
