//===-- RetryOutlookTests.cpp - no retries without a chance -----------------===//
//
// Guards against retries that cannot succeed. While all endpoints of a service refused requests
// within 2 ms, each request was sent to three of them until the retry budget was used up. Failures
// that a retry could have fixed then found no budget left.
//
//===----------------------------------------------------------------------===//
#include "RetryFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace laurelcroft;

namespace {

constexpr seconds before{5};
constexpr seconds outage{7};
constexpr milliseconds detectionTime{2000};

/// \returns the number of \p moments after \p from.
std::size_t countAfter(const std::vector<time_point> &moments, time_point from)
{
    return std::size_t(std::count_if(moments.begin(), moments.end(),
                                     [from](time_point at) { return at > from; }));
}

retry_plan lookupPlan(std::size_t entries)
{
    retry_plan plan;
    plan.entries = entries;
    plan.route = lookupRoute();
    plan.route.maxEndpoints = 3;
    return plan;
}

} // namespace

TEST_CASE("callers are refused at once with a Retry-After header when all endpoints refuse")
{
    for (const std::size_t entries : {3, 12}) {
        CAPTURE(entries);
        retry_fixture world(lookupPlan(entries));
        world.simulate(before);
        world.endpointEnds = [](const std::string &) { return request_outcome::refuses; };
        // An entry with a twelfth of 100 requests per second sees thirty failures in one to two
        // seconds.
        world.simulate(detectionTime);
        const time_point known = world.runtime.now();
        const std::size_t refusedBefore = world.retryAfter.size();
        world.simulate(outage - detectionTime);

        const double asked = double(countAfter(world.requests, known));
        CHECK(double(countAfter(world.retries, known)) <= 0.05 * asked);
        CHECK(double(world.retryAfter.size() - refusedBefore) >= 0.98 * asked);
        // The outage has lasted for seconds, so a retry after a quarter of a second would fail too.
        CHECK(world.retryAfter.back() >= 1.0);
        CHECK(world.retryAfter.back() <= 7.0);

        world.endpointEnds = [](const std::string &) { return request_outcome::answers; };
        const time_point over = world.runtime.now();
        const std::size_t servedBefore = world.served();
        world.simulate(seconds(2));
        CHECK(double(world.served() - servedBefore)
              >= 0.98 * double(countAfter(world.requests, over)));
    }
}

TEST_CASE("requests are retried within the budget while some endpoints answer")
{
    // Four of five endpoints refuse nine of ten requests, so that 0.28 of all attempts are
    // answered. The budget allows at least 0.7 retries per request.
    constexpr double answered = 0.28;
    constexpr double further = 0.7;
    retry_fixture world(lookupPlan(3));
    world.simulate(before);
    world.endpointEnds = [&](const std::string &endpoint) {
        const bool isSound = endpoint.back() % 5 == 0;
        return isSound || world.random.chance(0.1) ? request_outcome::answers
                                                   : request_outcome::refuses;
    };
    const time_point begin = world.runtime.now();
    const std::size_t servedBefore = world.served();
    world.simulate(seconds(10));
    const double asked = double(countAfter(world.requests, begin));
    CHECK(double(world.served() - servedBefore) >= 0.9 * answered * (1 + further) * asked);
}

TEST_CASE("a broken stream is resumed even if its service answers no other requests")
{
    flow_fixture world(draftRoute(), {"a", "b"});
    const auto flow = startFlow(world, requestFor(draftRoute()));
    world.answer(0, 200, 90);
    world.data(0, eventText(1));
    for (unsigned i = 0; i < failure_streak::failuresToGiveUp; ++i)
        world.routing.outlook("pool").failed(world.runtime.now());
    world.end(0, call_end::broken);
    CHECK(world.calls.size() == 2);
    CHECK(!world.aborted);
}
