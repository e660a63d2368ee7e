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
    fill(fleet);
    fleet.start(0, entriesOfFleet);
    fleet.runtime.advance(milliseconds(100));
    CHECK(fleet.ready() == entriesOfFleet);
    fleet.runtime.advance(milliseconds(1900));
    CHECK(fleet.calls() <= 2 * entriesOfFleet);
    // Afterwards three of them read the store, each a little over three times a second.
    const unsigned before = fleet.calls();
    fleet.runtime.advance(seconds(10));
    CHECK(fleet.calls() - before <= 120);
}

TEST_CASE("entries that are restarted together wait for none of the first peers, which come last")
{
    fleet fleet;
    fill(fleet);
    fleet.start(0, entriesOfFleet);
    fleet.runtime.advance(seconds(5));
    fleet.powerOff();
    const unsigned before = fleet.calls();
    fleet.start(firstPeers, entriesOfFleet);
    fleet.runtime.advance(milliseconds(150));
    CHECK(fleet.ready() == entriesOfFleet - firstPeers);
    fleet.start(0, firstPeers);
    fleet.runtime.advance(milliseconds(150));
    CHECK(fleet.ready() == entriesOfFleet);
    fleet.runtime.advance(milliseconds(1700));
    CHECK(fleet.calls() - before <= 2 * entriesOfFleet);
}

TEST_CASE("an entry that starts among others takes all from them and writes its own row")
{
    fleet fleet;
    fill(fleet);
    fleet.start(0, entriesOfFleet);
    fleet.runtime.advance(seconds(5));
    const unsigned lists = fleet.store.lists;
    const unsigned writes = fleet.store.writes;
    fleet.start(entriesOfFleet, entriesOfFleet + 1);
    fleet.runtime.advance(milliseconds(50));
    CHECK(fleet.ready() == entriesOfFleet + 1);
    fleet.runtime.advance(seconds(1));
    CHECK(fleet.store.lists == lists);
    CHECK(fleet.store.writes == writes + 1);
}
