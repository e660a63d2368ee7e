//===-- Load/OpenLoop.h - open-loop load over HTTP --------------*- C++ -*-===//
//
// Sends requests at random arrival times, drawn from a seed, that don't depend on the responses.
// Latency is measured from the intended send time, so that a stalled server can't hide the delay of
// later requests (no coordinated omission).
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LOAD_OPENLOOP_H
#define LAURELCROFT_LOAD_OPENLOOP_H

#include "laurelcroft/Support/Metrics.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laurelcroft {

/// Parameters of a load run. Both its duration and its number of requests are limited.
struct load_plan
{
    std::vector<std::string> urls; ///< base URLs of entries, or of engines to bypass the entries
    std::string key; ///< bearer token; no Authorization header if empty
    std::string model;
    bool stream = true;
    double requestsPerSecond = 100;
    double durationSeconds = 5;
    std::uint64_t maxRequests = 1000000;
    std::uint32_t outputTokens = 8;
    std::uint32_t promptBytes = 200;
    std::uint32_t sessions = 0; ///< number of distinct prompts; 0 gives each request a new prompt
    std::uint32_t threads = 2;
    std::uint64_t seed = 1;
};

/// Measurements of a load run.
struct load_result
{
    latency_histogram timeToFirstToken; ///< from the intended send time to the first response data
    latency_histogram totalLatency; ///< from the intended send time to the end of the response
    latency_histogram interTokenLatency; ///< between consecutive chunks of response data
    std::uint64_t sent = 0;
    std::uint64_t complete = 0;
    std::uint64_t tokens = 0;
    /// Counts by HTTP status or transport error. "unanswered" counts the requests that were still
    /// outstanding when the run ended.
    std::map<std::string, std::uint64_t> errors;
    double elapsedSeconds = 0; ///< duration of the run
};

/// Runs the load on `plan.threads` threads and merges their measurements.
load_result runLoad(const load_plan &plan);

} // namespace laurelcroft

#endif
