//===-- ServicePressureTests.cpp - recent waits at a service ---------------===//
//
// How the pressure on a service follows the waits of its requests.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ServicePressure.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("pressure is 0 at first, follows many waits, and falls when none are seen")
{
    service_pressure pressure;
    time_point now{seconds(100)};
    CHECK(pressure.level(now) == 0);
    pressure.addSample(1, now);
    CHECK(pressure.level(now) == doctest::Approx(0.5)); // one sample counts half
    for (int i = 0; i < 50; ++i)
        pressure.addSample(1, now += milliseconds(20));
    CHECK(pressure.level(now) > 0.9);
    CHECK(pressure.level(now + seconds(5)) < 0.25);
    CHECK(pressure.level(now - seconds(5)) > 0.9); // a clock that steps back changes nothing
}

TEST_CASE("reports of other entries make the pressure follow a load that this entry hardly sees")
{
    service_pressure pressure;
    time_point now{seconds(100)};
    pressure.addSample(0.1, now);
    for (int i = 0; i < 10; ++i)
        pressure.addReport({0.5, 6}, now += milliseconds(100));
    CHECK(pressure.level(now) > 0.4);
    CHECK(pressure.own(now).level == doctest::Approx(0.1)); // nothing of others is passed on
    CHECK(pressure.own(now).weight < 1);
    CHECK(pressure.level(now + seconds(5))
          < 0.5 / 4); // lost notices: it falls back to its own view
}

TEST_CASE("a false report is outweighed by those of the other entries")
{
    service_pressure pressure;
    time_point now{seconds(100)};
    for (int i = 0; i < 20; ++i) {
        pressure.addReport({0.1, 7}, now += milliseconds(50));
        if (i == 10)
            pressure.addReport({1e9, 1e9}, now);
    }
    CHECK(pressure.level(now) < 1);
    CHECK(pressure.level(now + seconds(3)) < 0.15);
    pressure.addReport({-5, -5}, now);
    CHECK(pressure.level(now) >= 0);
}
