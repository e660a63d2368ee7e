//===-- Bill.cpp - rows of bills and claims ---------------------------------===//
//
// Rows are encoded as JSON so that operators can read the table without a special tool.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Ledger/Bill.h"

#include "laurelcroft/Support/Crypto.h"

#include <nlohmann/json.hpp>

#include <array>

using namespace laurelcroft;
using nlohmann::json;

namespace {
constexpr std::array<std::string_view, 3> claimStates = {"claimed", "released", "done"};
}

std::string laurelcroft::billKey(std::string_view requestId)
{
    return "bill/" + std::string(requestId);
}

std::string laurelcroft::claimKey(std::string_view requestId)
{
    return "claim/" + std::string(requestId);
}

std::string laurelcroft::sessionKey(std::string_view customer, std::string_view session,
                                    std::string_view model)
{
    // A session name may contain any character, so the key contains its digest.
    return "session/" + std::string(customer) + "/" + sha256Hex(session).substr(0, 32) + "/"
            + std::string(model);
}

int laurelcroft::billRank(const wire::bill &item)
{
    if (!item.provisional())
        return 2;
    return item.outcome() == uncertainOutcome ? 0 : 1;
}

std::string laurelcroft::encodeBill(const wire::bill &item)
{
    json steps = json::array();
    for (const wire::bill_step &step : item.steps())
        steps.push_back({{"target", step.target()},
                         {"version", step.version()},
                         {"endpoint", step.endpoint()},
                         {"prompt_tokens", step.usage().prompt_tokens()},
                         {"cached_tokens", step.usage().cached_tokens()},
                         {"generated_tokens", step.usage().generated_tokens()},
                         {"cost", step.cost()}});
    const json row = {{"request_id", item.request_id()},
                      {"customer", item.customer()},
                      {"session", item.session()},
                      {"target", item.target()},
                      {"steps", steps},
                      {"cost", item.cost()},
                      {"outcome", item.outcome()},
                      {"bundle_epoch", item.bundle_epoch()},
                      {"wall_ms", item.wall_ms()},
                      {"provisional", item.provisional()}};
    return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<wire::bill> laurelcroft::decodeBill(std::string_view text)
{
    const json row = json::parse(text, nullptr, false);
    if (!row.is_object())
        return std::nullopt;
    try {
        wire::bill item;
        item.set_request_id(row.at("request_id").get<std::string>());
        item.set_customer(row.at("customer").get<std::string>());
        item.set_session(row.at("session").get<std::string>());
        item.set_target(row.at("target").get<std::string>());
        item.set_cost(row.at("cost").get<double>());
        item.set_outcome(row.at("outcome").get<std::string>());
        item.set_bundle_epoch(row.at("bundle_epoch").get<std::uint64_t>());
        item.set_wall_ms(row.at("wall_ms").get<std::int64_t>());
        item.set_provisional(row.at("provisional").get<bool>());
        for (const json &from : row.at("steps")) {
            wire::bill_step &step = *item.add_steps();
            step.set_target(from.at("target").get<std::string>());
            step.set_version(from.at("version").get<std::string>());
            step.set_endpoint(from.at("endpoint").get<std::string>());
            step.set_cost(from.at("cost").get<double>());
            step.mutable_usage()->set_prompt_tokens(from.at("prompt_tokens").get<std::uint64_t>());
            step.mutable_usage()->set_cached_tokens(from.at("cached_tokens").get<std::uint64_t>());
            step.mutable_usage()->set_generated_tokens(
                    from.at("generated_tokens").get<std::uint64_t>());
        }
        return item;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string laurelcroft::encodeClaim(const claim &item)
{
    const json row = {{"state", claimStates[static_cast<std::size_t>(item.state)]},
                      {"request_id", item.requestId},
                      {"customer", item.customer},
                      {"entry", item.entry},
                      {"operation", item.operationId},
                      {"body_sha256", item.bodySha256},
                      {"status", item.status},
                      {"content_type", item.contentType},
                      {"answer", item.answer},
                      {"model", item.model},
                      {"version", item.version}};
    return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<claim> laurelcroft::decodeClaim(std::string_view text)
{
    const json row = json::parse(text, nullptr, false);
    if (!row.is_object())
        return std::nullopt;
    claim item;
    const std::string state = row.value("state", "");
    for (std::size_t i = 0; i < claimStates.size(); ++i) {
        if (claimStates[i] == state)
            item.state = static_cast<claim_state>(i);
    }
    item.requestId = row.value("request_id", "");
    item.customer = row.value("customer", "");
    item.entry = row.value("entry", "");
    item.operationId = row.value("operation", "");
    item.bodySha256 = row.value("body_sha256", "");
    item.status = row.value("status", 0);
    item.contentType = row.value("content_type", "");
    item.answer = row.value("answer", "");
    item.model = row.value("model", "");
    item.version = row.value("version", "");
    return item;
}
