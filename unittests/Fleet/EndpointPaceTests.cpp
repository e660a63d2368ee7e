//===-- EndpointPaceTests.cpp - how long work takes there ------------------===//
//
// How a stated slowdown counts as it grows older.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/EndpointPace.h"

#include <doctest/doctest.h>

#include <limits>

using namespace laurelcroft;

TEST_CASE("a stated slowdown counts in full at once and hardly after a second")
{
    endpoint_pace pace;
    const time_point now{seconds(100)};
    CHECK(pace.slowdown(now) == 1);
    CHECK(!pace.isStated());
    pace.noteStated(2.5, now);
    CHECK(pace.isStated());
    CHECK(pace.slowdown(now) == 2.5);
    CHECK(pace.slowdown(now + seconds(1)) < 1.2);
}

TEST_CASE("an impossible slowdown is ignored")
{
    endpoint_pace pace;
    const time_point now{seconds(100)};
    for (const double value : {0.0, -1.0, 1e9, std::numeric_limits<double>::quiet_NaN()})
        pace.noteStated(value, now);
    CHECK(!pace.isStated());
    CHECK(pace.slowdown(now) == 1);
}
