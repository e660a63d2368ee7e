//===-- RetryWorld.h - entries that share a budget of repeats ---*- C++ -*-===//
//
// Entries with real flows before endpoints that refuse, fail or answer as a play says, callers
// that go to any entry, and series of kills, stops and joins, on a paused clock. What reached the
// endpoints is compared with the rule over every window.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_RETRYWORLD_H
#define LAURELCROFT_UNITTESTS_PROXY_RETRYWORLD_H

#include "../Policy/RepeatRule.h"
#include "FlowWorld.h"

#include "laurelcroft/Support/Random.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laurelcroft {

/// How an endpoint ends a request.
enum class request_outcome { answers, refuses, fails, breaks, hangs };

struct retry_world;

/// One life of an entry's process.
struct retry_entry
{
    std::string name;
    routing_state routing;
    std::vector<std::shared_ptr<void>> flows;
    bool takesRequests = true;
    bool isSuspended = false;
    std::vector<std::string> unread; ///< requests that came meanwhile
};

/// The environment of a flow at one entry.
struct retry_environment
{
    retry_world *world;
    retry_entry *entry;

    manual_runtime &runtime();
    routing_state &routing() { return entry->routing; }
    bool hasRoomAt(const endpoint_ptr &) { return true; }
    call_id call(proxy_attempt attempt, call_events events);
    void cancel(call_id) { }
    void reply(int status, const http_headers &headers, std::string_view);
    void begin(int, const http_headers &) { }
    void write(std::string_view) { }
    void end();
    void abort();
    void finished(const flow_record &) { }
    void escalated(const flow_record &, const std::string &) { }
    void sentFurther(const flow_record &, further_send) { }
    void attemptEnded(const flow_record &, attempt_end, next_step) { }
    void checkEnded(const endpoint_ptr &) { }
};

/// A deployment that is played.
struct retry_plan
{
    std::size_t entries = 3;
    double perSecond = 100; ///< requests of all callers
    double allowance = 52;
    unsigned endpoints = 18;
    milliseconds answerTime{2}; ///< of an endpoint
    milliseconds discoveryTime{300}; ///< from a start until all entries know of it
    bool storeAway = false; ///< entries that start learn of nobody, and nobody of them
    service_route route;
    std::uint64_t seed = 1;
};

/// Everything around the flows of all entries.
struct retry_world
{
    explicit retry_world(retry_plan plan);

    /// Lets callers ask for \p time.
    void play(milliseconds time);

    void kill(std::size_t index);
    /// Another process takes the place of entry \p index.
    void start(std::size_t index);
    /// One more entry joins.
    void join();
    /// Entry \p index takes no more requests, ends those that it has, and starts again at once.
    void restart(std::size_t index);
    /// Entry \p index reads nothing until it wakes; what has come by then is read at once.
    void suspend(std::size_t index);
    void resume(std::size_t index);
    /// All requests go to entry \p index from now on.
    void preferEntry(std::optional<std::size_t> index) { preferredEntry = index; }
    /// Entries that live tell each other of themselves, unless the store is away.
    void updateEntries();

    double worstShare() const { return rule.worstShare(requests, further); }
    std::size_t served() const { return statuses.count(200) ? statuses.at(200) : 0; }

    retry_plan plan;
    repeat_rule rule;
    manual_runtime runtime;
    random_source random;
    std::function<request_outcome(const std::string &endpoint)> endpointEnds
            = [](const std::string &) { return request_outcome::answers; };
    std::vector<std::unique_ptr<retry_entry>> entries; ///< null: not running
    std::optional<std::size_t> preferredEntry;
    std::vector<time_point> requests; ///< when callers sent them
    std::vector<time_point> further; ///< arrivals beyond the first of a request
    std::map<std::string, unsigned> arrivals; ///< by request
    std::map<int, std::size_t> statuses; ///< of answers; 0: broken off
    std::vector<double> retryAfter; ///< seconds, of refusals
    std::size_t lastRequest = 0;
    call_id lastCall = 0;

private:
    void setEntriesOfAll();
    void request();
    void take(retry_entry &entry, const std::string &id);
    void listEndpoints(routing_state &routing) const;
    std::vector<std::size_t> acceptingEntries() const;
};

using retry_flow = request_flow<retry_environment>;

} // namespace laurelcroft

#endif
