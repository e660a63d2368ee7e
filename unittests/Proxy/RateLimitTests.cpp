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
        entry.routing.setContract(contractFor(route, 100));
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
            const fleet_environment<limit_fixture> environment{{}, this, &*entry};
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
            limit_fixture fixture(count);
            fixture.simulate(seconds(3));
            fixture.stateLimits(limited);
            fixture.simulate(seconds(20));
            CHECK(fixture.worstShare() <= 1);
        }
    }
}

TEST_CASE("a stated rate limit is kept when all notices are lost")
{
    for (const std::size_t count : {3U, 12U}) {
        CAPTURE(count);
        limit_fixture fixture(count);
        fixture.losesNotices = true;
        fixture.simulate(seconds(3));
        fixture.stateLimits(endpoints / 2);
        fixture.simulate(seconds(40));
        CHECK(fixture.worstShare() <= 1);
    }
}

TEST_CASE("endpoints with a rate limit get at least half of it when demand is higher")
{
    for (const std::size_t count : {1U, 3U, 12U, 40U}) {
        CAPTURE(count);
        limit_fixture fixture(count);
        fixture.stateLimits(endpoints);
        fixture.simulate(seconds(33));
        CHECK(fixture.leastLimitUsed(seconds(30)) >= 0.5);
    }
}

TEST_CASE("all entries use an endpoint again after it has lifted its rate limit")
{
    for (const bool losesNotices : {false, true}) {
        CAPTURE(losesNotices);
        limit_fixture fixture(12);
        fixture.stateLimits(2);
        fixture.simulate(seconds(6));
        fixture.liftLimits();
        fixture.losesNotices = losesNotices;
        // Without notices, entries without a share of the limit learn this only from their own rate
        // limit checks.
        fixture.simulate(losesNotices ? seconds(60) : seconds(10));
        const time_point from = fixture.runtime().now();
        fixture.simulate(seconds(5));
        for (const char *id : {"p0", "p1"})
            CHECK(fixture.arrivedSince(id, from) >= 15);
    }
}

TEST_CASE("refusals have a Retry-After header when all rate limits are used up")
{
    limit_fixture fixture(3);
    fixture.stateLimits(endpoints);
    fixture.simulate(seconds(10));
    CHECK(fixture.refused > fixture.served);
    CHECK(fixture.retryAfter.size() == fixture.refused);
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
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    const auto &listed = fixture.routing.directory().all();
    listed.at("e1")->setRateLimit(0.5, fixture.runtime.now());
    listed.at("e1")->recordSend(fixture.runtime.now());
    startFlow(fixture, requestFor(lookupRoute()));
    REQUIRE(fixture.calls.size() == 1);
    CHECK(fixture.calls[0].attempt.endpoint->record().id == "e2");
    fixture.refuseNotRun(0);
    CHECK(fixture.calls.size() == 1);
    CHECK(fixture.status == 503);
    CHECK_FALSE(findHeader(fixture.headers, "Retry-After").empty());
}

TEST_CASE("a request is refused at once when the rate limits of all endpoints are used up")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    fixture.routing.directory().all().at("e1")->setRateLimit(0.5, fixture.runtime.now());
    startFlow(fixture, requestFor(lookupRoute()));
    CHECK(fixture.calls.size() == 1);
    fixture.runtime.advance(milliseconds(400));
    startFlow(fixture, requestFor(lookupRoute()));
    CHECK(fixture.status == 503);
    REQUIRE(fixture.record);
    CHECK(fixture.record->reason == flow_reason::limitedEndpoints);
    CHECK(std::stod(std::string(findHeader(fixture.headers, "Retry-After"))) == 1.6);
}

TEST_CASE("the only endpoint with capacity is found among many whose limits are used up")
{
    flow_fixture fixture(lookupRoute(), {});
    constexpr unsigned many = 300;
    for (unsigned i = 0; i < many; ++i)
        fixture.addEndpoint("e" + std::to_string(i));
    fixture.routing.setEntries({"other"}, "own");
    for (const auto &[id, endpoint] : fixture.routing.directory().all()) {
        if (id != "e123")
            endpoint->setRateLimit(1.5, fixture.runtime.now());
    }
    for (unsigned i = 0; i < 10; ++i) {
        startFlow(fixture, requestFor(lookupRoute()));
        REQUIRE(fixture.calls.size() == i + 1);
        CHECK(fixture.calls[i].attempt.endpoint->record().id == "e123");
    }
}

TEST_CASE("a resumed stream waits if a rate limit soon allows a request")
{
    flow_fixture fixture(draftRoute(), {"e1"});
    startFlow(fixture, requestFor(draftRoute()));
    REQUIRE(fixture.calls.size() == 1);
    fixture.answer(0, 200, 100);
    fixture.data(0, eventText(1));
    fixture.routing.directory().all().at("e1")->setRateLimit(1, fixture.runtime.now());
    fixture.runtime.advance(milliseconds(600));
    fixture.end(0, call_end::broken);
    CHECK(fixture.calls.size() == 1);
    CHECK_FALSE(fixture.aborted);
    fixture.runtime.advance(milliseconds(350));
    CHECK(fixture.calls.size() == 1);
    fixture.runtime.advance(milliseconds(100));
    CHECK(fixture.calls.size() == 2);
}
