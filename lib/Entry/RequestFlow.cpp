//===-- RequestFlow.cpp - state of one request ----------------------------===//
//
// Values derived from the state of a request.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/RequestFlow.h"

#include "laurelcroft/Support/Crypto.h"

using namespace laurelcroft;

namespace {
constexpr std::size_t keyedIdDigits = 32;
}

std::vector<std::string> resolved_target::models() const
{
    if (foundCascade != nullptr)
        return foundCascade->tiers;
    if (foundModel != nullptr)
        return {foundModel->name};
    return {};
}

resolved_target laurelcroft::resolveTarget(const bundle &rules, std::string_view name)
{
    return {rules.findCascade(name), rules.findModel(name), rules.findService(name)};
}

std::string request_flow::tierTarget() const
{
    if (target.foundCascade != nullptr)
        return target.foundCascade->tiers[tier];
    return request.target;
}

std::string request_flow::tierVersion() const
{
    const auto it = session.item.pins.find(tierTarget());
    return it == session.item.pins.end() ? std::string() : it->second;
}

bool request_flow::onLastTier() const
{
    return target.foundCascade == nullptr || tier + 1 >= target.foundCascade->tiers.size();
}

wire::bill laurelcroft::makeBill(const request_flow &flow, std::string_view outcome)
{
    wire::bill bill;
    bill.set_request_id(flow.requestId);
    bill.set_customer(flow.customerName);
    bill.set_session(flow.session.item.id);
    bill.set_target(flow.request.target);
    bill.set_outcome(std::string(outcome));
    bill.set_bundle_epoch(flow.epoch());
    bill.set_wall_ms(wallMilliseconds());
    double cost = 0;
    for (const wire::bill_step &step : flow.steps) {
        *bill.add_steps() = step;
        cost += step.cost();
    }
    bill.set_cost(cost);
    return bill;
}

http_headers laurelcroft::errorHeaders(const request_flow &flow)
{
    return {{"X-Laurelcroft-Request-Id", flow.requestId},
            {"X-Laurelcroft-Bundle", std::to_string(flow.epoch())}};
}

http_headers laurelcroft::answerHeaders(const request_flow &flow)
{
    http_headers headers = errorHeaders(flow);
    if (!flow.target.foundService && !flow.session.item.pins.empty()) {
        headers.push_back({std::string(modelHeader), flow.tierTarget()});
        headers.push_back({std::string(versionHeader), flow.tierVersion()});
    }
    const std::string &shown
            = flow.session.token.empty() ? flow.request.session : flow.session.token;
    if (!shown.empty())
        headers.push_back({"X-Laurelcroft-Session", shown});
    return headers;
}

std::string laurelcroft::keyedRequestId(std::string_view customer, std::string_view idempotencyKey)
{
    const std::string text = std::string(customer) + "\n" + std::string(idempotencyKey);
    return "k" + sha256Hex(text).substr(0, keyedIdDigits);
}
