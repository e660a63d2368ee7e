//===-- EndpointChoice.cpp - endpoint choice by reports -------------------===//
//
// Reports are delayed, so all entries see the same idle endpoint at the same time; choosing the
// better of two random endpoints avoids sending all requests to it at once.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/EndpointChoice.h"

#include <algorithm>
#include <array>

using namespace laurelcroft;

namespace {

constexpr double defaultTokensPerSecond = 50;
/// Cost of a prompt token relative to a generated token in a batching engine.
constexpr double prefillShare = 0.02;
constexpr double otherDataCentreMs = 3;
constexpr double typicalOutputTokens = 128;

} // namespace

std::string_view laurelcroft::textOf(choice_reason reason)
{
    switch (reason) {
    case choice_reason::onlyOne:
        return "only one endpoint can serve it";
    case choice_reason::lessExpectedWait:
        return "less expected wait";
    case choice_reason::prefixCached:
        return "holds the prefix in its cache";
    }
    return "unknown";
}

double laurelcroft::expectedWaitMs(const endpoint_view &endpoint, const work_estimate &work)
{
    const double rate
            = endpoint.tokensPerSecond > 0 ? endpoint.tokensPerSecond : defaultTokensPerSecond;
    const double slots = std::max(1.0, endpoint.slots);
    // This entry knows the number of its own running requests exactly; the report may be older.
    const double pending
            = std::max(endpoint.reportedPending + endpoint.sentSinceReport, endpoint.ownRunning);
    const double output = work.outputTokens > 0 ? work.outputTokens : typicalOutputTokens;
    const double serviceMs = 1000.0 * output / rate;
    const double excess = std::max(0.0, pending + 1.0 - slots);
    const double queueMs = excess / slots * serviceMs;
    // An engine slows down with its batch size even below its slots: prefer the emptier one.
    const double batchMs = 0.05 * serviceMs * std::min(1.0, pending / slots);
    const double prompt = endpoint.holdsPrefix ? 0.0 : work.promptTokens;
    const double prefillMs = 1000.0 * prefillShare * prompt / rate;
    const double linkMs = endpoint.sameDataCentre ? 0.0 : otherDataCentreMs;
    return queueMs + batchMs + prefillMs + linkMs;
}

std::optional<endpoint_choice> laurelcroft::chooseEndpoint(std::span<const endpoint_view> endpoints,
                                                           const work_estimate &work,
                                                           random_source &random)
{
    if (endpoints.empty())
        return std::nullopt;
    endpoint_choice choice;
    choice.considered = endpoints.size();
    if (endpoints.size() == 1) {
        choice.expectedMs = expectedWaitMs(endpoints[0], work);
        return choice;
    }
    const std::size_t first = random.index(endpoints.size());
    const std::size_t step = 1 + random.index(endpoints.size() - 1);
    const std::size_t second = (first + step) % endpoints.size();
    const double firstMs = expectedWaitMs(endpoints[first], work);
    const double secondMs = expectedWaitMs(endpoints[second], work);
    choice.index = firstMs <= secondMs ? first : second;
    choice.expectedMs = std::min(firstMs, secondMs);
    choice.reason = choice_reason::lessExpectedWait;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        if (!endpoints[i].holdsPrefix)
            continue;
        const double cachedMs = expectedWaitMs(endpoints[i], work);
        if (cachedMs > choice.expectedMs)
            continue;
        choice.index = i;
        choice.expectedMs = cachedMs;
        choice.reason = choice_reason::prefixCached;
    }
    return choice;
}
