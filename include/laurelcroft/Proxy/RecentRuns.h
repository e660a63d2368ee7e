//===-- Proxy/RecentRuns.h - recent requests of a crashed endpoint *- C++ -*-===//
//
// Lists what may have crashed an endpoint: the requests that it had recently started at this entry,
// and the parts that their prompts share.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_RECENTRUNS_H
#define LAURELCROFT_PROXY_RECENTRUNS_H

#include "laurelcroft/Policy/CrashSuspects.h"
#include "laurelcroft/Proxy/EndpointRuns.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace laurelcroft {

/// Maximum number of request keys in a log line: the requests of one entry in a full batch.
inline constexpr std::size_t maxKeysLogged = 16;

/// The distinct keys of the recent requests of an endpoint that exited, those of prompt parts
/// first, and a run of each at the same index.
struct recent_runs
{
    std::vector<recent_request> requests;
    std::vector<std::shared_ptr<endpoint_run>> runs;
    std::size_t requestCount = 0; ///< without prompt parts

    /// Adds a key, or keeps the later of two runs with the same key.
    void add(const recent_request &request, const std::shared_ptr<endpoint_run> &run);
};

/// Merges the runs with the same key.
/// \param at end time for runs that were not abandoned.
recent_runs recentRunsOf(std::span<const std::shared_ptr<endpoint_run>> runs, time_point at);

/// \returns the keys of \p requests as text.
std::string textOfRequests(std::span<const recent_request> requests);

/// \returns the keys of the prompt parts of \p runs, those in most runs first, with the numbers of
/// runs: "key:count,key:count".
std::string textOfParts(std::span<const std::shared_ptr<endpoint_run>> runs);

} // namespace laurelcroft

#endif
