//===-- Attempt.cpp - refusal texts, costs, token rate ----------------------===//
//
// Functions of the data types in Attempt.h.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Agent/Attempt.h"

#include <algorithm>

using namespace laurelcroft;

namespace {
constexpr double smoothingFactor = 0.1;
constexpr double tokensPerPriceUnit = 1000.0;
/// Price of a cached prompt token relative to a computed one.
constexpr double cachedTokenPriceFactor = 0.1;
} // namespace

std::uint64_t laurelcroft::countEvents(std::string_view stream)
{
    constexpr std::string_view mark = "data: ";
    std::uint64_t count = 0;
    for (std::size_t at = stream.find(mark); at != std::string_view::npos;
         at = stream.find(mark, at + mark.size()))
        count += 1;
    return count;
}

std::string_view laurelcroft::textOf(wire::refusal refusal)
{
    switch (refusal) {
    case wire::refusal_none:
        return "admitted";
    case wire::refusal_draining:
        return "the endpoint is leaving";
    case wire::refusal_full:
        return "the endpoint is full";
    case wire::refusal_withdrawn:
        return "the version is withdrawn";
    case wire::refusal_not_allowed:
        return "the customer may not use it";
    case wire::refusal_not_loaded:
        return "the version is not loaded";
    case wire::refusal_behind:
        return "the agent does not know the epoch yet";
    case wire::refusal_incarnation:
        return "the offer was made to an earlier life";
    case wire::refusal_revoked:
        return "the offer was revoked";
    case wire::refusal_duplicate:
        return "the attempt is known already";
    case wire::refusal_no_bundle:
        return "the agent has no bundle yet";
    case wire::refusal_unknown_attempt:
        return "the attempt is not known";
    default:
        return "unknown";
    }
}

double laurelcroft::costOf(const bundle &rules, const wire::bill_step &step)
{
    if (const service *plain = rules.findService(step.target()))
        return plain->cost;
    const model *item = rules.findModel(step.target());
    if (item == nullptr)
        return 0;
    const wire::usage &used = step.usage();
    const auto cached = static_cast<double>(std::min(used.cached_tokens(), used.prompt_tokens()));
    const double prompt
            = static_cast<double>(used.prompt_tokens()) - cached * (1 - cachedTokenPriceFactor);
    const auto generated = static_cast<double>(used.generated_tokens());
    return (prompt * item->inputCost + generated * item->outputCost) / tokensPerPriceUnit;
}

void token_rate_meter::addSample(time_point, std::uint64_t tokens, duration took)
{
    const double elapsed = std::chrono::duration<double>(took).count();
    if (tokens == 0 || elapsed <= 0)
        return;
    const double speed = static_cast<double>(tokens) / elapsed;
    if (m_tokensPerSecond == 0)
        m_tokensPerSecond = speed;
    else
        m_tokensPerSecond += smoothingFactor * (speed - m_tokensPerSecond);
}
