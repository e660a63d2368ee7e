//===-- CrashingRequestTests.cpp - requests that crash endpoints ------------===//
//
// Guards against a request that crashes every endpoint that runs it. Endpoints exit about 0.1 s
// after they begin it, even if the entry has cancelled it in the meantime for a larger model. The
// entry used to retry it at further endpoints, and the caller sent it again, with a new id, to any
// entry. No state about the request outlived its flow at one entry, so that all entries kept
// sending it, and endpoints that restarted after 4 s crashed again.
//
// Users reported 47 and 75 crashed endpoints in two incidents, during which a third of all requests
// failed. With real processes, 121 to 200 endpoints crashed in 18 s where 24 were listed, and the
// request was sent 100 to 177 times after the detection time. A key of caller, path and body was
// the same for each arrival and was among the recent requests of each crashed endpoint.
//
//===----------------------------------------------------------------------===//
#include "CrashFixture.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace laurelcroft;

namespace {

constexpr unsigned maxEnded = 6; ///< required bound for any number of entries
constexpr unsigned maxLaterArrivals = 3;

/// Simulates one crashing request with \p entryCount entries and checks the required bounds.
void checkCrasher(std::size_t entryCount, milliseconds pause, std::uint64_t seed)
{
    CAPTURE(entryCount);
    CAPTURE(pause.count());
    CAPTURE(seed);
    crash_fixture fixture(entryCount, seed);
    fixture.simulate(seconds(20), pause);
    CHECK(fixture.endedAt.size() >= 1);
    CHECK(fixture.endedAt.size() <= maxEnded);
    CHECK(fixture.laterArrivals() <= maxLaterArrivals);
    CHECK(fixture.outcomes["others"].share() >= 0.99);
    CHECK(fixture.outcomes["others"].withheld == 0);
}

} // namespace

TEST_CASE("a crashing request crashes at most six endpoints, for any number of entries")
{
    for (const std::size_t entryCount : {3, 12, 100}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            checkCrasher(entryCount, milliseconds(400), seed);
            checkCrasher(entryCount, milliseconds(200), seed);
        }
    }
}

TEST_CASE("no request is withheld when endpoints crash without a cause")
{
    // Eight of 24 endpoints crash each second, and a popular request runs at almost each of them.
    for (const std::size_t entryCount : {3, 12, 100}) {
        for (const std::uint64_t seed : {1, 2, 3, 4}) {
            CAPTURE(entryCount);
            CAPTURE(seed);
            crash_fixture fixture(entryCount, seed);
            fixture.unrelatedCrashInterval = milliseconds(130);
            fixture.popularRequestInterval = milliseconds(20);
            fixture.simulate(seconds(20), milliseconds(0));
            CHECK(fixture.outcomes["popular"].withheld == 0);
            CHECK(fixture.outcomes["others"].withheld == 0);
            for (fleet_entry &entry : fixture.entries.entries)
                CHECK(entry.routing.suspects().withheld().empty());
        }
    }
}

TEST_CASE("a crashing request is detected while endpoints also crash without a cause")
{
    for (const std::size_t entryCount : {3, 12, 100}) {
        CAPTURE(entryCount);
        crash_fixture fixture(entryCount);
        fixture.unrelatedCrashInterval = milliseconds(500);
        fixture.popularRequestInterval = milliseconds(40);
        fixture.simulate(seconds(20), milliseconds(400));
        CHECK(fixture.laterArrivals() <= maxLaterArrivals);
        CHECK(fixture.outcomes["popular"].withheld == 0);
        CHECK(fixture.outcomes["others"].withheld == 0);
    }
}

TEST_CASE("two crashing requests are both detected")
{
    for (const std::size_t entryCount : {3, 12, 100}) {
        CAPTURE(entryCount);
        crash_fixture fixture(entryCount);
        fixture.crashers = 2;
        fixture.simulate(seconds(20), milliseconds(200));
        CHECK(fixture.endedAt.size() <= 2 * maxEnded);
        CHECK(fixture.outcomes["others"].withheld == 0);
    }
}

TEST_CASE("a crashing request is detected without the store, and when datagrams are lost")
{
    for (const std::size_t entryCount : {3, 12, 100}) {
        CAPTURE(entryCount);
        crash_fixture without(entryCount);
        without.entries.store.away = true;
        without.simulate(seconds(5), milliseconds(400));
        CHECK(without.endedAt.size() <= maxEnded);

        crash_fixture lossy(entryCount);
        lossy.lostDatagrams = 0.5;
        lossy.simulate(seconds(20), milliseconds(400));
        CHECK(lossy.endedAt.size() <= maxEnded);
        CHECK(lossy.laterArrivals() <= maxLaterArrivals);
    }
    // With rows alone, a finding reaches all entries after one entry has seen two crashes. This is
    // not tested with a hundred entries: they may hardly retry, so that no entry sees two crashes,
    // and 4 to 25 later arrivals were observed.
    for (const std::size_t entryCount : {3, 12}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            CAPTURE(entryCount);
            CAPTURE(seed);
            crash_fixture silent(entryCount, seed);
            silent.lostDatagrams = 1;
            silent.simulate(seconds(20), milliseconds(400));
            CHECK(silent.laterArrivals() <= maxLaterArrivals);
        }
    }
}

TEST_CASE("many requests that each crash endpoints once cause no other request to be withheld")
{
    crash_fixture fixture(12);
    fixture.crashers = 1000;
    fixture.simulate(seconds(20), milliseconds(1500));
    CHECK(fixture.outcomes["others"].withheld == 0);
    for (fleet_entry &entry : fixture.entries.entries)
        CHECK(entry.routing.suspects().suspectCount() <= crash_suspects::maxSuspects);
}

TEST_CASE("a crashing request is tried at a new version and withheld there again")
{
    crash_fixture fixture(3);
    fixture.simulate(seconds(5), milliseconds(400));
    const std::size_t before = fixture.endedAt.size();
    CHECK(before >= crash_suspects::endsToWithhold);
    fixture.version = "v2";
    for (const std::string &id : std::set<std::string>(fixture.alive))
        fixture.endEndpoint(id);
    fixture.entries.runtime.advance(seconds(6));
    fixture.simulate(seconds(10), milliseconds(400));
    CHECK(fixture.endedAt.size() - before >= 1);
    CHECK(fixture.endedAt.size() - before <= 3);
}
