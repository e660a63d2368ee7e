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
    limit_fixture fixture;
    CHECK_FALSE(fixture.endpoint().rateLimit());
    fixture.answerWithLimit(1.5);
    CHECK(fixture.endpoint().rateLimit() == 1.5);
    fixture.answerWithLimit(std::nullopt, 502, false);
    CHECK(fixture.endpoint().rateLimit() == 1.5);
    fixture.answerWithLimit(2.5, 500);
    CHECK(fixture.endpoint().rateLimit() == 2.5);
    fixture.answerWithLimit(std::nullopt);
    CHECK_FALSE(fixture.endpoint().rateLimit());
}

TEST_CASE("only notable changes of a rate limit are counted")
{
    limit_fixture fixture;
    for (const double perSecond : {1.5, 1.5, 1.6, 1.5, 3.0})
        fixture.answerWithLimit(perSecond);
    fixture.answerWithLimit(std::nullopt);
    CHECK(fixture.routing.rateLimits().takeChanges() == 3);
    CHECK(fixture.routing.rateLimits().takeChanges() == 0);
}
