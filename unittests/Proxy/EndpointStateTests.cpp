//===-- EndpointStateTests.cpp - state reported by endpoints ----------------===//
//
// Guards against losing, or taking from a wrong process, the state that endpoints report in answer
// heads: leaving, Retry-After and rate limit.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("the record of a request keeps the state that its last endpoint reported")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    const auto flow = startFlow(fixture, requestFor(lookupRoute()));
    proxy_answer refusal;
    refusal.status = http_status::unavailable;
    refusal.notRun = true;
    refusal.endpointLeaving = true;
    refusal.retryAfter = seconds(3);
    fixture.calls[0].events.onAnswer(std::move(refusal));
    CHECK(flow->record().endpointLeaving);
    CHECK(flow->record().endpointRetryAfter == seconds(3));
    fixture.calls[0].events.onEnd(call_end::complete);
    REQUIRE(fixture.calls.size() == 2);
    CHECK_FALSE(flow->record().endpointLeaving);
    CHECK_FALSE(flow->record().endpointRetryAfter);
}

TEST_CASE("a misdirected answer sets no leaving state, retry time or rate limit of the endpoint")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    const auto flow = startFlow(fixture, requestFor(lookupRoute()));
    proxy_answer answer;
    answer.status = 421;
    answer.misdirected = true;
    answer.endpointLeaving = true;
    answer.rateLimit = 1.5;
    answer.retryAfter = seconds(3);
    fixture.calls[0].events.onAnswer(std::move(answer));
    CHECK_FALSE(flow->record().endpointLeaving);
    CHECK_FALSE(flow->record().endpointRetryAfter);
    CHECK_FALSE(fixture.routing.directory().all().at("e1")->rateLimit());
}
