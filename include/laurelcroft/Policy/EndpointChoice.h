//===-- Policy/EndpointChoice.h - endpoint choice by reports ----*- C++ -*-===//
//
// Computes the expected wait from the reported load plus the requests that this entry has sent
// since the report. Compares two random endpoints and every endpoint that has the session's prefix
// in its cache.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_ENDPOINTCHOICE_H
#define LAURELCROFT_POLICY_ENDPOINTCHOICE_H

#include "laurelcroft/Support/Random.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace laurelcroft {

/// The state of one endpoint as known to this entry.
struct endpoint_view
{
    std::string_view id;
    double reportedPending = 0; ///< running and queued requests, as last reported
    double sentSinceReport = 0; ///< sent by this entry, not in the report yet
    double ownRunning = 0; ///< requests sent by this entry that have not finished
    double slots = 1; ///< number of requests that run concurrently
    double tokensPerSecond = 0; ///< of one request; 0 if not known yet
    bool holdsPrefix = false; ///< it recently served this session's prefix
    bool sameDataCentre = true;
};

/// Estimated size of a request.
struct work_estimate
{
    double promptTokens = 0;
    double outputTokens = 0;
};

enum class choice_reason { onlyOne, lessExpectedWait, prefixCached };

std::string_view textOf(choice_reason reason);

struct endpoint_choice
{
    std::size_t index = 0;
    std::size_t considered = 0;
    double expectedMs = 0; ///< until the first token
    choice_reason reason = choice_reason::onlyOne;
};

/// \returns the expected time to the first token in milliseconds.
double expectedWaitMs(const endpoint_view &endpoint, const work_estimate &work);

/// Chooses among \p endpoints, all of which can serve the request.
/// \returns nothing if there are none.
std::optional<endpoint_choice> chooseEndpoint(std::span<const endpoint_view> endpoints,
                                              const work_estimate &work, random_source &random);

} // namespace laurelcroft

#endif
