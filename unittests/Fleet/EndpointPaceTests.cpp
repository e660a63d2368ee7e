//===-- EndpointPaceTests.cpp - how long work takes there ------------------===//
//
// How stated and observed slowdowns count as they grow older, and what wrong values do.
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

TEST_CASE("a moment of slowness does not change what an endpoint is known for")
{
    endpoint_pace pace;
    time_point now{seconds(100)};
    for (int i = 0; i < 3; ++i) {
        now += seconds(1);
        pace.noteStated(1.2, now);
    }
    now += seconds(1);
    pace.noteStated(3.0, now);
    CHECK(pace.usual(now) == doctest::Approx(1.2));
    CHECK(pace.slowdown(now) == doctest::Approx(3.0));
    CHECK(pace.slowdown(now + milliseconds(50)) > 2.7);
    CHECK(pace.slowdown(now + milliseconds(1000)) < 1.5);
}

TEST_CASE("a stated pace that has held for long counts longer than one that passes")
{
    // Guards against callers who are late: a pace that turns each 1.5 s was forgotten in 0.3 s.
    for (const bool turns : {false, true}) {
        CAPTURE(turns);
        endpoint_pace pace;
        time_point now{seconds(100)};
        for (int i = 0; i < 40; ++i) {
            now += milliseconds(300);
            const bool isSlow = turns ? i / 5 % 2 == 0 : i % 5 == 0;
            pace.noteStated(isSlow ? 3 : 1, now);
        }
        pace.noteStated(3, now + milliseconds(300));
        now += milliseconds(300);
        const bool isLong = pace.momentHalfLife() > milliseconds(700);
        CHECK(isLong == turns);
        CHECK((pace.slowdown(now + milliseconds(500)) > 1.9) == turns);
        CHECK((pace.batchSlowdown(now) > 2.5) == turns);
    }
}

TEST_CASE("a lasting slowdown is kept for tens of seconds and then forgotten")
{
    endpoint_pace pace;
    const time_point now{seconds(100)};
    pace.noteStated(3, now);
    pace.noteStated(3, now);
    CHECK(pace.usual(now + seconds(10)) > 2.5);
    CHECK(pace.usual(now + seconds(300)) < 1.01);
}

TEST_CASE("a turn of the pace counts from the next answer on")
{
    endpoint_pace pace;
    const time_point now{seconds(100)};
    pace.noteStated(2.5, now);
    pace.noteStated(1, now + milliseconds(50));
    CHECK(pace.slowdown(now + milliseconds(50)) == 1);
}

TEST_CASE("a long work is slowed down only for the rest of the moment")
{
    endpoint_pace pace;
    const time_point now{seconds(100)};
    pace.noteStated(1, now);
    pace.noteStated(1, now);
    pace.noteStated(2.5, now);
    CHECK(pace.expectedMs(10, now) == doctest::Approx(25));
    CHECK(pace.expectedMs(3000, now) < 3300);
    CHECK(pace.expectedMs(3000, now) > 3000);
}

TEST_CASE("observed times count more with each of them, and a single one only little")
{
    endpoint_pace pace;
    time_point now{seconds(100)};
    pace.addObservation(1000, 1, now);
    CHECK(pace.usual(now) <= 2);
    for (int i = 0; i < 8; ++i)
        pace.addObservation(3, 1, now);
    CHECK(pace.usual(now) > 2.3);
    CHECK(pace.usual(now + seconds(300)) < 1.1);
    for (int i = 0; i < 20; ++i)
        pace.addObservation(1, 1, now);
    CHECK(pace.usual(now) < 1.3);
    for (const double wrong : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN()})
        pace.addObservation(wrong, 1, now);
    CHECK(pace.usual(now) < 1.3);
}

TEST_CASE("an endpoint that states to be fast and is slow no longer counts as fast")
{
    endpoint_pace pace;
    const time_point now{seconds(100)};
    pace.noteStated(0.5, now);
    pace.noteStated(0.5, now);
    for (int i = 0; i < 8; ++i)
        pace.addObservation(4, 1, now);
    CHECK(pace.usual(now) > 1);
}

TEST_CASE("a clock that jumps back leaves the pace as it was")
{
    endpoint_pace pace;
    const time_point now{seconds(100)};
    pace.noteStated(2, now);
    pace.addObservation(2, 4, now);
    CHECK(pace.slowdown(now - seconds(50)) == doctest::Approx(pace.slowdown(now)));
    CHECK(pace.expectedMs(100, now - seconds(50)) == doctest::Approx(pace.expectedMs(100, now)));
}
