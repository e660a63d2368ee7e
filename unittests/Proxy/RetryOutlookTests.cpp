//===-- RetryOutlookTests.cpp - no repeat is made in vain -----------------===//
//
// What users saw: while all endpoints of a service refused within 2 ms, each request was sent to
// three of them, until the budget of repeats was used up: none of these sends could bring an
// answer, and failures that a repeat would have mended found no budget left.
//
//===----------------------------------------------------------------------===//
#include "RetryWorld.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace laurelcroft;

namespace {

constexpr seconds before{5};
constexpr seconds outage{7};
constexpr milliseconds detectionTime{2000};

/// \returns how many of \p moments lie after \p from.
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
    plan.route.mostEndpoints = 3;
    return plan;
}

} // namespace

TEST_CASE("where all endpoints refuse, callers are refused at once and told when to come back")
{
    for (const std::size_t entries : {3, 12}) {
        CAPTURE(entries);
        retry_world world(lookupPlan(entries));
        world.play(before);
        world.endpointEnds = [](const std::string &) { return request_outcome::refuses; };
        // An entry with a twelfth of 100 requests a second sees thirty failures in one to two.
        world.play(detectionTime);
        const time_point known = world.runtime.now();
        const std::size_t refusedBefore = world.retryAfter.size();
        world.play(outage - detectionTime);

        const double asked = double(countAfter(world.requests, known));
        CHECK(double(countAfter(world.further, known)) <= 0.05 * asked);
        CHECK(double(world.retryAfter.size() - refusedBefore) >= 0.98 * asked);
        // It has lasted for seconds: to come back in a quarter of one would be in vain.
        CHECK(world.retryAfter.back() >= 1.0);
        CHECK(world.retryAfter.back() <= 7.0);

        world.endpointEnds = [](const std::string &) { return request_outcome::answers; };
        const time_point over = world.runtime.now();
        const std::size_t servedBefore = world.served();
        world.play(seconds(2));
        CHECK(double(world.served() - servedBefore)
              >= 0.98 * double(countAfter(world.requests, over)));
    }
}

TEST_CASE("where some endpoints answer, repeats go on as far as the budget allows")
{
    // Four of five endpoints refuse nine of ten requests: an attempt is answered in 0.28 of all
    // cases, and the budget allows at least 0.7 further attempts a request.
    constexpr double answered = 0.28;
    constexpr double further = 0.7;
    retry_world world(lookupPlan(3));
    world.play(before);
    world.endpointEnds = [&](const std::string &endpoint) {
        const bool isSound = endpoint.back() % 5 == 0;
        return isSound || world.random.chance(0.1) ? request_outcome::answers
                                                   : request_outcome::refuses;
    };
    const time_point begin = world.runtime.now();
    const std::size_t servedBefore = world.served();
    world.play(seconds(10));
    const double asked = double(countAfter(world.requests, begin));
    CHECK(double(world.served() - servedBefore) >= 0.9 * answered * (1 + further) * asked);
}

TEST_CASE("a stream that has begun goes on although its service answers nobody")
{
    flow_world world(draftRoute(), {"a", "b"});
    const auto flow = startFlow(world, requestFor(draftRoute()));
    world.answer(0, 200, 90);
    world.data(0, eventText(1));
    for (unsigned i = 0; i < repeat_outlook::hopelessAfter; ++i)
        world.routing.outlook("pool").failed(world.runtime.now());
    world.end(0, call_end::broken);
    CHECK(world.calls.size() == 2);
    CHECK(!world.aborted);
}
