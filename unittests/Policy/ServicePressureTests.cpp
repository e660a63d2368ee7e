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
