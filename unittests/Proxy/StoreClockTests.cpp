//===-- StoreClockTests.cpp - estimates the store's clock -----------------===//
//
// Readings with different delays, and store clocks that drift or are reset.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/StoreClock.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace laurelcroft;

static constexpr time_point start{seconds(100)};

TEST_CASE("the reading with the shortest delay determines the estimate")
{
    store_clock clock;
    CHECK(!clock.isKnown());
    clock.note(milliseconds(5000), start);
    clock.note(milliseconds(5300), start + seconds(1));
    CHECK(clock.at(start + seconds(1)) == milliseconds(6000));
    clock.note(milliseconds(7100), start + seconds(2));
    CHECK(clock.at(start + seconds(2)) == milliseconds(7100));
    CHECK(clock.localTimeOf(milliseconds(8100)) == start + seconds(3));
    CHECK(clock.localTimeOf(milliseconds(6100)) == start + seconds(1));
}

TEST_CASE("the estimate follows a store clock that runs slower than the local one")
{
    store_clock clock;
    const double drift = 0.999;
    milliseconds furthest{0};
    for (int second = 0; second < 600; ++second) {
        const time_point now = start + seconds(second);
        const auto truth = milliseconds(static_cast<std::int64_t>(second * 1000 * drift));
        clock.note(truth, now);
        furthest = std::max(furthest, clock.at(now) - truth);
    }
    CHECK(furthest <= milliseconds(31));
}

TEST_CASE("a reset of the store clock is accepted at once")
{
    store_clock clock;
    clock.note(milliseconds(500000), start);
    clock.note(milliseconds(40), start + seconds(1));
    CHECK(clock.at(start + seconds(1)) == milliseconds(40));
}
