//===-- FlowTypes.cpp - names of request outcomes ---------------------------===//
//
// Maps each flow_reason to its name in logs, metrics and refusals.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/FlowTypes.h"

#include <array>
#include <utility>

using namespace laurelcroft;

std::string_view laurelcroft::textOf(flow_reason reason)
{
    static constexpr std::array<std::pair<flow_reason, std::string_view>, 23> names = {{
            {flow_reason::served, "served"},
            {flow_reason::endpointFailure, "endpoint_failure"},
            {flow_reason::noContract, "no_contract"},
            {flow_reason::noRoute, "no_route"},
            {flow_reason::unknownKey, "unknown_key"},
            {flow_reason::tooLarge, "too_large"},
            {flow_reason::noEndpoint, "no_endpoint"},
            {flow_reason::coldEndpoints, "cold_endpoints"},
            {flow_reason::limitedEndpoints, "limited_endpoints"},
            {flow_reason::backoffEndpoints, "backoff_endpoints"},
            {flow_reason::evacuated, "evacuated"},
            {flow_reason::withheld, "request_withheld"},
            {flow_reason::noRoom, "no_room"},
            {flow_reason::overShare, "over_share"},
            {flow_reason::outsideRegions, "outside_regions"},
            {flow_reason::refusedByEndpoints, "refused_by_endpoints"},
            {flow_reason::brokenAttempt, "broken_attempt"},
            {flow_reason::silentEndpoint, "silent_endpoint"},
            {flow_reason::timedOut, "timed_out"},
            {flow_reason::callerLeft, "caller_left"},
            {flow_reason::callerStalled, "caller_stalled"},
            {flow_reason::noMemory, "no_memory"},
            {flow_reason::stopping, "stopping"},
    }};
    for (const auto &[known, name] : names) {
        if (known == reason)
            return name;
    }
    return "unknown";
}
