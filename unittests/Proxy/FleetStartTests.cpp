//===-- FleetStartTests.cpp - many entries start together -------------------===//
//
// Start of a hundred entries that share one in-memory store and read each other's row mirrors: how
// many store calls it causes, and how long it takes.
//
//===----------------------------------------------------------------------===//
#include "EntryFleet.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("a hundred entries that start together make at most two store calls each")
{
    fleet fleet;
    addInitialRows(fleet);
    fleet.start(0, fleetSize);
    fleet.runtime.advance(milliseconds(100));
    CHECK(fleet.ready() == fleetSize);
    fleet.runtime.advance(milliseconds(1900));
    // An earlier version made nineteen calls per entry.
    CHECK(fleet.calls() <= 2 * fleetSize);
}

/// \returns the number of store calls that \p entries idle entries make in ten seconds.
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

TEST_CASE("store calls of an idle fleet do not grow with the number of entries")
{
    // Two entries read the store for all others. Each makes a feed call every 0.8 s and two
    // long-polling calls.
    const unsigned few = callsAtRest(50);
    CHECK(few <= 80);
    for (const std::size_t entries : {100, 400})
        CHECK(callsAtRest(entries) <= few + 5);
}

TEST_CASE("at the first start only the first peers and the readers list tables")
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
    // Every entry has a row with its own address.
    for (fleet_entry &entry : fleet.entries) {
        const entry_info place = decodeEntry(
                fleet.store.valueOf(std::string(internalTable), entryKey(entry.name)));
        CHECK(place.address == entry.address);
        CHECK(place.wallClockOffset);
        CHECK(entry.routing.entries() == fleetSize);
    }
}

TEST_CASE("an entry writes its own row if its peers do not")
{
    fleet fleet;
    addInitialRows(fleet);
    fleet.start(0, firstPeers);
    fleet.runtime.advance(seconds(2));
    // The peers lose the store but still serve their mirrors.
    for (fleet_entry &entry : fleet.entries)
        entry.store.rejectsCalls = true;
    fleet.start(firstPeers, firstPeers + 1);
    fleet.runtime.advance(seconds(1));
    CHECK(fleet.store.valueOf(std::string(internalTable), entryKey(fleet.entries.back().name))
                  .empty());
    fleet.runtime.advance(seconds(3));
    CHECK_FALSE(fleet.store.valueOf(std::string(internalTable), entryKey(fleet.entries.back().name))
                        .empty());
}

TEST_CASE("entries that restart together do not wait for first peers that start last")
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

TEST_CASE("an entry that joins a running fleet reads from its peers and adds only its own row")
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

TEST_CASE("an entry limits its log lines about endpoints when many are listed at once")
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
        // All endpoints arrive with one read, and the limit allows 20 lines.
        CHECK(entry.metrics.prometheusText().find("log_lines_held_total 280") != std::string::npos);
    }
}
