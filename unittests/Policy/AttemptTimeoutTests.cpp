//===-- AttemptTimeoutTests.cpp - wait for a silent endpoint ---------------===//
//
// When a request is moved away from an endpoint that shares its machine.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/AttemptTimeout.h"

#include <doctest/doctest.h>

using namespace laurelcroft;
using std::chrono::milliseconds;

/// A wait for the next event of a stream with pauses of up to 1,000 ms.
static attempt_wait streamWait(std::optional<double> elsewhereMs)
{
    attempt_wait view;
    view.part = awaited_part::nextEvent;
    view.objective = milliseconds(2000);
    view.eventGap = milliseconds(1000);
    view.timeout = milliseconds(20'000);
    view.endpointSilent = true;
    view.elsewhereMs = elsewhereMs;
    return view;
}

TEST_CASE("a stream leaves a silent endpoint early if it can continue in time elsewhere")
{
    CHECK(attemptTimeoutOf(streamWait(std::nullopt)) == milliseconds(750));
    CHECK(attemptTimeoutOf(streamWait(200)) == milliseconds(750));
}

TEST_CASE("a stream that would be late elsewhere stays, but not for as long as its caller does")
{
    const milliseconds patience = attemptTimeoutOf(streamWait(600));
    CHECK(patience > 3 * milliseconds(1000));
    CHECK(patience <= 8 * milliseconds(1000) / 2);
}

TEST_CASE(
        "a first event that would be late elsewhere is awaited longer, within the route's timeout")
{
    attempt_wait view = streamWait(std::nullopt);
    view.part = awaited_part::firstEvent;
    view.meanWait = 0.12;
    const milliseconds early = attemptTimeoutOf(view);
    CHECK(early == milliseconds(2400));
    view.meanWait = 0.05;
    CHECK(attemptTimeoutOf(view) == milliseconds(1000));
    view.elsewhereMs = 300;
    CHECK(attemptTimeoutOf(view) == milliseconds(1000)); // in time elsewhere
    view.elsewhereMs = 1500;
    CHECK(attemptTimeoutOf(view) > view.objective);
    view.timeout = milliseconds(4000);
    CHECK(attemptTimeoutOf(view) == milliseconds(1400)); // 0.35 of the route's timeout
}
