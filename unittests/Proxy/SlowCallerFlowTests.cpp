//===-- SlowCallerFlowTests.cpp - flows whose callers read slowly -----------===//
//
// Load: callers that fall behind large answers and streams. Tests that calls are paused, that a
// paused call is not taken for a silent endpoint, and that large answers are passed on.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

const std::string largePart(flow_bounds::maxHeldAnswerBytes + 1, 'a');

/// Supplies the signed head of call \p index with a stated length.
void answerWithLength(flow_fixture &fixture, std::size_t index, int status, std::uint64_t length)
{
    proxy_answer head;
    head.status = status;
    head.requestId = fixture.calls[index].attempt.request->id;
    head.signedByEndpoint = true;
    head.bodyLength = length;
    fixture.calls[index].events.onAnswer(std::move(head));
}

/// Refuses the first call as not run, with a body larger than what is held of an answer.
void refuseWithLargeBody(flow_fixture &fixture)
{
    proxy_answer refusal;
    refusal.status = http_status::unavailable;
    refusal.notRun = true;
    fixture.calls[0].events.onAnswer(std::move(refusal));
    fixture.data(0, largePart);
}

void drain(flow_fixture &fixture)
{
    const auto action = std::exchange(fixture.onDrained, nullptr);
    REQUIRE(action);
    action();
}

} // namespace

TEST_CASE("an answer up to the limit is held back and repeated elsewhere when it breaks off")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 200);
    fixture.data(0, std::string(flow_bounds::maxHeldAnswerBytes, 'a'));
    CHECK(!fixture.begun);
    fixture.end(0, call_end::broken);
    REQUIRE(fixture.calls.size() == 2);
    fixture.answer(1, 200);
    fixture.data(1, "whole");
    fixture.end(1, call_end::complete);
    CHECK(fixture.body == "whole");
    CHECK(fixture.record->reason == flow_reason::served);
}

TEST_CASE("a larger answer is passed on as it comes, with the length that the endpoint stated")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    answerWithLength(fixture, 0, 200, largePart.size() + 4);
    fixture.data(0, largePart);
    CHECK(fixture.begun);
    CHECK(fixture.bodyLength == largePart.size() + 4);
    fixture.data(0, "rest");
    CHECK(!fixture.ended);
    fixture.end(0, call_end::complete);
    CHECK(fixture.ended);
    CHECK(fixture.body == largePart + "rest");
    CHECK(fixture.record->reason == flow_reason::served);
    CHECK(fixture.record->status == 200);
}

TEST_CASE("an answer without a stated length is passed on without one")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 200);
    fixture.data(0, largePart);
    CHECK(fixture.begun);
    CHECK(!fixture.bodyLength);
}

TEST_CASE("less is held back when memory is short")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 200);
    fixture.memoryLeft = false;
    fixture.data(0, "part");
    CHECK(fixture.begun);
}

TEST_CASE("an answer that breaks off after its beginning was passed on is aborted, not repeated")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 200);
    fixture.data(0, largePart);
    fixture.end(0, call_end::broken);
    CHECK(fixture.aborted);
    CHECK(!fixture.ended);
    CHECK(fixture.calls.size() == 1);
    CHECK(fixture.record->reason == flow_reason::brokenAttempt);
}

TEST_CASE("a large error is dropped if another endpoint can be asked, else passed on whole")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 500);
    fixture.data(0, largePart);
    CHECK(!fixture.begun);
    REQUIRE(fixture.calls.size() == 2);
    fixture.answer(1, 500);
    fixture.data(1, largePart);
    CHECK(fixture.begun);
    CHECK(fixture.status == 500);
    fixture.end(1, call_end::complete);
    CHECK(fixture.ended);
    CHECK(!fixture.aborted);
    CHECK(fixture.body == largePart);
    CHECK(fixture.record->reason == flow_reason::endpointFailure);
}

TEST_CASE("the body of a refusal is not kept")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    refuseWithLargeBody(fixture);
    CHECK(!fixture.begun);
    fixture.end(0, call_end::complete);
    CHECK(fixture.status == http_status::unavailable);
    CHECK(fixture.body.size() < largePart.size());
}

TEST_CASE("a call is paused while its caller is behind, and resumed when it has drained")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 200);
    fixture.data(0, largePart);
    CHECK(!fixture.calls[0].paused);
    fixture.callerBehind = true;
    fixture.data(0, "more");
    CHECK(fixture.calls[0].paused);
    drain(fixture);
    CHECK(!fixture.calls[0].paused);
    fixture.data(0, "still behind");
    CHECK(fixture.calls[0].paused);
    fixture.callerBehind = false;
    drain(fixture);
    fixture.data(0, "rest");
    CHECK(!fixture.calls[0].paused);
    fixture.end(0, call_end::complete);
    CHECK(fixture.body == largePart + "more" + "still behind" + "rest");
    CHECK(fixture.record->reason == flow_reason::served);
}

TEST_CASE("a paused stream is not taken for a silent endpoint, and says nothing about its version")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(draftRoute()));
    fixture.answer(0, 200, 100);
    fixture.data(0, eventText(1));
    fixture.callerBehind = true;
    fixture.data(0, eventText(2));
    CHECK(fixture.calls[0].paused);
    fixture.runtime.advance(seconds(10));
    CHECK(fixture.calls.size() == 1);
    CHECK(fixture.steps.empty());
    fixture.callerBehind = false;
    drain(fixture);
    fixture.data(0, eventText(3));
    fixture.end(0, call_end::complete);
    CHECK(fixture.record->reason == flow_reason::served);
    CHECK(fixture.record->events == 3);
}

TEST_CASE("an endpoint that is silent after its call was resumed is still noticed")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(draftRoute()));
    fixture.answer(0, 200, 100);
    fixture.callerBehind = true;
    fixture.data(0, eventText(1));
    fixture.runtime.advance(seconds(3));
    fixture.callerBehind = false;
    drain(fixture);
    fixture.runtime.advance(milliseconds(300));
    CHECK(fixture.calls.size() == 1);
    fixture.runtime.advance(milliseconds(1200));
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[1].attempt.afterEvent == 1);
}

TEST_CASE("an endpoint that dies while its call is paused ends the answer visibly")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 200);
    fixture.callerBehind = true;
    fixture.data(0, largePart);
    REQUIRE(fixture.calls[0].paused);
    drain(fixture);
    fixture.end(0, call_end::broken);
    CHECK(fixture.aborted);
    CHECK(!fixture.ended);
    CHECK(fixture.calls.size() == 1);
}

TEST_CASE("a caller that leaves while its call is paused cancels it")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    const auto flow = startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 200);
    fixture.callerBehind = true;
    fixture.data(0, largePart);
    flow->callerLeft();
    CHECK(fixture.calls[0].cancelled);
    CHECK(fixture.record->reason == flow_reason::callerLeft);
    drain(fixture);
    CHECK(flow->isDone());
}

TEST_CASE("a caller that reads slowly is served past the deadline, one that reads nothing is not")
{
    for (const bool reads : {true, false}) {
        flow_fixture fixture(lookupRoute(), {"e1"});
        startFlow(fixture, requestFor(lookupRoute()));
        fixture.answer(0, 200);
        fixture.callerBehind = true;
        fixture.data(0, largePart);
        for (int i = 0; i < 20; ++i) {
            if (reads)
                fixture.callerProgressAt = fixture.runtime.now();
            fixture.runtime.advance(seconds(1));
        }
        CHECK(fixture.record.has_value() != reads);
        CHECK(fixture.aborted != reads);
        if (!reads)
            CHECK(fixture.record->reason == flow_reason::timedOut);
    }
}

TEST_CASE("an answer that was begun ends at the deadline if its endpoint is silent")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 200);
    fixture.data(0, largePart);
    fixture.runtime.advance(seconds(5));
    CHECK(fixture.aborted);
    CHECK(fixture.record->reason == flow_reason::timedOut);
}

TEST_CASE("an answer without end is ended although its endpoint keeps sending")
{
    for (const bool slowCaller : {false, true}) {
        flow_fixture fixture(lookupRoute(), {"e1"});
        startFlow(fixture, requestFor(lookupRoute()));
        fixture.answer(0, 200);
        fixture.data(0, largePart);
        fixture.callerBehind = slowCaller;
        const time_point began = fixture.runtime.now();
        while (!fixture.record && fixture.runtime.now() - began < seconds(120)) {
            fixture.callerProgressAt = fixture.runtime.now();
            fixture.data(0, "more");
            fixture.runtime.advance(milliseconds(100));
            if (slowCaller) {
                fixture.runtime.advance(milliseconds(300));
                drain(fixture);
                fixture.runtime.advance(milliseconds(100));
            }
        }
        REQUIRE(fixture.record.has_value());
        CHECK(fixture.aborted);
        CHECK(fixture.calls[0].cancelled);
        CHECK(fixture.record->reason == flow_reason::timedOut);
        // The time in which the caller was behind, four fifths of it, doesn't count.
        const duration limit = flow_bounds::lateAnswerFactor * lookupRoute().timeout;
        const duration taken = fixture.runtime.now() - began;
        CHECK(taken >= limit);
        CHECK(taken <= (slowCaller ? 6 : 1) * limit);
    }
}

TEST_CASE("a huge answer to a slow caller continues past the deadline only with a stated length")
{
    for (const bool hasLength : {false, true}) {
        flow_fixture fixture(lookupRoute(), {"e1"});
        startFlow(fixture, requestFor(lookupRoute()));
        if (hasLength)
            answerWithLength(fixture, 0, 200, 1ULL << 30);
        else
            fixture.answer(0, 200);
        const std::string piece(1U << 20, 'a');
        for (std::size_t sent = 0; sent <= flow_bounds::maxLateUnsizedBytes; sent += piece.size())
            fixture.data(0, piece);
        fixture.callerBehind = true;
        fixture.data(0, "more");
        REQUIRE(fixture.calls[0].paused);
        fixture.callerProgressAt = fixture.runtime.now() + lookupRoute().timeout;
        fixture.runtime.advance(lookupRoute().timeout + milliseconds(1));
        CHECK(fixture.aborted != hasLength);
        CHECK(fixture.calls[0].cancelled != hasLength);
    }
}

TEST_CASE("the body of a refusal without end is not waited for")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(lookupRoute()));
    refuseWithLargeBody(fixture);
    CHECK(fixture.calls[0].cancelled);
    REQUIRE(fixture.calls.size() == 2);
    REQUIRE(fixture.steps.size() == 1);
    CHECK(fixture.steps[0] == std::pair(attempt_end::refused, next_step::tryElsewhere));
}

TEST_CASE("an event that grows without end is not held")
{
    flow_fixture fixture(draftRoute(), {"e1"});
    startFlow(fixture, requestFor(draftRoute()));
    fixture.answer(0, 200, 100);
    fixture.data(0, eventText(1) + "data: " + std::string(flow_bounds::maxEventBytes, 'a'));
    CHECK(fixture.calls[0].cancelled);
    REQUIRE(fixture.steps.size() == 1);
    CHECK(fixture.steps[0] == std::pair(attempt_end::broken, next_step::resumeElsewhere));
}

TEST_CASE("without memory, a new request is refused as not run, before anything is sent")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    fixture.memoryLeft = false;
    startFlow(fixture, requestFor(lookupRoute()));
    CHECK(fixture.calls.empty());
    CHECK(fixture.status == http_status::unavailable);
    CHECK(!findHeader(fixture.headers, "Retry-After").empty());
    CHECK(fixture.record->reason == flow_reason::noMemory);
}
