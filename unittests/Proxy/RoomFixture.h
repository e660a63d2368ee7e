//===-- RoomFixture.h - entries before endpoints with a queue ----*- C++ -*-===//
//
// Callers send at a fixed rate to entries with uneven shares of them. Endpoints of a plain service
// have slots and a queue by stated priority, and state their load. Runs on a manual clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_ROOMFIXTURE_H
#define LAURELCROFT_UNITTESTS_PROXY_ROOMFIXTURE_H

#include "FlowFixture.h"

#include "DefaultEnvironment.h"

#include "laurelcroft/Support/Random.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laurelcroft {

struct room_fixture;

/// A customer whose callers send requests, each of them once.
struct room_customer
{
    std::string name;
    int urgency = 5;
    double demand = 1; ///< requests relative to the room of all endpoints
};

struct room_plan
{
    std::size_t entries = 3;
    std::vector<room_customer> customers;
    std::size_t endpoints = 12;
    unsigned slots = 4;
    std::size_t queue = 24; ///< requests that wait at an endpoint; more are refused
    milliseconds workTime{100};
    unsigned promptTokens = 0; ///< of each request
    unsigned statedSlots = 0; ///< if not 0, stated instead of the slots
    bool storeAway = false; ///< the entries never learn of each other
    feature_mode admission = feature_mode::on;
    std::uint64_t seed = 1;
};

/// What became of one request.
struct room_outcome
{
    std::string customer;
    time_point arrivedAt{};
    int status = 0; ///< 0: no answer yet
    milliseconds time{0};
    double retryAfter = 0; ///< in seconds
    flow_record record;
};

/// A request at an endpoint.
struct room_work
{
    int priority = 0;
    call_events events;
};

struct room_endpoint
{
    std::string id;
    unsigned running = 0;
    std::multimap<int, room_work> queue; ///< by priority
};

struct room_entry
{
    explicit room_entry(const room_plan &plan, std::uint64_t seed);

    routing_state routing;
    std::vector<std::shared_ptr<void>> flows;
};

struct room_environment : default_environment
{
    room_fixture *fixture;
    room_entry *entry;
    std::size_t request; ///< index into the outcomes

    manual_runtime &runtime();
    routing_state &routing() { return entry->routing; }
    call_id call(const proxy_attempt &attempt, call_events events);
    void reply(int status, const http_headers &headers, std::string_view);
    void finished(const flow_record &record);
};

/// The simulated entries, endpoints and callers.
struct room_fixture
{
    explicit room_fixture(room_plan plan);

    /// Simulates callers' requests for \p time.
    void simulate(milliseconds time);
    /// Lets the requests in progress end, without new ones.
    void drain();
    /// Ends the process of an entry. Its flows and state are lost; no more requests reach it.
    void kill(std::size_t entry);
    /// Starts a new process for an entry.
    void start(std::size_t entry);

    /// \returns the time since the beginning.
    milliseconds elapsed() const { return std::chrono::ceil<milliseconds>(runtime.now() - begin); }
    /// \returns the share of the requests of \p customers that were answered within the objective.
    /// \param from time since the beginning.
    double inAim(const std::vector<std::string> &customers, milliseconds from) const;
    /// \returns the answers within the objective of all customers, relative to the room.
    double inAimOfRoom(milliseconds from) const;
    /// \returns the time within which 95% of the refused callers got their answer.
    milliseconds refusalTime() const;
    std::size_t countOf(const std::string &customer, int status) const;

    room_plan plan;
    service_route route;
    manual_runtime runtime;
    random_source random;
    time_point begin;
    time_point end; ///< of the callers' requests
    std::vector<std::unique_ptr<room_entry>> entries; ///< null if not running
    std::vector<room_endpoint> endpoints;
    /// Load that the endpoint with the index states instead of the true one.
    std::function<std::optional<endpoint_load>(std::size_t endpoint, const endpoint_load &load)>
            stated = [](std::size_t, const endpoint_load &load) { return load; };
    std::deque<room_outcome> outcomes;

private:
    friend room_environment;
    double roomPerSecond() const;
    unsigned statedSlots() const { return plan.statedSlots ? plan.statedSlots : plan.slots; }
    std::size_t pickEntry();
    void scheduleRequest(const room_customer &customer, time_point until);
    void request(const room_customer &customer);
    void arrive(std::size_t endpoint, room_work work);
    void runNext(std::size_t endpoint);
    void answer(std::size_t endpoint, const call_events &events, int status);
};

} // namespace laurelcroft

#endif
