//===-- FleetStartTests.cpp - many entries start together -------------------===//
//
// A hundred entries over one store in memory, which read each other's mirrors as the relays
// do: what a start costs the store, and how long it takes.
//
//===----------------------------------------------------------------------===//
#include "EntryFleet.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("a hundred entries that start together call the store twice each, not nineteen times")
{
    fleet fleet;
    addInitialRows(fleet);
    fleet.start(0, fleetSize);
    fleet.runtime.advance(milliseconds(100));
    CHECK(fleet.ready() == fleetSize);
    fleet.runtime.advance(milliseconds(1900));
    CHECK(fleet.calls() <= 2 * fleetSize);
}

/// \returns calls to the store in ten seconds of rest at \p entries entries.
static unsigned callsAtRest(std::size_t entries)
{
    fleet fleet;
    addInitialRows(fleet);
    fleet.start(0, entries);
    fleet.runtime.advance(seconds(5));
    const unsigned before = fleet.calls();
    fleet.runtime.advance(seconds(10));
    return fleet.calls() - before;
}

TEST_CASE("at rest two entries read the store for all, as often for four hundred as for fifty")
{
    // A feed each 0.8 s and two held calls at each of both.
    const unsigned few = callsAtRest(50);
    CHECK(few <= 80);
    for (const std::size_t entries : {100, 400})
        CHECK(callsAtRest(entries) <= few + 5);
}

TEST_CASE("at a first start nobody but the first peers and the readers lists tables")
{
    fleet fleet;
    fleet.isFirstStart = true;
    addInitialRows(fleet);
    fleet.start(0, fleetSize);
    fleet.runtime.advance(seconds(2));
    CHECK(fleet.ready() == fleetSize);
    CHECK(fleet.store.lists <= 3 * firstPeers);
    CHECK(fleet.store.writes <= 3 * firstPeers);
    CHECK(fleet.calls() <= 50);
    // All are listed, each with its own place.
    for (fleet_entry &entry : fleet.entries) {
        const entry_place place
                = decodeEntry(fleet.store.valueOf(std::string(ownTable), entryKey(entry.name)));
        CHECK(place.address == entry.address);
        CHECK(place.wallAhead);
        CHECK(entry.routing.entries() == fleetSize);
    }
}

TEST_CASE("an entry whose peers do not write its row writes it itself")
{
    fleet fleet;
    addInitialRows(fleet);
    fleet.start(0, firstPeers);
    fleet.runtime.advance(seconds(2));
    // The peers reach no store any more, but give on what they know.
    for (fleet_entry &entry : fleet.entries)
        entry.store.rejectsCalls = true;
    fleet.start(firstPeers, firstPeers + 1);
    fleet.runtime.advance(seconds(1));
    CHECK(fleet.store.valueOf(std::string(ownTable), entryKey(fleet.entries.back().name)).empty());
    fleet.runtime.advance(seconds(3));
    CHECK_FALSE(fleet.store.valueOf(std::string(ownTable), entryKey(fleet.entries.back().name))
                        .empty());
}

TEST_CASE("entries that are restarted together wait for none of the first peers, which come last")
{
    fleet fleet;
    addInitialRows(fleet);
    fleet.start(0, fleetSize);
    fleet.runtime.advance(seconds(5));
    fleet.powerOff();
    const unsigned before = fleet.calls();
    fleet.start(firstPeers, fleetSize);
    fleet.runtime.advance(milliseconds(150));
    CHECK(fleet.ready() == fleetSize - firstPeers);
    fleet.start(0, firstPeers);
    fleet.runtime.advance(milliseconds(150));
    CHECK(fleet.ready() == fleetSize);
    fleet.runtime.advance(milliseconds(1700));
    CHECK(fleet.calls() - before <= 2 * fleetSize);
}

TEST_CASE("an entry that starts among others takes all from them and writes its own row")
{
    fleet fleet;
    addInitialRows(fleet);
    fleet.start(0, fleetSize);
    fleet.runtime.advance(seconds(5));
    const unsigned lists = fleet.store.lists;
    const unsigned writes = fleet.store.writes;
    fleet.start(fleetSize, fleetSize + 1);
    fleet.runtime.advance(milliseconds(50));
    CHECK(fleet.ready() == fleetSize + 1);
    fleet.runtime.advance(seconds(1));
    CHECK(fleet.store.lists == lists);
    CHECK(fleet.store.writes == writes + 1);
}

TEST_CASE("an entry writes few lines of single endpoints, however many come at once")
{
    fleet fleet;
    fleet.store.put("orders", "contract", "7");
    fleet.store.put("endpoints", "p", "v1");
    fleet.start(0, 3);
    fleet.runtime.advance(seconds(2));
    constexpr unsigned added = 300;
    for (unsigned i = 0; i < added; ++i)
        fleet.store.put("endpoints", "q" + std::to_string(i), "v1");
    fleet.runtime.advance(seconds(5));
    for (fleet_entry &entry : fleet.entries) {
        REQUIRE(entry.routing.directory().all().size() == added + 1);
        // All come with one read; the limit holds 20 lines.
        CHECK(entry.metrics.prometheusText().find("log_lines_held_total 280") != std::string::npos);
    }
}
