//===-- SuspectFlowTests.cpp - flows of suspected requests ------------------===//
//
// How an entry handles a request that is suspected of crashing endpoints, and requests beside it.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("a request that crashed three endpoints waits, and is then refused with a Retry-After")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    const auto request = requestFor(draftRoute());
    crashEndpoints(fixture, request, 3);
    startFlow(fixture, request);
    CHECK(fixture.calls.empty());
    CHECK(fixture.status == 0);
    fixture.runtime.advance(crash_suspects::confirmationDelay + milliseconds(50));
    CHECK(fixture.calls.empty());
    CHECK(fixture.status == 503);
    CHECK(fixture.record->reason == flow_reason::withheld);
    CHECK(std::stod(std::string(findHeader(fixture.headers, "Retry-After")))
          == doctest::Approx(3600).epsilon(0.01));
    // The finding is firm now, so the request is refused at once.
    fixture.status = 0;
    startFlow(fixture, request);
    CHECK(fixture.status == 503);
}

TEST_CASE("another caller's request with the same body is served")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    const auto request = requestFor(draftRoute());
    crashEndpoints(fixture, request, 3);
    const auto other = std::make_shared<proxy_request>(*request);
    other->key = "key-other";
    other->host = "site.example";
    auto contract = std::make_shared<service_contract>(*fixture.routing.contract());
    contract->version += 1;
    contract->customerIndexByKey["key-other"] = 0;
    fixture.routing.setContract(contract);
    startFlow(fixture, other);
    CHECK(fixture.calls.size() == 1);
}

TEST_CASE("a suspected request is not cancelled for a larger model")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    const auto request = requestFor(draftRoute());
    crashEndpoints(fixture, request, 1);
    startFlow(fixture, request);
    fixture.answer(0, 200, 5);
    // A cancelled request would hide whether it crashes the endpoint.
    CHECK(fixture.calls.size() == 1);
}

TEST_CASE("a strongly suspected request is sent once at a time until it is answered")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2", "e3"});
    const auto request = requestFor(lookupRoute());
    crashEndpoints(fixture, request, 2);
    startFlow(fixture, request);
    startFlow(fixture, std::make_shared<proxy_request>(*request));
    CHECK(fixture.calls.size() == 1);
    fixture.answer(0, 200);
    fixture.end(0, call_end::complete);
    fixture.runtime.advance(flow_bounds::roomCheckInterval);
    CHECK(fixture.calls.size() == 2);
    CHECK(fixture.routing.suspects().isEmpty());
}

TEST_CASE("two strongly suspected requests are sent to different endpoints")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2", "e3"});
    const auto first = requestFor(lookupRoute());
    const auto second = std::make_shared<proxy_request>(*first);
    second->body = "another";
    crashEndpoints(fixture, first, 2);
    crashEndpoints(fixture, second, 2);
    startFlow(fixture, first);
    startFlow(fixture, second);
    startFlow(fixture, requestFor(lookupRoute()))->record();
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[0].attempt.endpoint != fixture.calls[1].attempt.endpoint);
}

TEST_CASE("a request whose stream runs for a second is cleared")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    const auto request = requestFor(draftRoute());
    crashEndpoints(fixture, request, 2);
    startFlow(fixture, request);
    fixture.answer(0, 200, 90);
    unsigned event = 0;
    for (milliseconds at{0}; at < endpoint_runs::clearedAfter; at += milliseconds(250)) {
        fixture.data(0, eventText(++event));
        CHECK_FALSE(fixture.routing.suspects().isEmpty());
        fixture.runtime.advance(milliseconds(251));
    }
    fixture.data(0, eventText(++event));
    CHECK(fixture.routing.suspects().isEmpty());
}

TEST_CASE("a suspected request leaves the last further send to others")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2", "e3", "e4"});
    const auto suspected = requestFor(draftRoute());
    const auto other = std::make_shared<proxy_request>(*suspected);
    other->body = "another";
    crashEndpoints(fixture, suspected, 1);
    startFlow(fixture, suspected);
    startFlow(fixture, other);
    send_budget &budget = fixture.routing.repeats("pool");
    const auto availableSends = [&] {
        return budget.availableSends(fixture.runtime.now(), fixture.routing.shareOfEntries());
    };
    while (availableSends() >= 2)
        budget.take(fixture.runtime.now(), fixture.routing.shareOfEntries(), further_send::repeat);
    REQUIRE(availableSends() >= 1);
    fixture.end(0, call_end::broken);
    CHECK(fixture.calls.size() == 2);
    CHECK(fixture.status == http_status::badGateway);
    fixture.end(1, call_end::broken);
    CHECK(fixture.calls.size() == 3);
}

TEST_CASE("an answer that ends with its connection clears its prompt parts only if the endpoint "
          "lives")
{
    for (const bool crashes : {false, true}) {
        CAPTURE(crashes);
        flow_fixture fixture(draftRoute(), {"e1", "e2"});
        const auto request = requestFor(draftRoute());
        request->promptParts = {{"shared", 100}, {"own", 100}};
        const std::vector<request_key> parts = partKeysOf(*request, "");
        startFlow(fixture, request);
        const std::string endpoint = fixture.endpointOf(0);
        proxy_answer head;
        head.status = 200;
        head.signedByEndpoint = true;
        head.endsWithConnection = true;
        head.confidence = 90;
        fixture.calls[0].events.onAnswer(std::move(head));
        fixture.data(0, eventText(1));
        fixture.end(0, call_end::complete);
        CHECK(fixture.ended);
        crash_watch &crash = fixture.routing.crashes();
        const auto isProven = [&] {
            return crash.suspects().isCleared(parts.front(), "v1", fixture.runtime.now());
        };
        CHECK_FALSE(isProven());
        if (crashes) {
            fixture.runtime.advance(milliseconds(100));
            const auto known = fixture.routing.directory().all().find(endpoint);
            REQUIRE(known != fixture.routing.directory().all().end());
            crash.endpointEnded(*known->second, fixture.runtime.now());
            CHECK(crash.suspects().endsOf(parts.front()) == 1);
        }
        fixture.runtime.advance(endpoint_runs::suspectAfterCancel + milliseconds(1));
        crash.clearPending(fixture.runtime.now());
        CHECK(isProven() == !crashes);
    }
}

TEST_CASE("the head of a stream does not clear a request, its events do")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(draftRoute()));
    const std::string endpoint = fixture.endpointOf(0);
    const auto suspects = [&] {
        return fixture.routing.runs().findSuspects(endpoint, fixture.runtime.now()).size();
    };
    fixture.answer(0, 200, 90);
    fixture.runtime.advance(milliseconds(500));
    unsigned event = 0;
    for (milliseconds at{0}; at <= endpoint_runs::clearedAfter; at += milliseconds(200)) {
        fixture.data(0, eventText(++event));
        CHECK(suspects() == 1);
        fixture.runtime.advance(milliseconds(200));
    }
    CHECK(suspects() == 0);
}
