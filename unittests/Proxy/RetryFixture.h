//===-- RetryFixture.h - simulated entries with retries ----------*- C++ -*-===//
//
// Simulates entries with real request flows in front of endpoints that answer, refuse or fail as
// the test chooses. Callers send to any entry, and entries can be killed, stopped and added, on a
// manually advanced clock. The requests that reach the endpoints are checked against the retry
// bound in every window.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_RETRYFIXTURE_H
#define LAURELCROFT_UNITTESTS_PROXY_RETRYFIXTURE_H

#include "../Policy/RepeatRule.h"
#include "DefaultEnvironment.h"
#include "FlowFixture.h"

#include "laurelcroft/Support/Random.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laurelcroft {

/// How a simulated endpoint handles a request.
enum class request_outcome {
    answers,
    refuses,
    fails,
    breaks, ///< before the answer
    interrupts, ///< after the first event
    hangs
};

struct retry_fixture;

/// One process of an entry.
struct retry_entry
{
    std::string name;
    routing_state routing;
    std::vector<std::shared_ptr<void>> flows;
    bool takesRequests = true;
    bool isSuspended = false;
    std::vector<std::string> unread; ///< requests that arrived while it was suspended
};

/// Environment of a request flow at one entry.
struct retry_environment : default_environment
{
    retry_fixture *fixture;
    retry_entry *entry;

    manual_runtime &runtime();
    routing_state &routing() { return entry->routing; }
    call_id call(proxy_attempt attempt, call_events events);
    void reply(int status, const http_headers &headers, std::string_view);
    void end();
    void abort();
};

/// Parameters of a simulation.
struct retry_plan
{
    std::size_t entries = 3;
    double perSecond = 100; ///< request rate of all callers
    double allowance = 52; ///< retries allowed per window in addition to the ratio
    unsigned endpoints = 18;
    milliseconds answerTime{2}; ///< time until an endpoint answers
    milliseconds discoveryTime{300}; ///< time until all entries know a new one
    bool storeAway = false; ///< new entries and the others never learn of each other
    service_route route;
    std::uint64_t seed = 1;
};

/// The simulated fleet, endpoints and callers.
struct retry_fixture
{
    explicit retry_fixture(retry_plan plan);

    /// Simulates callers' requests for \p time.
    void simulate(milliseconds time);

    /// Kills the process of entry \p index. Its flows and state are lost.
    void kill(std::size_t index);
    /// Starts a new process for entry \p index if it is not running.
    void start(std::size_t index);
    /// Adds one more entry.
    void join();
    /// Drains entry \p index, then starts it again at once.
    void restart(std::size_t index);
    /// Suspends entry \p index until it is resumed. Requests that arrive meanwhile are read then.
    void suspend(std::size_t index);
    void resume(std::size_t index);
    /// Sends all requests to entry \p index from now on, if it is running.
    void preferEntry(std::optional<std::size_t> index) { preferredEntry = index; }
    /// Makes the running entries known to each other, unless the store is unavailable.
    void updateEntries();

    /// \returns the highest number of retries in any window, relative to the bound.
    double worstShare() const { return rule.worstShare(requests, retries); }
    std::size_t served() const { return statuses.count(200) ? statuses.at(200) : 0; }

    retry_plan plan;
    repeat_rule rule;
    manual_runtime runtime;
    random_source random;
    std::function<request_outcome(const std::string &endpoint)> endpointEnds
            = [](const std::string &) { return request_outcome::answers; };
    std::vector<std::unique_ptr<retry_entry>> entries; ///< null if not running
    std::optional<std::size_t> preferredEntry;
    std::vector<time_point> requests; ///< when callers sent them
    std::vector<time_point> retries; ///< arrivals of retries at endpoints
    std::map<std::string, unsigned> arrivals; ///< number of arrivals at endpoints by request
    std::map<int, std::size_t> statuses; ///< number of answers by status; 0: aborted
    std::vector<double> retryAfter; ///< Retry-After values of refusals, in seconds
    std::size_t lastRequest = 0;
    call_id lastCall = 0;

private:
    void setEntriesOfAll();
    void request();
    void take(retry_entry &entry, const std::string &id);
    void listEndpoints(routing_state &routing) const;
    void connectBorrowing(retry_entry &entry);
    /// Delivers a message to the running entry named \p name.
    void deliver(const std::string &name, std::function<void(retry_entry &)> action);
    std::vector<std::size_t> acceptingEntries() const;
};

using retry_flow = request_flow<retry_environment>;

} // namespace laurelcroft

#endif
