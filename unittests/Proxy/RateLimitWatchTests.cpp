//===-- RateLimitWatchTests.cpp - rate limits stated by endpoints -----------===//
//
// How the answers of an endpoint update its rate limit and the change counter.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

struct limit_fixture : flow_fixture
{
    limit_fixture()
        : flow_fixture(lookupRoute(), {"e1"})
    {
    }

    const service_endpoint &endpoint() { return *routing.directory().all().at("e1"); }

    /// Sends a request and answers it with \p perSecond as the rate limit.
    void answerWithLimit(std::optional<double> perSecond, int code = 200, bool isSigned = true)
    {
        startFlow(*this, requestFor(lookupRoute()));
        proxy_answer answer;
        answer.status = code;
        answer.signedByEndpoint = isSigned;
        answer.rateLimit = perSecond;
        this->answer(calls.size() - 1, std::move(answer), call_end::complete);
        runtime.advance(seconds(3));
    }
};

} // namespace

TEST_CASE("an endpoint's rate limit holds until a signed answer states none")
{
    limit_fixture world;
    CHECK_FALSE(world.endpoint().rateLimit());
    world.answerWithLimit(1.5);
    CHECK(world.endpoint().rateLimit() == 1.5);
    world.answerWithLimit(std::nullopt, 502, false);
    CHECK(world.endpoint().rateLimit() == 1.5);
    world.answerWithLimit(2.5, 500);
    CHECK(world.endpoint().rateLimit() == 2.5);
    world.answerWithLimit(std::nullopt);
    CHECK_FALSE(world.endpoint().rateLimit());
}

TEST_CASE("only notable changes of a rate limit are counted")
{
    limit_fixture world;
    for (const double perSecond : {1.5, 1.5, 1.6, 1.5, 3.0})
        world.answerWithLimit(perSecond);
    world.answerWithLimit(std::nullopt);
    CHECK(world.routing.rateLimits().takeChanges() == 3);
    CHECK(world.routing.rateLimits().takeChanges() == 0);
}
