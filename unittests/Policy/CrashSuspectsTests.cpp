//===-- CrashSuspectsTests.cpp - requests that crash endpoints ------------===//
//
// Which requests are withheld after several ends, among harmless requests, and while endpoints also
// terminate for other reasons.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/CrashSuspects.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr std::uint64_t crashingKey = 1;
constexpr std::uint64_t harmlessKey = 2;

/// Simulates ends of distinct endpoints.
struct suspects_fixture
{
    crash_suspects suspects;
    time_point now{std::chrono::hours(1)};
    std::uint64_t endpoint = 100;
    std::string version = "v1";

    /// Records the end of an endpoint 100 ms after \p keys were sent there.
    std::vector<std::uint64_t> end(const std::vector<std::uint64_t> &keys)
    {
        const time_point sentAt = now;
        now += milliseconds(100);
        std::vector<recent_request> recent;
        for (const std::uint64_t key : keys)
            recent.push_back({key, sentAt, now, 0, {}});
        return suspects.recordEnd({++endpoint, "pool", version, now}, recent);
    }

    bool isWithheld(std::uint64_t key) const { return suspects.isWithheld(key, version, now); }
};

} // namespace

TEST_CASE("a request that ends three endpoints one after the other is withheld")
{
    suspects_fixture world;
    CHECK(world.suspects.isEmpty());
    CHECK(world.end({crashingKey}).empty());
    CHECK(world.suspects.suspicionOf(crashingKey, world.now) == suspicion::weak);
    CHECK(world.end({crashingKey}).empty());
    CHECK(world.suspects.suspicionOf(crashingKey, world.now) == suspicion::strong);
    CHECK(world.end({crashingKey}) == std::vector{crashingKey});
    CHECK(world.isWithheld(crashingKey));
    CHECK(world.suspects.withheld().at(crashingKey).ended.size() == 3);
    CHECK(world.suspects.withheldUntil(crashingKey, world.now)
          == world.now + crash_suspects::withheldFor);
    world.now += crash_suspects::withheldFor;
    CHECK_FALSE(world.isWithheld(crashingKey));
    world.suspects.expire(world.now);
    CHECK(world.suspects.isEmpty());
}

TEST_CASE("ends of concurrent runs of a request count as one")
{
    suspects_fixture world;
    const time_point sentAt = world.now;
    world.now += milliseconds(300);
    for (std::uint64_t endpoint = 1; endpoint <= 8; ++endpoint) {
        std::vector<recent_request> recent{{harmlessKey, sentAt, world.now, 0, {}}};
        CHECK(world.suspects.recordEnd({endpoint, "pool", "v1", world.now}, recent).empty());
        world.now += milliseconds(25);
    }
    CHECK(world.suspects.endsOf(harmlessKey) == 1);
}

TEST_CASE("an end that several entries report counts once")
{
    suspects_fixture world;
    for (int entry = 0; entry < 3; ++entry) {
        world.now += milliseconds(2);
        std::vector<recent_request> recent{
                {crashingKey, world.now - milliseconds(1), world.now, 0, {}}};
        world.suspects.recordEnd({7, "pool", "v1", world.now}, recent);
    }
    CHECK(world.suspects.endsOf(crashingKey) == 1);
}

TEST_CASE("a request that was answered is not suspected for that version")
{
    suspects_fixture world;
    world.end({harmlessKey});
    world.suspects.clear(harmlessKey, "v1", world.now);
    for (int i = 0; i < 8; ++i)
        CHECK(world.end({harmlessKey}).empty());
    CHECK(world.suspects.suspicionOf(harmlessKey, world.now) == suspicion::none);
    world.version = "v2";
    world.end({harmlessKey});
    CHECK(world.suspects.suspicionOf(harmlessKey, world.now) == suspicion::weak);
}

TEST_CASE("requests beside one with two earlier ends are cleared")
{
    suspects_fixture world;
    world.end({crashingKey, harmlessKey});
    world.end({crashingKey, harmlessKey});
    // Both have two ends: they are sent separately from now on, and only one ends its endpoint.
    CHECK(world.suspects.endsOf(harmlessKey) == 2);
    CHECK(world.end({crashingKey, 5, 6, 7}) == std::vector{crashingKey});
    for (const std::uint64_t key :
         {harmlessKey, std::uint64_t(5), std::uint64_t(6), std::uint64_t(7)})
        CHECK(world.suspects.suspicionOf(key, world.now) == suspicion::none);
}

TEST_CASE("another entry's earlier ends explain an end, reported before or after the own ones")
{
    for (const bool isReportedFirst : {true, false}) {
        CAPTURE(isReportedFirst);
        suspects_fixture world;
        std::vector<recent_request> own{
                {harmlessKey, world.now, world.now + milliseconds(100), 0, {}}};
        std::vector<recent_request> reported{
                {crashingKey, world.now, world.now + milliseconds(100), 3, {}}};
        const endpoint_end end{9, "pool", "v1", world.now + milliseconds(100)};
        if (isReportedFirst)
            world.suspects.recordEnd(end, reported);
        world.suspects.recordEnd(end, own);
        if (!isReportedFirst)
            world.suspects.recordEnd(end, reported);
        CHECK(world.suspects.suspicionOf(harmlessKey, end.at) == suspicion::none);
        CHECK(world.suspects.suspicionOf(crashingKey, end.at) != suspicion::none);
    }
}

TEST_CASE("five ends are needed while endpoints also terminate for other reasons")
{
    suspects_fixture world;
    for (std::size_t i = 0; i < crash_suspects::minUnexplainedEnds; ++i)
        world.end({1000 + i});
    for (unsigned i = 1; i < crash_suspects::endsToWithholdUnstable; ++i)
        CHECK(world.end({crashingKey}).empty());
    CHECK(world.end({crashingKey}) == std::vector{crashingKey});
}

TEST_CASE("a withheld request is sent to a new version once")
{
    suspects_fixture world;
    for (int i = 0; i < 3; ++i)
        world.end({crashingKey});
    world.version = "v2";
    CHECK_FALSE(world.isWithheld(crashingKey));
    CHECK(world.suspects.suspicionOf(crashingKey, world.now) == suspicion::strong);
    CHECK(world.end({crashingKey}) == std::vector{crashingKey});
    CHECK(world.isWithheld(crashingKey));
    CHECK(world.suspects.withheld().at(crashingKey).versions
          == std::vector<std::string>{"v1", "v2"});
}

TEST_CASE("a new version that answers a withheld request may go on serving it")
{
    suspects_fixture world;
    for (int i = 0; i < 3; ++i)
        world.end({crashingKey});
    world.version = "v2";
    world.suspects.clear(crashingKey, "v2", world.now);
    CHECK(world.end({crashingKey}).empty());
    CHECK_FALSE(world.isWithheld(crashingKey));
    CHECK(world.suspects.isWithheld(crashingKey, "v1", world.now));
}

TEST_CASE("after an operator's release, three ends are needed again")
{
    suspects_fixture world;
    for (int i = 0; i < 3; ++i)
        world.end({crashingKey});
    world.suspects.release(crashingKey);
    CHECK_FALSE(world.isWithheld(crashingKey));
    CHECK(world.end({crashingKey}).empty());
    CHECK(world.end({crashingKey}).empty());
    CHECK(world.end({crashingKey}) == std::vector{crashingKey});
}

TEST_CASE("a suspicion expires after a fixed time")
{
    suspects_fixture world;
    world.end({crashingKey});
    world.now += crash_suspects::suspicionLifetime - seconds(1);
    CHECK(world.suspects.suspicionOf(crashingKey, world.now) == suspicion::weak);
    world.now += seconds(2);
    CHECK(world.suspects.suspicionOf(crashingKey, world.now) == suspicion::none);
}

TEST_CASE("a flood of unrepeated requests is bounded in memory and evicts no strong suspect")
{
    suspects_fixture world;
    world.end({crashingKey});
    world.end({crashingKey});
    for (std::uint64_t key = 1000; key < 1000 + 2 * crash_suspects::maxSuspects; key += 8) {
        world.end({key, key + 1, key + 2, key + 3, key + 4, key + 5, key + 6, key + 7});
        world.now -= milliseconds(90);
    }
    world.suspects.expire(world.now);
    CHECK(world.suspects.suspectCount() <= crash_suspects::maxSuspects);
    CHECK(world.suspects.endsOf(crashingKey) == 2);
    CHECK(world.suspects.withheld().empty());
}

TEST_CASE("another entry's finding is adopted and clears other requests at its endpoints")
{
    suspects_fixture world;
    world.end({harmlessKey});
    withheld_request reported{"pool", {"v1"}, {world.endpoint}, world.now + seconds(60), {}};
    CHECK(world.suspects.withhold(crashingKey, reported, world.now));
    CHECK_FALSE(world.suspects.withhold(crashingKey, reported, world.now));
    CHECK(world.isWithheld(crashingKey));
    CHECK(world.suspects.suspicionOf(harmlessKey, world.now) == suspicion::none);
    reported.until = world.now;
    CHECK_FALSE(world.suspects.withhold(3, reported, world.now));
}

TEST_CASE("an entry that missed earlier ends learns of them with the next one")
{
    suspects_fixture world;
    std::vector<recent_request> reported{
            {crashingKey, world.now, world.now + milliseconds(100), 3, {7, 8}}};
    const endpoint_end end{9, "pool", "v1", world.now + milliseconds(100)};
    CHECK(world.suspects.recordEnd(end, reported) == std::vector{crashingKey});
    CHECK(world.suspects.withheld().at(crashingKey).ended.size() == 3);
}

TEST_CASE("two requests that always end endpoints together are both withheld at the fifth end")
{
    suspects_fixture world;
    for (unsigned i = 1; i < crash_suspects::endsToWithholdUnstable; ++i)
        CHECK(world.end({crashingKey, harmlessKey}).empty());
    CHECK(world.end({crashingKey, harmlessKey}).size() == 2);
    CHECK(world.isWithheld(crashingKey));
    CHECK(world.isWithheld(harmlessKey));
}

TEST_CASE("a request withheld for another version is found beside a suspect")
{
    suspects_fixture world;
    for (int i = 0; i < 3; ++i)
        world.end({crashingKey});
    world.version = "v2";
    world.end({3});
    world.end({3});
    CHECK(world.end({crashingKey, 3}) == std::vector{crashingKey});
    CHECK(world.isWithheld(crashingKey));
}
