//===-- EndpointRunsTests.cpp - suspected runs and request keys -------------===//
//
// Which runs are suspected of a crash, and which attributes of a request its key depends on.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include "laurelcroft/Proxy/RequestKey.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("all attempts of a request have the same key, and other requests have other keys")
{
    const auto first = requestFor(lookupRoute());
    first->body = "text";
    const auto again = std::make_shared<proxy_request>(*first);
    again->id = "r2";
    again->headers.push_back({"X-Trace", "1"});
    CHECK(keyOf(*first) == keyOf(*again));
    for (std::string proxy_request::*const field : {&proxy_request::key, &proxy_request::host,
                                                    &proxy_request::target, &proxy_request::body}) {
        proxy_request other = *first;
        (other.*field) += "x";
        CHECK(keyOf(other) != keyOf(*first));
    }
}

TEST_CASE("a key is unchanged by formatting and parsing; other texts are rejected")
{
    for (const request_key key : {request_key(0), request_key(0xAB), ~request_key(0)}) {
        CHECK(textOf(key).size() == 16);
        CHECK(parseRequestKey(textOf(key)) == key);
    }
    for (const char *text :
         {"", "12", "00000000000000zz", "000000000000000000", "-000000000000001"})
        CHECK_FALSE(parseRequestKey(text));
}

TEST_CASE("recent runs are suspected of a crash, including recently cancelled ones")
{
    manual_runtime runtime;
    endpoint_runs runs;
    const auto request = requestFor(lookupRoute());
    const auto add = [&] { return runs.add("e1", request, runtime.now()); };
    const auto proven = add();
    proven->answerBeganAt = runtime.now();
    const auto waiting = add();
    const auto cancelledLongAgo = add();
    cancelledLongAgo->abandonedAt = runtime.now();
    runtime.advance(endpoint_runs::clearedAfter);
    const auto answered = add();
    answered->isFinished = true;
    const auto cancelled = add();
    cancelled->answerBeganAt = runtime.now();
    cancelled->abandonedAt = runtime.now();
    runs.add("e2", request, runtime.now());
    runtime.advance(milliseconds(100));
    const time_point end = runtime.now();
    const auto late = add();
    runtime.advance(milliseconds(5));

    const auto suspects = runs.findSuspects("e1", end);
    REQUIRE(suspects.size() == 2);
    CHECK(suspects[0] == waiting);
    CHECK(suspects[1] == cancelled);

    runtime.advance(seconds(1));
    late->abandonedAt = runtime.now() - seconds(1);
    runs.sweep(runtime.now());
    CHECK(runs.findSuspects("e1", runtime.now()) == std::vector{waiting});
    runs.forget("e1");
    CHECK(runs.findSuspects("e1", runtime.now()).empty());
}

TEST_CASE("an endpoint is probed after a broken connection and after a failed connect")
{
    for (const call_end how : {call_end::broken, call_end::notSent}) {
        flow_fixture fixture(lookupRoute(), {"e1", "e2"});
        startFlow(fixture, requestFor(lookupRoute()));
        const std::string first = fixture.calls[0].attempt.endpoint->record().id;
        fixture.end(0, how);
        CHECK(fixture.probedEndpoints == std::vector{first});
        const bool isSuspected
                = !fixture.routing.runs()
                           .findSuspects(first, fixture.runtime.now() + milliseconds(1))
                           .empty();
        CHECK(isSuspected == (how == call_end::broken));
    }
}

TEST_CASE("answered and refused requests are not suspected, one whose caller left is")
{
    for (const int status : {200, 500, 503}) {
        flow_fixture fixture(fetchRoute(), {"e1"});
        startFlow(fixture, requestFor(fetchRoute()));
        if (status == 503) {
            fixture.refuseNotRun(0);
        } else {
            fixture.answer(0, status);
            fixture.end(0, call_end::complete);
        }
        CHECK(fixture.routing.runs()
                      .findSuspects("e1", fixture.runtime.now() + milliseconds(1))
                      .empty());
    }
    flow_fixture fixture(fetchRoute(), {"e1"});
    const auto flow = startFlow(fixture, requestFor(fetchRoute()));
    flow->callerLeft();
    CHECK(fixture.routing.runs().findSuspects("e1", fixture.runtime.now() + milliseconds(1)).size()
          == 1);
}
