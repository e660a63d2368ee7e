//===-- ProvenKeysTests.cpp - what endpoints have run to an end --------------===//
//
// Which keys stay proven, and for how long.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ProvenKeys.h"

#include "laurelcroft/Policy/CrashSuspects.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("proven prompt parts in use outlast any number of parts that are proven once")
{
    proven_keys proven;
    const time_point now{std::chrono::hours(1)};
    for (std::uint64_t key = 0; key < 10 * proven_keys::maxPerGeneration; ++key) {
        proven.add(partKeyFrom(1), "v1", now);
        proven.add(partKeyFrom(1000 + key), "v1", now);
    }
    CHECK(proven.contains(partKeyFrom(1), "v1"));
    CHECK_FALSE(proven.contains(partKeyFrom(1), "v2"));
    CHECK_FALSE(proven.contains(partKeyFrom(1000), "v1"));
}

TEST_CASE("a proven prompt part expires within two lifetimes")
{
    proven_keys proven;
    time_point now{std::chrono::hours(1)};
    proven.expire(now);
    proven.add(partKeyFrom(1), "v1", now);
    now += proven_keys::generationLifetime;
    proven.expire(now);
    CHECK(proven.contains(partKeyFrom(1), "v1"));
    now += proven_keys::generationLifetime;
    proven.expire(now);
    CHECK_FALSE(proven.contains(partKeyFrom(1), "v1"));
}
