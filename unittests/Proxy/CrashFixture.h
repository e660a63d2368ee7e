//===-- CrashFixture.h - simulated crashing requests -------------*- C++ -*-===//
//
// A fleet of entries with real request flows in front of endpoints that crash shortly after they
// begin to run certain requests, on a manually advanced clock. Callers send to any entry. Entries
// exchange notices and borrow further sends by datagrams, of which some are lost.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_CRASHFIXTURE_H
#define LAURELCROFT_UNITTESTS_PROXY_CRASHFIXTURE_H

#include "DefaultEnvironment.h"
#include "EntryFleet.h"
#include "FlowFixture.h"

#include "laurelcroft/Proxy/NoticeChannel.h"
#include "laurelcroft/Support/Random.h"
#include "laurelcroft/Support/TokenBucket.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace laurelcroft {

struct crash_fixture;

/// Environment of a request flow at one entry of a fleet.
struct crash_environment : default_environment
{
    crash_fixture *fixture;
    fleet_entry *entry;
    std::string who; ///< kind of caller whose outcomes are counted

    manual_runtime &runtime();
    routing_state &routing() { return entry->routing; }
    call_id call(proxy_attempt attempt, call_events events);
    void cancel(call_id call);
    void reply(int status, const http_headers &, std::string_view) { ended(status); }
    void end() { ended(http_status::ok); }
    void abort() { ended(0); }
    void ended(int status);
    void finished(const flow_record &record);
    void checkEnded(const endpoint_ptr &endpoint);
};

using crash_flow = request_flow<crash_environment>;

/// Outcomes of the requests of one kind of caller.
struct caller_outcomes
{
    unsigned served = 0;
    unsigned other = 0;
    unsigned withheld = 0; ///< refused because the request is withheld

    double share() const { return served / std::max(1.0, double(served) + other); }
};

/// A fleet of entries with simulated endpoints and callers.
struct crash_fixture
{
    struct endpoint_call
    {
        std::string endpoint;
        call_events events;
    };

    explicit crash_fixture(std::size_t entryCount, std::uint64_t seed = 1);

    /// Puts a contract with \c route in force at \p entry.
    void useContract(fleet_entry &entry) const;

    /// Sends a notice to as many entries and within the same byte rate as in production. Loses some
    /// of the datagrams.
    template <class Notice>
    void sendNotice(const fleet_entry &from, const Notice &notice, std::size_t size, bool isUrgent)
    {
        token_bucket &bytes = budgets.try_emplace(from.name, notice_channel::findingBytesPerSecond,
                                                  notice_channel::findingBurstBytes)
                                      .first->second;
        const double cost = double(size) + 28;
        const double reserve = isUrgent ? 0 : notice_channel::findingBurstBytes / 2;
        std::vector<fleet_entry *> others;
        for (fleet_entry &entry : entries.entries) {
            if (&entry != &from)
                others.push_back(&entry);
        }
        for (std::size_t i = 0; i < notice_channel::maxRecipients && !others.empty(); ++i) {
            if (!bytes.refillAndCheck(cost + reserve, entries.runtime.now()))
                return;
            bytes.consume(cost);
            const std::size_t index = random.index(others.size());
            fleet_entry *to = others[index];
            others.erase(others.begin() + std::ptrdiff_t(index));
            if (!random.chance(lostDatagrams))
                later(networkDelay, [this, to, notice] {
                    to->routing.crashes().applyNotice(notice, entries.runtime.now());
                });
        }
    }

    /// Connects \p entry to the others by datagrams.
    void link(fleet_entry &entry);

    /// Delivers a datagram to the entry named \p name, unless it is lost.
    void sendTo(const std::string &name, std::function<void(fleet_entry &)> deliver);

    /// Starts an endpoint with a new id.
    void startEndpoint();

    /// Writes the row of endpoint \p id now and at intervals, while it runs.
    void sendHeartbeat(const std::string &id);

    /// Ends an endpoint's process. It is restarted later with another id.
    void endEndpoint(std::string id);

    /// Notifies \p entry that its idle connections to endpoint \p id were closed.
    void idleClosed(fleet_entry &entry, const std::string &id);

    /// Ends call \p number, unless it has ended or was cancelled.
    void endCall(call_id number, call_end how);

    template <class Action>
    void later(milliseconds delay, Action action)
    {
        entries.runtime.after(delay, std::move(action));
    }

    /// Makes endpoint \p id begin to run the request of call \p number.
    /// \param crashes if true, the endpoint crashes shortly afterwards.
    void begins(call_id number, const std::string &id, bool crashes);

    /// Sends a request to a random entry.
    /// \param body request body. Bodies that start with \c crasher crash endpoints.
    void request(const std::string &who, const std::string &body);

    /// Simulates callers: ordinary requests with distinct bodies all the time, and a crashing
    /// request every \p crashPause.
    void simulate(milliseconds time, milliseconds crashPause);

    /// \returns how often crashing requests reached endpoints later than allowed after crash number
    /// \p crash.
    unsigned laterArrivals(std::size_t crash = 3) const;

    static constexpr const char *crasher = "crasher";
    static bool endsEndpoints(const std::string &body) { return body.starts_with(crasher); }

    fleet entries;
    random_source random;
    double lostDatagrams = 0.02;
    milliseconds unrelatedCrashInterval{0}; ///< interval of crashes without a cause; 0: never
    milliseconds popularRequestInterval{0}; ///< interval of requests with the same body; 0: never
    std::map<std::string, token_bucket> budgets; ///< byte budgets by entry
    unsigned crashers = 1; ///< number of different crashing requests, sent in turn
    std::vector<prompt_part> crasherParts; ///< shared parts of the crashing requests' prompts
    std::vector<prompt_part> othersParts; ///< shared parts of all other requests' prompts
    service_route route = draftRoute();
    std::string version = "v1"; ///< software version of new endpoints
    std::set<std::string> alive; ///< running endpoints
    std::map<call_id, endpoint_call> calls;
    std::map<call_id, unsigned> firstEvents;
    std::map<std::string, std::set<fleet_entry *>> users; ///< entries that used each endpoint
    std::vector<time_point> arrivals; ///< of crashing requests at endpoints
    std::vector<time_point> endedAt; ///< times of the crashes that they caused
    std::map<std::string, caller_outcomes> outcomes;
    std::vector<std::shared_ptr<crash_flow>> flows;
    unsigned lastEndpoint = 0;
    unsigned lastRequest = 0;
    unsigned lastCrasher = 0;
    call_id lastCall = 0;
};

} // namespace laurelcroft

#endif
