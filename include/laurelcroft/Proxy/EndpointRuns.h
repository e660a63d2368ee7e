//===-- Proxy/EndpointRuns.h - what endpoints were working on ----*- C++ -*-===//
//
// Which requests of this entry an endpoint had when it ended. Some requests end whoever begins to
// run them, a moment after the beginning, also when this entry has cut the run meanwhile.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ENDPOINTRUNS_H
#define LAURELCROFT_PROXY_ENDPOINTRUNS_H

#include "laurelcroft/Policy/CrashSuspects.h"
#include "laurelcroft/Proxy/ProxyTypes.h"
#include "laurelcroft/Support/Runtime.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// One request at one endpoint.
struct endpoint_run
{
    std::shared_ptr<const proxy_request> request;
    std::string route;
    std::string customer;
    time_point sentAt{};
    std::optional<time_point> answerBeganAt; ///< the first of its answer came
    std::optional<time_point> abandonedAt; ///< this entry waits for it no more
    suspicion suspected = suspicion::none; ///< at its send
    bool isFinished = false; ///< the endpoint has answered it, or has never had it
};

/// The runs of one entry, by endpoint.
class endpoint_runs
{
public:
    /// A run that has lasted this long since its first sign has not ended its endpoint. Endpoints
    /// that were ended by a request did so 50 to 121 ms after they had begun it (users' record), or
    /// after two events of a stream, which are up to 0.3 s apart where batches are full.
    static constexpr milliseconds clearedAfter{1000};
    /// An endpoint may end this long after this entry cut the run that ends it: 120 ms were seen.
    static constexpr milliseconds suspectAfterCancel{500};

    /// \p request is sent to the endpoint \p id.
    std::shared_ptr<endpoint_run> add(const std::string &id,
                                      std::shared_ptr<const proxy_request> request, time_point now);

    /// \returns the runs that may have ended the endpoint \p id at \p at: sent before, not over,
    /// not cut long before, and young.
    std::vector<std::shared_ptr<endpoint_run>> findSuspects(std::string_view id,
                                                            time_point at) const;

    /// \returns true when a request that was suspected at least as much is under way at \p id.
    bool hasSuspectRun(std::string_view id, suspicion least) const;

    /// Forgets the endpoint \p id, which has ended.
    void forget(std::string_view id);

    /// Drops what can't be suspected any more.
    void sweep(time_point now);

private:
    using run_list = std::vector<std::shared_ptr<endpoint_run>>;
    std::map<std::string, run_list, std::less<>> m_runs; ///< by endpoint
};

} // namespace laurelcroft

#endif
