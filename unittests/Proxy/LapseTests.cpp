//===-- LapseTests.cpp - endpoints whose rows lapse with the store ----------===//
//
// The store is away for some seconds and the rows of all endpoints lapse meanwhile, although each
// endpoint lives. What every entry may send to is looked at all the time.
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
/// Rows of living endpoints are back this long after the store.
constexpr milliseconds backWithin{2000};
constexpr milliseconds look{50};

std::string idOf(unsigned number)
{
    return "p" + std::to_string(number);
}

/// A fleet before endpoints that heartbeat, each at its own moment.
struct lapse_world
{
    fleet entries;
    std::size_t fewest = std::numeric_limits<std::size_t>::max(); ///< usable at any entry, ever

    explicit lapse_world(std::size_t count = fewEntries)
    {
        addInitialRows(entries);
        entries.start(0, count);
        for (unsigned i = 0; i < endpoints; ++i)
            beat(i, heartbeat * i / endpoints);
        entries.runtime.advance(seconds(5));
    }

    /// The endpoint writes its row from \p wait on, as long as it lives and the store is there.
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
        // As before each send.
        entry.routing.directory().expire(entries.runtime.now());
        return entry.routing.directory().usable("pool").size();
    }

    /// Lets time pass and notes the fewest usable endpoints of any entry that is up.
    void pass(duration time)
    {
        for (duration passed{0}; passed < time; passed += look) {
            entries.runtime.advance(look);
            for (fleet_entry &entry : entries.entries) {
                if (entry.store.isUp && entry.routing.contract())
                    fewest = std::min(fewest, usableAt(entry));
            }
        }
    }

    void lapseAll()
    {
        for (unsigned i = 0; i < endpoints; ++i)
            entries.store.remove("endpoints", idOf(i));
    }

    /// The store goes, all rows lapse, and it comes back.
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

TEST_CASE("endpoints whose rows lapse in an outage and return stay usable at every entry")
{
    // Before readers told of the return, entries that they read for kept none of 60 endpoints
    // from the outage on.
    lapse_world world;
    for (const int ms : {4000, 9000}) {
        CAPTURE(ms);
        world.outage(milliseconds(ms));
        world.pass(seconds(6));
        CHECK(world.fewest == endpoints);
    }
}

TEST_CASE("after an outage too short to be noticed by all, every entry knows all endpoints with "
          "their rows")
{
    // Only the readers notice it. The others can't tell it from a reader that is cut off, and leave
    // alone what is said to be gone until its row is back.
    lapse_world world;
    for (const int ms : {600, 1500}) {
        CAPTURE(ms);
        world.outage(milliseconds(ms));
        world.pass(backWithin);
        for (fleet_entry &entry : world.entries.entries)
            CHECK(world.usableAt(entry) == endpoints);
    }
}

TEST_CASE("the same when calls hang while the store is away")
{
    lapse_world world;
    world.entries.store.awayDelay = milliseconds(900);
    world.outage(seconds(4));
    world.pass(seconds(6));
    CHECK(world.fewest == endpoints);
}

TEST_CASE("the same when the store forgets its history at its return")
{
    lapse_world world;
    world.entries.store.forgetful = true;
    world.outage(seconds(4));
    world.pass(seconds(1));
    world.entries.store.forgetful = false;
    world.pass(seconds(6));
    CHECK(world.fewest == endpoints);
}

TEST_CASE("the same when all but the readers are turned away, and then the readers are")
{
    lapse_world world;
    for (const bool readersAway : {false, true}) {
        for (fleet_entry &entry : world.entries.entries)
            entry.store.rejectsCalls = entry.readers.empty() == readersAway;
        world.pass(seconds(4));
        world.outage(seconds(3));
        for (fleet_entry &entry : world.entries.entries)
            entry.store.rejectsCalls = false;
        world.pass(seconds(6));
        CHECK(world.fewest == endpoints);
    }
}

TEST_CASE("the same when an entry starts while the store is away")
{
    lapse_world world;
    world.entries.store.away = true;
    world.pass(milliseconds(500));
    world.entries.start(fewEntries, fewEntries + 1);
    world.pass(seconds(1));
    world.outage(seconds(3));
    world.pass(seconds(6));
    CHECK(world.fewest == endpoints);
}

TEST_CASE("an entry that starts late in an outage goes by what the others still believe")
{
    lapse_world world;
    world.entries.store.away = true;
    world.pass(seconds(5));
    world.entries.start(fewEntries, fewEntries + 1);
    world.pass(seconds(1));
    CHECK(world.entries.entries.back().isReady());
    CHECK(world.usableAt(world.entries.entries.back()) == endpoints);
    world.outage(seconds(2));
    world.pass(seconds(6));
    CHECK(world.fewest == endpoints);
}

TEST_CASE("when the readers lose power in the outage, all entries know all endpoints soon after")
{
    lapse_world world;
    world.entries.store.away = true;
    world.pass(seconds(1));
    for (fleet_entry &entry : world.entries.entries) {
        if (entry.readers.empty())
            entry.store.isUp = false;
    }
    world.outage(seconds(3));
    world.pass(seconds(6));
    for (fleet_entry &entry : world.entries.entries) {
        if (entry.store.isUp)
            CHECK(world.usableAt(entry) == endpoints);
    }
}

TEST_CASE("an endpoint that died in the outage is left alone by all entries")
{
    lapse_world world;
    world.dead.insert(7);
    world.outage(seconds(4));
    world.pass(backWithin);
    // The dead one may go before; those that live stay.
    CHECK(world.fewest >= endpoints - 1);
    // The grace, one read of a reader, and one of the others.
    world.pass(milliseconds(200) + seconds(2));
    for (fleet_entry &entry : world.entries.entries) {
        CHECK(world.usableAt(entry) == endpoints - 1);
        CHECK(entry.routing.directory().all().count(idOf(7)) == 0);
    }
}

TEST_CASE("an endpoint that returns after it was dropped is known to all entries again")
{
    lapse_world world;
    world.dead.insert(7);
    world.entries.store.remove("endpoints", idOf(7));
    world.pass(seconds(3));
    CHECK(world.fewest == endpoints - 1);
    world.dead.clear();
    world.pass(seconds(3));
    for (fleet_entry &entry : world.entries.entries)
        CHECK(world.usableAt(entry) == endpoints);
}

TEST_CASE("where only the readers lose the store, an endpoint that leaves is left alone in time")
{
    // It never says that it leaves: its row goes. The others can't know that the store was there
    // all the time, but for how long they have not heard of it.
    for (int i = 0; i < 10; ++i) {
        lapse_world world;
        world.pass(milliseconds(170 * i));
        for (fleet_entry &entry : world.entries.entries)
            entry.store.rejectsCalls = entry.readers.empty();
        world.pass(milliseconds(400));
        world.dead.insert(7);
        world.entries.store.remove("endpoints", idOf(7));
        world.pass(changeBound);
        for (fleet_entry &entry : world.entries.entries) {
            if (!entry.store.rejectsCalls)
                CHECK(world.usableAt(entry) == endpoints - 1);
        }
    }
}

/// Plays one of two readers that loses the store for some seconds while an endpoint leaves without
/// a word. \returns how many of the other entries still send there when the bound has passed.
static std::size_t sendersAfterBound(std::size_t count, milliseconds phase)
{
    lapse_world world(count);
    fleet_entry *reader = nullptr;
    for (fleet_entry &entry : world.entries.entries)
        reader = entry.readers.empty() ? &entry : reader;
    reader->store.rejectsCalls = true;
    world.pass(seconds(3) + phase);
    world.dead.insert(7);
    world.entries.store.remove("endpoints", idOf(7));
    // It is back just before it would have heard in time.
    world.pass(milliseconds(50));
    reader->store.rejectsCalls = false;
    world.pass(changeBound - milliseconds(50));
    std::size_t senders = 0;
    for (fleet_entry &entry : world.entries.entries) {
        const bool isOther = &entry != reader;
        senders += isOther && world.usableAt(entry) == endpoints ? 1 : 0;
    }
    return senders;
}

TEST_CASE("where one reader loses the store for a while, an endpoint that leaves is left alone in "
          "time")
{
    // That reader keeps the endpoint after its own loss. The others ask both by turns for what is
    // newer than they have, so that the removal may fall between two turns.
    constexpr int phases = 30;
    for (int i = 0; i < phases; ++i) {
        CHECK(sendersAfterBound(3, milliseconds(47 * i)) == 0);
        CHECK(sendersAfterBound(fewEntries, milliseconds(47 * i)) == 0);
    }
}
