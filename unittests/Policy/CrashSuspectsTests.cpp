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
    suspects_fixture fixture;
    CHECK(fixture.suspects.isEmpty());
    CHECK(fixture.end({crashingKey}).empty());
    CHECK(fixture.suspects.suspicionOf(crashingKey, fixture.now) == suspicion::weak);
    CHECK(fixture.end({crashingKey}).empty());
    CHECK(fixture.suspects.suspicionOf(crashingKey, fixture.now) == suspicion::strong);
    CHECK(fixture.end({crashingKey}) == std::vector{crashingKey});
    CHECK(fixture.isWithheld(crashingKey));
    CHECK(fixture.suspects.withheld().at(crashingKey).ended.size() == 3);
    CHECK(fixture.suspects.withheldUntil(crashingKey, fixture.now)
          == fixture.now + crash_suspects::withheldFor);
    fixture.now += crash_suspects::withheldFor;
    CHECK_FALSE(fixture.isWithheld(crashingKey));
    fixture.suspects.expire(fixture.now);
    CHECK(fixture.suspects.isEmpty());
}

TEST_CASE("ends of concurrent runs of a request count as one")
{
    suspects_fixture fixture;
    const time_point sentAt = fixture.now;
    fixture.now += milliseconds(300);
    for (std::uint64_t endpoint = 1; endpoint <= 8; ++endpoint) {
        std::vector<recent_request> recent{{harmlessKey, sentAt, fixture.now, 0, {}}};
        CHECK(fixture.suspects.recordEnd({endpoint, "pool", "v1", fixture.now}, recent).empty());
        fixture.now += milliseconds(25);
    }
    CHECK(fixture.suspects.endsOf(harmlessKey) == 1);
}

TEST_CASE("an end that several entries report counts once")
{
    suspects_fixture fixture;
    for (int entry = 0; entry < 3; ++entry) {
        fixture.now += milliseconds(2);
        std::vector<recent_request> recent{
                {crashingKey, fixture.now - milliseconds(1), fixture.now, 0, {}}};
        fixture.suspects.recordEnd({7, "pool", "v1", fixture.now}, recent);
    }
    CHECK(fixture.suspects.endsOf(crashingKey) == 1);
}

TEST_CASE("a request that was answered is not suspected for that version")
{
    suspects_fixture fixture;
    fixture.end({harmlessKey});
    fixture.suspects.clear(harmlessKey, "v1", fixture.now);
    for (int i = 0; i < 8; ++i)
        CHECK(fixture.end({harmlessKey}).empty());
    CHECK(fixture.suspects.suspicionOf(harmlessKey, fixture.now) == suspicion::none);
    fixture.version = "v2";
    fixture.end({harmlessKey});
    CHECK(fixture.suspects.suspicionOf(harmlessKey, fixture.now) == suspicion::weak);
}

TEST_CASE("requests beside one with two earlier ends are cleared")
{
    suspects_fixture fixture;
    fixture.end({crashingKey, harmlessKey});
    fixture.end({crashingKey, harmlessKey});
    // Both have two ends: they are sent separately from now on, and only one ends its endpoint.
    CHECK(fixture.suspects.endsOf(harmlessKey) == 2);
    CHECK(fixture.end({crashingKey, 5, 6, 7}) == std::vector{crashingKey});
    for (const std::uint64_t key :
         {harmlessKey, std::uint64_t(5), std::uint64_t(6), std::uint64_t(7)})
        CHECK(fixture.suspects.suspicionOf(key, fixture.now) == suspicion::none);
}

TEST_CASE("another entry's earlier ends explain an end, reported before or after the own ones")
{
    for (const bool isReportedFirst : {true, false}) {
        CAPTURE(isReportedFirst);
        suspects_fixture fixture;
        std::vector<recent_request> own{
                {harmlessKey, fixture.now, fixture.now + milliseconds(100), 0, {}}};
        std::vector<recent_request> reported{
                {crashingKey, fixture.now, fixture.now + milliseconds(100), 3, {}}};
        const endpoint_end end{9, "pool", "v1", fixture.now + milliseconds(100)};
        if (isReportedFirst)
            fixture.suspects.recordEnd(end, reported);
        fixture.suspects.recordEnd(end, own);
        if (!isReportedFirst)
            fixture.suspects.recordEnd(end, reported);
        CHECK(fixture.suspects.suspicionOf(harmlessKey, end.at) == suspicion::none);
        CHECK(fixture.suspects.suspicionOf(crashingKey, end.at) != suspicion::none);
    }
}

TEST_CASE("five ends are needed while endpoints also terminate for other reasons")
{
    suspects_fixture fixture;
    for (std::size_t i = 0; i < crash_suspects::minUnexplainedEnds; ++i)
        fixture.end({1000 + i});
    for (unsigned i = 1; i < crash_suspects::endsToWithholdUnstable; ++i)
        CHECK(fixture.end({crashingKey}).empty());
    CHECK(fixture.end({crashingKey}) == std::vector{crashingKey});
}

TEST_CASE("a withheld request is sent to a new version once")
{
    suspects_fixture fixture;
    for (int i = 0; i < 3; ++i)
        fixture.end({crashingKey});
    fixture.version = "v2";
    CHECK_FALSE(fixture.isWithheld(crashingKey));
    CHECK(fixture.suspects.suspicionOf(crashingKey, fixture.now) == suspicion::strong);
    CHECK(fixture.end({crashingKey}) == std::vector{crashingKey});
    CHECK(fixture.isWithheld(crashingKey));
    CHECK(fixture.suspects.withheld().at(crashingKey).versions
          == std::vector<std::string>{"v1", "v2"});
}

TEST_CASE("a new version that answers a withheld request may go on serving it")
{
    suspects_fixture fixture;
    for (int i = 0; i < 3; ++i)
        fixture.end({crashingKey});
    fixture.version = "v2";
    fixture.suspects.clear(crashingKey, "v2", fixture.now);
    CHECK(fixture.end({crashingKey}).empty());
    CHECK_FALSE(fixture.isWithheld(crashingKey));
    CHECK(fixture.suspects.isWithheld(crashingKey, "v1", fixture.now));
}

TEST_CASE("after an operator's release, three ends are needed again")
{
    suspects_fixture fixture;
    for (int i = 0; i < 3; ++i)
        fixture.end({crashingKey});
    fixture.suspects.release(crashingKey);
    CHECK_FALSE(fixture.isWithheld(crashingKey));
    CHECK(fixture.end({crashingKey}).empty());
    CHECK(fixture.end({crashingKey}).empty());
    CHECK(fixture.end({crashingKey}) == std::vector{crashingKey});
}

TEST_CASE("a suspicion expires after a fixed time")
{
    suspects_fixture fixture;
    fixture.end({crashingKey});
    fixture.now += crash_suspects::suspicionLifetime - seconds(1);
    CHECK(fixture.suspects.suspicionOf(crashingKey, fixture.now) == suspicion::weak);
    fixture.now += seconds(2);
    CHECK(fixture.suspects.suspicionOf(crashingKey, fixture.now) == suspicion::none);
}

TEST_CASE("a flood of unrepeated requests is bounded in memory and evicts no strong suspect")
{
    suspects_fixture fixture;
    fixture.end({crashingKey});
    fixture.end({crashingKey});
    for (std::uint64_t key = 1000; key < 1000 + 2 * crash_suspects::maxSuspects; key += 8) {
        fixture.end({key, key + 1, key + 2, key + 3, key + 4, key + 5, key + 6, key + 7});
        fixture.now -= milliseconds(90);
    }
    fixture.suspects.expire(fixture.now);
    CHECK(fixture.suspects.suspectCount() <= crash_suspects::maxSuspects);
    CHECK(fixture.suspects.endsOf(crashingKey) == 2);
    CHECK(fixture.suspects.withheld().empty());
}

TEST_CASE("another entry's finding is adopted and clears other requests at its endpoints")
{
    suspects_fixture fixture;
    fixture.end({harmlessKey});
    withheld_request reported{"pool", {"v1"}, {fixture.endpoint}, fixture.now + seconds(60), {}};
    CHECK(fixture.suspects.withhold(crashingKey, reported, fixture.now));
    CHECK_FALSE(fixture.suspects.withhold(crashingKey, reported, fixture.now));
    CHECK(fixture.isWithheld(crashingKey));
    CHECK(fixture.suspects.suspicionOf(harmlessKey, fixture.now) == suspicion::none);
    reported.until = fixture.now;
    CHECK_FALSE(fixture.suspects.withhold(3, reported, fixture.now));
}

TEST_CASE("an entry that missed earlier ends learns of them with the next one")
{
    suspects_fixture fixture;
    std::vector<recent_request> reported{
            {crashingKey, fixture.now, fixture.now + milliseconds(100), 3, {7, 8}}};
    const endpoint_end end{9, "pool", "v1", fixture.now + milliseconds(100)};
    CHECK(fixture.suspects.recordEnd(end, reported) == std::vector{crashingKey});
    CHECK(fixture.suspects.withheld().at(crashingKey).ended.size() == 3);
}

TEST_CASE("two requests that always end endpoints together are both withheld at the fifth end")
{
    suspects_fixture fixture;
    for (unsigned i = 1; i < crash_suspects::endsToWithholdUnstable; ++i)
        CHECK(fixture.end({crashingKey, harmlessKey}).empty());
    CHECK(fixture.end({crashingKey, harmlessKey}).size() == 2);
    CHECK(fixture.isWithheld(crashingKey));
    CHECK(fixture.isWithheld(harmlessKey));
}

TEST_CASE("a request withheld for another version is found beside a suspect")
{
    suspects_fixture fixture;
    for (int i = 0; i < 3; ++i)
        fixture.end({crashingKey});
    fixture.version = "v2";
    fixture.end({3});
    fixture.end({3});
    CHECK(fixture.end({crashingKey, 3}) == std::vector{crashingKey});
    CHECK(fixture.isWithheld(crashingKey));
}

TEST_CASE("harmless prompt parts that were run before are not withheld beside a crashing one")
{
    suspects_fixture fixture;
    const std::uint64_t crashingPart = partKeyFrom(1);
    const std::uint64_t sharedPart = partKeyFrom(2);
    fixture.suspects.prove(std::vector{sharedPart}, "v1", fixture.now);
    CHECK(fixture.suspects.isEmpty());
    for (std::uint64_t request = 10; request < 12; ++request)
        CHECK(fixture.end({sharedPart, crashingPart, request}).empty());
    CHECK(fixture.end({sharedPart, crashingPart, 12}) == std::vector{crashingPart});
    CHECK(fixture.suspects.endsOf(sharedPart) == 0);
    const std::vector<std::uint64_t> innocent{sharedPart, 13};
    CHECK_FALSE(fixture.suspects.withholdingKey(innocent, "v1", fixture.now));
    const std::vector<std::uint64_t> next{sharedPart, crashingPart, 14};
    CHECK(fixture.suspects.withholdingKey(next, "v1", fixture.now) == crashingPart);
    CHECK_FALSE(fixture.suspects.withholdingKey(next, "v2", fixture.now));
}

TEST_CASE("of two prompt parts with the same ends, a request with only one is tried")
{
    suspects_fixture fixture;
    const std::uint64_t crashingPart = partKeyFrom(1);
    const std::uint64_t harmlessPart = partKeyFrom(2);
    for (std::uint64_t request = 10; request < 13; ++request)
        fixture.end({crashingPart, harmlessPart, request});
    const auto isWithheld = [&](std::vector<std::uint64_t> keys) {
        return fixture.suspects.withholdingKey(keys, "v1", fixture.now).has_value();
    };
    CHECK(isWithheld({crashingPart, harmlessPart, 14}));
    CHECK_FALSE(isWithheld({crashingPart, 15}));
    CHECK_FALSE(isWithheld({harmlessPart, 16}));
    CHECK(fixture.suspects.suspicionOf(harmlessPart, fixture.now) == suspicion::strong);

    SUBCASE("the crashing one ends another endpoint without the harmless one")
    {
        fixture.end({crashingPart, 15});
        CHECK(fixture.suspects.takeWidened() == std::vector{crashingPart});
        CHECK(isWithheld({crashingPart, 17}));
        CHECK_FALSE(isWithheld({harmlessPart, 18}));
    }
    SUBCASE("the harmless one is answered")
    {
        fixture.suspects.clear(harmlessPart, "v1", fixture.now);
        CHECK(isWithheld({crashingPart, 17}));
        CHECK_FALSE(isWithheld({harmlessPart, 18}));
    }
}
