//===-- StreamPatienceTests.cpp - pauses on shared machines ----------------===//
//
// When a stream is moved away from an endpoint that shares its machine with others.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

/// Time in which the endpoints read the prompt; about half of the longest pause.
static constexpr milliseconds readingTime{600};

/// Starts a stream, and supplies its first event.
/// \param statesPace whether the endpoints state their slowdown.
static void startStream(flow_fixture &fixture, bool statesPace)
{
    auto request = requestFor(draftRoute());
    request->promptTokens = 60'000;
    if (statesPace) {
        service_endpoint &endpoint = *fixture.routing.directory().all().at("e1");
        endpoint.pace().noteStated(1, fixture.runtime.now());
        fixture.routing.notePaceStated(endpoint, fixture.runtime.now());
    }
    startFlow(fixture, request);
    REQUIRE(fixture.calls.size() == 1);
    fixture.runtime.advance(readingTime);
    fixture.answer(0, 200);
    fixture.data(0, eventText(1));
}

TEST_CASE("a long prompt isn't read again elsewhere for a pause at an endpoint on a shared machine")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    startStream(fixture, true);
    fixture.runtime.advance(milliseconds(2000));
    CHECK(fixture.calls.size() == 1);
    fixture.data(0, eventText(2));
    fixture.runtime.advance(milliseconds(2000));
    CHECK(fixture.calls.size() == 1);
    fixture.end(0, call_end::complete);
    CHECK(fixture.ended);
}

TEST_CASE(
        "a stream leaves an endpoint on a shared machine that stays silent, before its caller does")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    startStream(fixture, true);
    fixture.runtime.advance(8 * draftRoute().eventGap);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[1].attempt.afterEvent == 1);
    CHECK(fixture.steps.back().second == next_step::resumeElsewhere);
}

TEST_CASE("without a stated pace a stream leaves a silent endpoint within its longest pause")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    startStream(fixture, false);
    fixture.runtime.advance(draftRoute().eventGap);
    CHECK(fixture.calls.size() == 2);
}
