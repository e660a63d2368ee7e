//===-- RateLimitTests.cpp - endpoints that state a rate limit --------------===//
//
// What arrives at an endpoint that states how much it takes from all entries together, before
// fleets of several sizes under load.
//
//===----------------------------------------------------------------------===//
#include "FleetFlows.h"
#include "FlowWorld.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

using namespace laurelcroft;

namespace {

constexpr unsigned endpoints = 12;
constexpr milliseconds work{150};
/// All entries together get a request this often: 5 a second an endpoint.
constexpr milliseconds between{16};
/// The users' rule: from so long after the first statement on, what arrives in any window is at
/// most so much of the limit, and a few requests.
constexpr milliseconds knownAfter{3000};
constexpr milliseconds window{4000};
constexpr double ofLimit = 1.5;
constexpr double beyondLimit = 5;
constexpr std::array<double, 3> limits = {1.5, 2.8, 0.4};

struct limit_world;

using fleet_flow = request_flow<fleet_environment<limit_world>>;

/// What an endpoint got, and what it states.
struct limited_endpoint
{
    std::optional<double> limit;
    std::vector<time_point> arrivals;
    unsigned running = 0;
};

struct limit_world
{
    fleet entries;
    service_route route = lookupRoute();
    std::map<std::string, limited_endpoint> played;
    time_point statedAt{};
    unsigned served = 0;
    unsigned refused = 0;
    std::vector<milliseconds> retryAfter; ///< as refused callers were told
    std::vector<std::shared_ptr<fleet_flow>> flows;

    /// \param count of the entries.
    explicit limit_world(std::size_t count)
    {
        route.objective = milliseconds(2000);
        entries.store.put("orders", "contract", "7");
        for (unsigned i = 0; i < endpoints; ++i) {
            const std::string id = "p" + std::to_string(i);
            played[id];
            entries.store.put("endpoints", id, "v1");
        }
        entries.start(0, count);
        entries.runtime.advance(seconds(5));
        for (fleet_entry &entry : entries.entries)
            useContract(entry);
    }

    void useContract(fleet_entry &entry) const
    {
        auto contract = std::make_shared<service_contract>();
        contract->version = 100;
        contract->routes.push_back(route);
        service_description pool;
        pool.name = "pool";
        contract->services.push_back(pool);
        entry.routing.setContract(contract);
    }

    manual_runtime &runtime() { return entries.runtime; }

    void called(const fleet_entry &, const proxy_attempt &attempt, call_events events)
    {
        limited_endpoint &endpoint = played.at(attempt.endpoint->record().id);
        endpoint.arrivals.push_back(runtime().now());
        ++endpoint.running;
        runtime().after(work, [&endpoint, events = std::move(events)] {
            proxy_answer answer;
            answer.load = {--endpoint.running, 0, 4};
            answer.status = 200;
            answer.signedByEndpoint = true;
            answer.rateLimit = endpoint.limit;
            events.onAnswer(std::move(answer));
            events.onEnd(call_end::complete);
        });
    }

    void replied(int status, const http_headers &headers)
    {
        ++(status == 200 ? served : refused);
        const std::string_view told = findHeader(headers, "Retry-After");
        if (!told.empty())
            retryAfter.push_back(milliseconds(std::lround(1000 * std::stod(std::string(told)))));
    }

    /// The first \p count endpoints state their limits from now on.
    void stateLimits(unsigned count)
    {
        statedAt = runtime().now();
        for (unsigned i = 0; i < count; ++i)
            played.at("p" + std::to_string(i)).limit = limits[i % limits.size()];
    }

    /// The entries take requests by turns for \p time.
    void play(duration time)
    {
        auto entry = entries.entries.begin();
        for (duration passed{0}; passed < time; passed += between) {
            runtime().advance(between);
            std::erase_if(flows, [](const auto &flow) { return flow->isDone(); });
            const fleet_environment<limit_world> environment{this, &*entry};
            flows.push_back(std::make_shared<fleet_flow>(environment, requestFor(route)));
            flows.back()->start();
            if (++entry == entries.entries.end())
                entry = entries.entries.begin();
        }
    }

    /// \returns the largest share of what a window may hold that came in any.
    double worstShare() const
    {
        double worst = 0;
        for (const auto &[id, endpoint] : played) {
            if (endpoint.limit)
                worst = std::max(worst, worstShare(endpoint));
        }
        return worst;
    }

    double worstShare(const limited_endpoint &endpoint) const
    {
        const std::vector<time_point> &times = endpoint.arrivals;
        const double seconds = std::chrono::duration<double>(window).count();
        const double allowed = ofLimit * *endpoint.limit * seconds + beyondLimit;
        std::ptrdiff_t most = 0;
        auto first = std::lower_bound(times.begin(), times.end(), statedAt + knownAfter);
        for (; first != times.end(); ++first)
            most = std::max(most, std::lower_bound(first, times.end(), *first + window) - first);
        return static_cast<double>(most) / allowed;
    }
};

} // namespace

TEST_CASE("entries together keep to the rate limit that an endpoint states")
{
    for (const std::size_t count : {3U, 12U, 40U}) {
        for (const unsigned limited : {endpoints / 2, endpoints}) {
            CAPTURE(count);
            CAPTURE(limited);
            limit_world world(count);
            world.play(seconds(3));
            world.stateLimits(limited);
            world.play(seconds(20));
            CHECK(world.worstShare() <= 1);
        }
    }
}

TEST_CASE("where all rate limits are used up, callers are told when to come back")
{
    limit_world world(3);
    world.stateLimits(endpoints);
    world.play(seconds(10));
    CHECK(world.refused > world.served);
    CHECK(world.retryAfter.size() == world.refused);
}
