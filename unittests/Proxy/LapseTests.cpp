//===-- LapseTests.cpp - endpoint rows that expire ------------------------===//
//
// The store is unavailable for some seconds, and the rows of all endpoints expire meanwhile
// although the endpoints are alive. The tests check which endpoints each entry may use throughout.
//
//===----------------------------------------------------------------------===//
#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <limits>

using namespace laurelcroft;

namespace {

constexpr unsigned endpoints = 60;
constexpr std::size_t fewEntries = 40;
constexpr milliseconds heartbeat{1200};
/// Rows of live endpoints are written again within this time after the store returns.
constexpr milliseconds recoveryBound{2000};
constexpr milliseconds checkInterval{50};

std::string idOf(unsigned number)
{
    return "p" + std::to_string(number);
}

/// A fleet of entries and endpoints that send heartbeats, each at its own time.
struct lapse_fixture
{
    fleet entries;
    /// Lowest number of usable endpoints seen at any entry.
    std::size_t minUsable = std::numeric_limits<std::size_t>::max();

    explicit lapse_fixture(std::size_t count = fewEntries)
    {
        addInitialRows(entries);
        entries.start(0, count);
        for (unsigned i = 0; i < endpoints; ++i)
            beat(i, heartbeat * i / endpoints);
        entries.runtime.advance(seconds(5));
    }

    /// Writes the endpoint's row after \p wait and then once per heartbeat, while the endpoint is
    /// alive and the store available.
    void beat(unsigned number, duration wait)
    {
        entries.runtime.after(wait, [this, number] {
            if (dead.count(number) == 0 && !entries.store.away)
                entries.store.put("endpoints", idOf(number), "v1");
            beat(number, heartbeat);
        });
    }

    std::size_t usableAt(fleet_entry &entry)
    {
        // Expire lapsed records first, as is done before each send.
        entry.routing.directory().expire(entries.runtime.now());
        return entry.routing.directory().usable("pool").size();
    }

    /// Advances the clock and records the lowest number of usable endpoints at any running entry.
    void pass(duration time)
    {
        for (duration passed{0}; passed < time; passed += checkInterval) {
            entries.runtime.advance(checkInterval);
            for (fleet_entry &entry : entries.entries) {
                if (entry.store.isUp && entry.routing.contract())
                    minUsable = std::min(minUsable, usableAt(entry));
            }
        }
    }

    void lapseAll()
    {
        for (unsigned i = 0; i < endpoints; ++i)
            entries.store.remove("endpoints", idOf(i));
    }

    /// Makes the store unavailable, expires all rows, and makes it available again.
    void outage(duration time)
    {
        entries.store.away = true;
        pass(time / 2);
        lapseAll();
        pass(time / 2);
        entries.store.away = false;
    }

    std::set<unsigned> dead;
};

} // namespace

TEST_CASE("endpoints whose rows expire in an outage and return stay usable at every entry")
{
    // Entries that read from others once kept none of 60 endpoints after an outage, because the
    // readers did not tell them that the store was back.
    lapse_fixture fixture;
    for (const int ms : {4000, 9000}) {
        CAPTURE(ms);
        fixture.outage(milliseconds(ms));
        fixture.pass(seconds(6));
        CHECK(fixture.minUsable == endpoints);
    }
}

TEST_CASE("after an outage too short for all entries to notice, every entry knows all endpoints "
          "once their rows are back")
{
    // Only the readers notice the outage. The other entries cannot distinguish it from a reader
    // that is cut off, and stop using removed endpoints until their rows are back.
    lapse_fixture fixture;
    for (const int ms : {600, 1500}) {
        CAPTURE(ms);
        fixture.outage(milliseconds(ms));
        fixture.pass(recoveryBound);
        for (fleet_entry &entry : fixture.entries.entries)
            CHECK(fixture.usableAt(entry) == endpoints);
    }
}

TEST_CASE("endpoints stay usable when calls hang during the outage")
{
    lapse_fixture fixture;
    fixture.entries.store.awayDelay = milliseconds(900);
    fixture.outage(seconds(4));
    fixture.pass(seconds(6));
    CHECK(fixture.minUsable == endpoints);
}

TEST_CASE("endpoints stay usable when the store drops its history as it returns")
{
    lapse_fixture fixture;
    fixture.entries.store.hasLostHistory = true;
    fixture.outage(seconds(4));
    fixture.pass(seconds(1));
    fixture.entries.store.hasLostHistory = false;
    fixture.pass(seconds(6));
    CHECK(fixture.minUsable == endpoints);
}

TEST_CASE("endpoints stay usable when first the other entries and then the readers lose the store")
{
    lapse_fixture fixture;
    for (const bool readersAway : {false, true}) {
        for (fleet_entry &entry : fixture.entries.entries)
            entry.store.rejectsCalls = entry.readers.empty() == readersAway;
        fixture.pass(seconds(4));
        fixture.outage(seconds(3));
        for (fleet_entry &entry : fixture.entries.entries)
            entry.store.rejectsCalls = false;
        fixture.pass(seconds(6));
        CHECK(fixture.minUsable == endpoints);
    }
}

TEST_CASE("endpoints stay usable when an entry starts during the outage")
{
    lapse_fixture fixture;
    fixture.entries.store.away = true;
    fixture.pass(milliseconds(500));
    fixture.entries.start(fewEntries, fewEntries + 1);
    fixture.pass(seconds(1));
    fixture.outage(seconds(3));
    fixture.pass(seconds(6));
    CHECK(fixture.minUsable == endpoints);
}

TEST_CASE("an entry that starts late in an outage uses the rows that the others still trust")
{
    lapse_fixture fixture;
    fixture.entries.store.away = true;
    fixture.pass(seconds(5));
    fixture.entries.start(fewEntries, fewEntries + 1);
    fixture.pass(seconds(1));
    CHECK(fixture.entries.entries.back().isReady());
    CHECK(fixture.usableAt(fixture.entries.entries.back()) == endpoints);
    fixture.outage(seconds(2));
    fixture.pass(seconds(6));
    CHECK(fixture.minUsable == endpoints);
}

TEST_CASE("all entries know all endpoints soon after an outage in which the readers lost power")
{
    lapse_fixture fixture;
    fixture.entries.store.away = true;
    fixture.pass(seconds(1));
    for (fleet_entry &entry : fixture.entries.entries) {
        if (entry.readers.empty())
            entry.store.isUp = false;
    }
    fixture.outage(seconds(3));
    fixture.pass(seconds(6));
    for (fleet_entry &entry : fixture.entries.entries) {
        if (entry.store.isUp)
            CHECK(fixture.usableAt(entry) == endpoints);
    }
}

TEST_CASE("no entry uses an endpoint that died in the outage")
{
    lapse_fixture fixture;
    fixture.dead.insert(7);
    fixture.outage(seconds(4));
    fixture.pass(recoveryBound);
    // The dead endpoint may go earlier; the live ones stay.
    CHECK(fixture.minUsable >= endpoints - 1);
    // The grace period, one read of a reader, and one read of the other entries.
    fixture.pass(milliseconds(200) + seconds(2));
    for (fleet_entry &entry : fixture.entries.entries) {
        CHECK(fixture.usableAt(entry) == endpoints - 1);
        CHECK(entry.routing.directory().all().count(idOf(7)) == 0);
    }
}

TEST_CASE("an endpoint that returns after it was dropped is known to all entries again")
{
    lapse_fixture fixture;
    fixture.dead.insert(7);
    fixture.entries.store.remove("endpoints", idOf(7));
    fixture.pass(seconds(3));
    CHECK(fixture.minUsable == endpoints - 1);
    fixture.dead.clear();
    fixture.pass(seconds(3));
    for (fleet_entry &entry : fixture.entries.entries)
        CHECK(fixture.usableAt(entry) == endpoints);
}

TEST_CASE("an endpoint that leaves while only the readers have lost the store is no longer used "
          "within the bound")
{
    // The endpoint never announces that it leaves: its row is removed. The other entries cannot
    // know that the store was available all the time, only how long ago they last heard from it.
    for (int i = 0; i < 10; ++i) {
        lapse_fixture fixture;
        fixture.pass(milliseconds(170 * i));
        for (fleet_entry &entry : fixture.entries.entries)
            entry.store.rejectsCalls = entry.readers.empty();
        fixture.pass(milliseconds(400));
        fixture.dead.insert(7);
        fixture.entries.store.remove("endpoints", idOf(7));
        fixture.pass(changeBound);
        for (fleet_entry &entry : fixture.entries.entries) {
            if (!entry.store.rejectsCalls)
                CHECK(fixture.usableAt(entry) == endpoints - 1);
        }
    }
}

/// Makes one of two readers lose the store for some seconds while an endpoint leaves without
/// announcing it.
/// \returns how many of the other entries still use the endpoint after the bound.
static std::size_t sendersAfterBound(std::size_t count, milliseconds phase)
{
    lapse_fixture fixture(count);
    fleet_entry *reader = nullptr;
    for (fleet_entry &entry : fixture.entries.entries)
        reader = entry.readers.empty() ? &entry : reader;
    reader->store.rejectsCalls = true;
    fixture.pass(seconds(3) + phase);
    fixture.dead.insert(7);
    fixture.entries.store.remove("endpoints", idOf(7));
    // The reader regains the store just before it would have learned of the removal in time.
    fixture.pass(milliseconds(50));
    reader->store.rejectsCalls = false;
    fixture.pass(changeBound - milliseconds(50));
    std::size_t senders = 0;
    for (fleet_entry &entry : fixture.entries.entries) {
        const bool isOther = &entry != reader;
        senders += isOther && fixture.usableAt(entry) == endpoints ? 1 : 0;
    }
    return senders;
}

TEST_CASE("an endpoint that leaves while one reader has lost the store is no longer used within "
          "the bound")
{
    // That reader keeps the endpoint after its own loss. The other entries read changes from both
    // readers in turn, so the removal may fall between two reads.
    constexpr int phases = 30;
    for (int i = 0; i < phases; ++i) {
        CHECK(sendersAfterBound(3, milliseconds(47 * i)) == 0);
        CHECK(sendersAfterBound(fewEntries, milliseconds(47 * i)) == 0);
    }
}
