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
        retry_fixture fixture(lookupPlan(entries));
        fixture.simulate(before);
        fixture.endpointEnds = [](const std::string &) { return request_outcome::refuses; };
        // An entry with a twelfth of 100 requests per second sees thirty failures in one to two
        // seconds.
        fixture.simulate(detectionTime);
        const time_point known = fixture.runtime.now();
        const std::size_t refusedBefore = fixture.retryAfter.size();
        fixture.simulate(outage - detectionTime);

        const double asked = double(countAfter(fixture.requests, known));
        CHECK(double(countAfter(fixture.retries, known)) <= 0.05 * asked);
        CHECK(double(fixture.retryAfter.size() - refusedBefore) >= 0.98 * asked);
        // The outage has lasted for seconds, so a retry after a quarter of a second would fail too.
        CHECK(fixture.retryAfter.back() >= 1.0);
        CHECK(fixture.retryAfter.back() <= 7.0);

        fixture.endpointEnds = [](const std::string &) { return request_outcome::answers; };
        const time_point over = fixture.runtime.now();
        const std::size_t servedBefore = fixture.served();
        fixture.simulate(seconds(2));
        CHECK(double(fixture.served() - servedBefore)
              >= 0.98 * double(countAfter(fixture.requests, over)));
    }
}

TEST_CASE("requests are retried within the budget while some endpoints answer")
{
    // Four of five endpoints refuse nine of ten requests, so that 0.28 of all attempts are
    // answered. The budget allows at least 0.7 retries per request.
    constexpr double answered = 0.28;
    constexpr double further = 0.7;
    retry_fixture fixture(lookupPlan(3));
    fixture.simulate(before);
    fixture.endpointEnds = [&](const std::string &endpoint) {
        const bool isSound = endpoint.back() % 5 == 0;
        return isSound || fixture.random.chance(0.1) ? request_outcome::answers
                                                     : request_outcome::refuses;
    };
    const time_point begin = fixture.runtime.now();
    const std::size_t servedBefore = fixture.served();
    fixture.simulate(seconds(10));
    const double asked = double(countAfter(fixture.requests, begin));
    CHECK(double(fixture.served() - servedBefore) >= 0.9 * answered * (1 + further) * asked);
}

TEST_CASE("a broken stream is resumed even if its service answers no other requests")
{
    flow_fixture fixture(draftRoute(), {"a", "b"});
    const auto flow = startFlow(fixture, requestFor(draftRoute()));
    fixture.answer(0, 200, 90);
    fixture.data(0, eventText(1));
    for (unsigned i = 0; i < failure_streak::failuresToGiveUp; ++i)
        fixture.routing.outlook("pool").failed(fixture.runtime.now());
    fixture.end(0, call_end::broken);
    CHECK(fixture.calls.size() == 2);
    CHECK(!fixture.aborted);
}
