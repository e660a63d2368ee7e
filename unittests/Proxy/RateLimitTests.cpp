//===-- RateLimitTests.cpp - endpoints that state a rate limit --------------===//
//
// Checks the request rate at endpoints that state a limit for all entries together, and the answers
// that callers get, for fleets of several sizes under load.
//
//===----------------------------------------------------------------------===//
#include "FleetFlows.h"
#include "FlowFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

using namespace laurelcroft;

namespace {

constexpr unsigned endpoints = 12;
constexpr milliseconds serviceTime{150}; ///< time until an endpoint answers
/// Time between requests over all entries: about 5 per second for each endpoint.
constexpr milliseconds requestInterval{16};
/// The required bound: once \c knownAfter has passed since the first statement, any \c window has
/// at most \c limitFactor times the limit plus \c extraRequests requests.
constexpr milliseconds knownAfter{3000};
constexpr milliseconds window{4000};
constexpr double limitFactor = 1.5;
constexpr double extraRequests = 5;
constexpr std::array<double, 3> limits = {1.5, 2.8, 0.4};
/// Number of entries that one entry sends each notice to, as in production.
constexpr std::size_t listeners = 12;

struct limit_fixture;

using fleet_flow = request_flow<fleet_environment<limit_fixture>>;

/// A simulated endpoint: the limit that it states and the requests that it received.
struct limited_endpoint
{
    std::optional<double> limit;
    std::vector<time_point> arrivals;
    unsigned running = 0;
};

/// A simulated fleet in front of endpoints that may state rate limits.
struct limit_fixture
{
    fleet entries;
    service_route route = lookupRoute();
    std::map<std::string, limited_endpoint> simulated;
    time_point statedAt{};
    unsigned served = 0;
    unsigned refused = 0;
    std::vector<milliseconds> retryAfter; ///< Retry-After values of refusals
    std::vector<std::shared_ptr<fleet_flow>> flows;
    bool losesNotices = false;
    std::size_t nextListener = 0;

    /// \param count number of entries.
    explicit limit_fixture(std::size_t count)
    {
        route.objective = milliseconds(2000);
        entries.store.put("orders", "contract", "7");
        for (unsigned i = 0; i < endpoints; ++i) {
            const std::string id = "p" + std::to_string(i);
            simulated[id];
            entries.store.put("endpoints", id, "v1");
        }
        entries.start(0, count);
        entries.runtime.advance(seconds(5));
        for (fleet_entry &entry : entries.entries) {
            useContract(entry);
            entry.routing.rateLimits().setListener(
                    [this, &entry](const rate_limit_notice &notice) { sendNotice(entry, notice); });
        }
    }

    /// Sends a notice to the next entries in turn.
    void sendNotice(const fleet_entry &from, const rate_limit_notice &notice)
    {
        const std::size_t told = std::min(listeners, entries.entries.size() - 1);
        for (std::size_t i = 0; i < told && !losesNotices; ++i) {
            fleet_entry *to = nullptr;
            while (!to || to == &from)
                to = &*std::next(
                        entries.entries.begin(),
                        static_cast<std::ptrdiff_t>(nextListener++ % entries.entries.size()));
            runtime().after(networkDelay, [this, to, notice] {
                to->routing.noteRateLimitElsewhere(notice, runtime().now());
            });
        }
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

    void onCall(const fleet_entry &, const proxy_attempt &attempt, call_events events)
    {
        limited_endpoint &endpoint = simulated.at(attempt.endpoint->record().id);
        endpoint.arrivals.push_back(runtime().now());
        ++endpoint.running;
        runtime().after(serviceTime, [&endpoint, events = std::move(events)] {
            proxy_answer answer;
            answer.load = {--endpoint.running, 0, 4};
            answer.status = 200;
            answer.signedByEndpoint = true;
            answer.rateLimit = endpoint.limit;
            events.onAnswer(std::move(answer));
            events.onEnd(call_end::complete);
        });
    }

    void onReply(int status, const http_headers &headers)
    {
        ++(status == 200 ? served : refused);
        const std::string_view value = findHeader(headers, "Retry-After");
        if (!value.empty())
            retryAfter.push_back(milliseconds(std::lround(1000 * std::stod(std::string(value)))));
    }

    /// Makes the first \p count endpoints state a limit from now on.
    void stateLimits(unsigned count)
    {
        statedAt = runtime().now();
        for (unsigned i = 0; i < count; ++i)
            simulated.at("p" + std::to_string(i)).limit = limits[i % limits.size()];
    }

    /// Sends requests to the entries in turn for \p time.
    void simulate(duration time)
    {
        auto entry = entries.entries.begin();
        for (duration passed{0}; passed < time; passed += requestInterval) {
            runtime().advance(requestInterval);
            std::erase_if(flows, [](const auto &flow) { return flow->isDone(); });
            const fleet_environment<limit_fixture> environment{this, &*entry};
            flows.push_back(std::make_shared<fleet_flow>(environment, requestFor(route)));
            flows.back()->start();
            if (++entry == entries.entries.end())
                entry = entries.entries.begin();
        }
    }

    void liftLimits()
    {
        for (auto &[id, endpoint] : simulated)
            endpoint.limit.reset();
    }

    /// \returns the number of requests that reached endpoint \p id since \p from.
    std::size_t arrivedSince(const std::string &id, time_point from) const
    {
        const std::vector<time_point> &times = simulated.at(id).arrivals;
        return static_cast<std::size_t>(times.end()
                                        - std::lower_bound(times.begin(), times.end(), from));
    }

    /// \returns the smallest fraction of its limit that any endpoint received in the last \p time.
    double leastLimitUsed(std::chrono::duration<double> time)
    {
        double least = 1;
        for (const auto &[id, endpoint] : simulated) {
            if (!endpoint.limit)
                continue;
            const time_point from = runtime().now() - std::chrono::duration_cast<duration>(time);
            const auto arrived = static_cast<double>(arrivedSince(id, from));
            least = std::min(least, arrived / (*endpoint.limit * time.count()));
        }
        return least;
    }

    /// \returns the highest number of requests in any window, relative to the allowed number.
    double worstShare() const
    {
        double worst = 0;
        for (const auto &[id, endpoint] : simulated) {
            if (endpoint.limit)
                worst = std::max(worst, worstShare(endpoint));
        }
        return worst;
    }

    double worstShare(const limited_endpoint &endpoint) const
    {
        const std::vector<time_point> &times = endpoint.arrivals;
        const double seconds = std::chrono::duration<double>(window).count();
        const double allowed = limitFactor * *endpoint.limit * seconds + extraRequests;
        std::ptrdiff_t most = 0;
        auto first = std::lower_bound(times.begin(), times.end(), statedAt + knownAfter);
        for (; first != times.end(); ++first)
            most = std::max(most, std::lower_bound(first, times.end(), *first + window) - first);
        return static_cast<double>(most) / allowed;
    }
};

} // namespace

TEST_CASE("all entries together keep to the rate limit that an endpoint states")
{
    for (const std::size_t count : {3U, 12U, 40U}) {
        for (const unsigned limited : {endpoints / 2, endpoints}) {
            CAPTURE(count);
            CAPTURE(limited);
            limit_fixture world(count);
            world.simulate(seconds(3));
            world.stateLimits(limited);
            world.simulate(seconds(20));
            CHECK(world.worstShare() <= 1);
        }
    }
}

TEST_CASE("a stated rate limit is kept when all notices are lost")
{
    for (const std::size_t count : {3U, 12U}) {
        CAPTURE(count);
        limit_fixture world(count);
        world.losesNotices = true;
        world.simulate(seconds(3));
        world.stateLimits(endpoints / 2);
        world.simulate(seconds(40));
        CHECK(world.worstShare() <= 1);
    }
}

TEST_CASE("endpoints with a rate limit get at least half of it when demand is higher")
{
    for (const std::size_t count : {1U, 3U, 12U, 40U}) {
        CAPTURE(count);
        limit_fixture world(count);
        world.stateLimits(endpoints);
        world.simulate(seconds(33));
        CHECK(world.leastLimitUsed(seconds(30)) >= 0.5);
    }
}

TEST_CASE("all entries use an endpoint again after it has lifted its rate limit")
{
    for (const bool losesNotices : {false, true}) {
        CAPTURE(losesNotices);
        limit_fixture world(12);
        world.stateLimits(2);
        world.simulate(seconds(6));
        world.liftLimits();
        world.losesNotices = losesNotices;
        // Without notices, entries without a share of the limit learn this only from their own rate
        // limit checks.
        world.simulate(losesNotices ? seconds(60) : seconds(10));
        const time_point from = world.runtime().now();
        world.simulate(seconds(5));
        for (const char *id : {"p0", "p1"})
            CHECK(world.arrivedSince(id, from) >= 15);
    }
}

TEST_CASE("refusals have a Retry-After header when all rate limits are used up")
{
    limit_fixture world(3);
    world.stateLimits(endpoints);
    world.simulate(seconds(10));
    CHECK(world.refused > world.served);
    CHECK(world.retryAfter.size() == world.refused);
}

TEST_CASE("entries in an endpoint's data centre share its rate limit, or all if none is there")
{
    const auto shareIn = [](const std::string &dataCentre, const std::string &own) {
        routing_state routing({}, {}, 1);
        routing.setEntries({"a", "b", "c"}, own, {{"a", "east"}, {"b", "west"}, {"c", "west"}});
        endpoint_record record;
        record.id = "e1";
        record.dataCentre = dataCentre;
        service_endpoint endpoint(record);
        endpoint.setRateLimit(1.5, time_point(seconds(1)));
        return routing.limitShare(endpoint);
    };
    CHECK(shareIn("east", "a") == 1.5);
    CHECK(shareIn("east", "b") == 0);
    CHECK(shareIn("west", "a") == 0);
    CHECK(shareIn("west", "c") == 0.75);
    CHECK(shareIn("north", "a") == 0.5);
}

TEST_CASE("a retry keeps to the rate limit and is refused at once if it is used up")
{
    flow_fixture world(lookupRoute(), {"e1", "e2"});
    const auto &listed = world.routing.directory().all();
    listed.at("e1")->setRateLimit(0.5, world.runtime.now());
    listed.at("e1")->recordSend(world.runtime.now());
    startFlow(world, requestFor(lookupRoute()));
    REQUIRE(world.calls.size() == 1);
    CHECK(world.calls[0].attempt.endpoint->record().id == "e2");
    world.refuseNotRun(0);
    CHECK(world.calls.size() == 1);
    CHECK(world.status == 503);
    CHECK_FALSE(findHeader(world.headers, "Retry-After").empty());
}

TEST_CASE("a request is refused at once when the rate limits of all endpoints are used up")
{
    flow_fixture world(lookupRoute(), {"e1"});
    world.routing.directory().all().at("e1")->setRateLimit(0.5, world.runtime.now());
    startFlow(world, requestFor(lookupRoute()));
    CHECK(world.calls.size() == 1);
    world.runtime.advance(milliseconds(400));
    startFlow(world, requestFor(lookupRoute()));
    CHECK(world.status == 503);
    REQUIRE(world.record);
    CHECK(world.record->reason == flow_reason::limitedEndpoints);
    CHECK(std::stod(std::string(findHeader(world.headers, "Retry-After"))) == 1.6);
}

TEST_CASE("the only endpoint with capacity is found among many whose limits are used up")
{
    flow_fixture world(lookupRoute(), {});
    constexpr unsigned many = 300;
    for (unsigned i = 0; i < many; ++i)
        world.addEndpoint("e" + std::to_string(i));
    world.routing.setEntries({"other"}, "own");
    for (const auto &[id, endpoint] : world.routing.directory().all()) {
        if (id != "e123")
            endpoint->setRateLimit(1.5, world.runtime.now());
    }
    for (unsigned i = 0; i < 10; ++i) {
        startFlow(world, requestFor(lookupRoute()));
        REQUIRE(world.calls.size() == i + 1);
        CHECK(world.calls[i].attempt.endpoint->record().id == "e123");
    }
}

TEST_CASE("a resumed stream waits if a rate limit soon allows a request")
{
    flow_fixture world(draftRoute(), {"e1"});
    startFlow(world, requestFor(draftRoute()));
    REQUIRE(world.calls.size() == 1);
    world.answer(0, 200, 100);
    world.data(0, eventText(1));
    world.routing.directory().all().at("e1")->setRateLimit(1, world.runtime.now());
    world.runtime.advance(milliseconds(600));
    world.end(0, call_end::broken);
    CHECK(world.calls.size() == 1);
    CHECK_FALSE(world.aborted);
    world.runtime.advance(milliseconds(350));
    CHECK(world.calls.size() == 1);
    world.runtime.advance(milliseconds(100));
    CHECK(world.calls.size() == 2);
}
