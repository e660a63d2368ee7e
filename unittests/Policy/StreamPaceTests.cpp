//===-- StreamPaceTests.cpp - pauses and usual times -----------------------===//
//
// The median pause of a stream, and the usual time that it is compared with.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/PauseSample.h"
#include "laurelcroft/Policy/UsualTime.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("a long prompt read in between does not change the median pause")
{
    pause_sample pauses;
    CHECK(!pauses.median());
    for (int i = 0; i < 6; ++i)
        pauses.add(milliseconds(i % 3 == 0 ? 900 : 30));
    CHECK(pauses.median() == milliseconds(30));
    pauses.clear();
    CHECK(!pauses.median());
}

TEST_CASE("the median of a long stream takes bounded memory")
{
    pause_sample pauses;
    for (int i = 0; i < 1000; ++i)
        pauses.add(milliseconds(i < 24 ? 30 : 90));
    CHECK(pauses.count() == pause_sample::maxPauses);
    CHECK(pauses.median() == milliseconds(30));
}

TEST_CASE("a usual time follows the load within some tens of samples")
{
    usual_time usual;
    CHECK(!usual.add(milliseconds(30)));
    for (int i = 0; i < 20; ++i)
        usual.add(milliseconds(30));
    CHECK(*usual.add(milliseconds(90)) == doctest::Approx(3).epsilon(0.1));
    for (int i = 0; i < 90; ++i)
        usual.add(milliseconds(60));
    CHECK(*usual.add(milliseconds(60)) == doctest::Approx(1).epsilon(0.1));
    CHECK(usual.add(duration(0)).has_value());
}
