//===-- Proxy/EndpointRuns.h - requests in flight by endpoint ----*- C++ -*-===//
//
// Tracks the requests that this entry has sent to each endpoint, to find those that may have
// crashed it. Some requests crash every endpoint shortly after it starts to process them, even if
// the entry has cancelled them in the meantime.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ENDPOINTRUNS_H
#define LAURELCROFT_PROXY_ENDPOINTRUNS_H

#include "laurelcroft/Policy/CrashSuspects.h"
#include "laurelcroft/Proxy/ProxyTypes.h"
#include "laurelcroft/Proxy/RequestKey.h"
#include "laurelcroft/Support/Runtime.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// One request sent to one endpoint.
struct endpoint_run
{
    std::shared_ptr<const proxy_request> request;
    std::string route;
    std::string customer;
    std::vector<request_key> partKeys; ///< of the shared parts of its prompt
    time_point sentAt{};
    std::optional<time_point> answerBeganAt; ///< the head; the first event of a stream
    std::optional<time_point> abandonedAt; ///< when this entry stopped waiting for it
    suspicion suspected = suspicion::none; ///< when it was sent
    bool isFinished = false; ///< the endpoint has answered it or never received it
};

/// The runs of one entry by endpoint.
class endpoint_runs
{
public:
    /// A run is no longer suspected this long after its answer began. In reported crashes, the
    /// endpoint exited 50 to 121 ms after it had begun the request, or after two events of a
    /// stream. Events are up to 0.3 s apart when batches are full.
    static constexpr milliseconds clearedAfter{1000};
    /// A cancelled run is suspected for this long, since the endpoint may still crash: up to 120 ms
    /// after the cancellation were observed.
    static constexpr milliseconds suspectAfterCancel{500};

    /// Records that \p request is sent to endpoint \p id.
    std::shared_ptr<endpoint_run> add(const std::string &id,
                                      std::shared_ptr<const proxy_request> request, time_point now);

    /// \returns the runs that may have crashed endpoint \p id at \p at: sent earlier, not finished,
    /// not cancelled long ago, and with an answer that began recently or not at all.
    std::vector<std::shared_ptr<endpoint_run>> findSuspects(std::string_view id,
                                                            time_point at) const;

    /// \returns true if endpoint \p id has a request in flight that was suspected at least as
    /// strongly as \p least.
    bool hasSuspectRun(std::string_view id, suspicion least) const;

    /// Removes all runs of endpoint \p id, which has exited.
    void forget(std::string_view id);

    /// Removes runs that are finished or were cancelled long ago.
    void sweep(time_point now);

private:
    using run_list = std::vector<std::shared_ptr<endpoint_run>>;
    std::map<std::string, run_list, std::less<>> m_runs; ///< by endpoint
};

} // namespace laurelcroft

#endif
