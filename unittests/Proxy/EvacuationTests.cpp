//===-- EvacuationTests.cpp - evacuation of data centres --------------------===//
//
// Guards against sends to a data centre that operators have evacuated: each entry must stop sending
// there in time and start again when the evacuation ends, even with a failing store, and for first
// sends, repeats and resumed streams.
//
//===----------------------------------------------------------------------===//
#include "EntryFleet.h"
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr std::size_t entryCount = 40;
/// Time within which every entry must apply a change here. Sites allow five seconds.
constexpr milliseconds propagationLimit{1000};

std::size_t usableAt(fleet_entry &entry)
{
    return entry.routing.directory().usable("pool").size();
}

/// Entries with two endpoints in each of two data centres.
struct evacuation_fixture
{
    fleet entries;

    evacuation_fixture()
    {
        entries.store.put("orders", "contract", "7");
        for (const char *id : {"a@east", "b@east", "c@west", "d@west"})
            entries.store.put("endpoints", id, "v1");
        entries.start(0, entryCount);
        entries.runtime.advance(seconds(5));
    }

    /// \returns the number of running entries that may use exactly \p count endpoints.
    std::size_t entriesThatSee(std::size_t count)
    {
        std::size_t found = 0;
        for (fleet_entry &entry : entries.entries)
            found += entry.store.isUp && usableAt(entry) == count ? 1 : 0;
        return found;
    }
};

} // namespace

TEST_CASE("every entry avoids an evacuated data centre, and uses it again afterwards")
{
    evacuation_fixture world;
    world.entries.store.put("orders", "evacuate east", "{}");
    world.entries.runtime.advance(propagationLimit);
    CHECK(world.entriesThatSee(2) == entryCount);
    world.entries.store.put("orders", "evacuate west", "{}");
    world.entries.runtime.advance(propagationLimit);
    CHECK(world.entriesThatSee(0) == entryCount);
    world.entries.store.remove("orders", "evacuate east");
    world.entries.runtime.advance(propagationLimit);
    CHECK(world.entriesThatSee(2) == entryCount);
    world.entries.store.remove("orders", "evacuate west");
    world.entries.runtime.advance(propagationLimit);
    CHECK(world.entriesThatSee(4) == entryCount);
}

TEST_CASE("an entry that starts during an evacuation never uses the evacuated endpoints")
{
    evacuation_fixture world;
    world.entries.store.put("orders", "evacuate east", "{}");
    world.entries.runtime.advance(propagationLimit);
    world.entries.start(entryCount, entryCount + 1);
    fleet_entry &entry = world.entries.entries.back();
    for (int i = 0; i < 200; ++i) {
        world.entries.runtime.advance(milliseconds(5));
        if (entry.isReady())
            CHECK(usableAt(entry) <= 2);
    }
    CHECK(usableAt(entry) == 2);
}

TEST_CASE("an evacuation ends for all entries although the store has lost its history")
{
    evacuation_fixture world;
    world.entries.store.put("orders", "evacuate east", "{}");
    world.entries.runtime.advance(propagationLimit);
    world.entries.store.forgetful = true;
    world.entries.store.remove("orders", "evacuate east");
    world.entries.runtime.advance(propagationLimit + propagationLimit);
    CHECK(world.entriesThatSee(4) == entryCount);
}

TEST_CASE("an evacuation is in force soon after the store recovers, and at entries that the store "
          "rejects")
{
    evacuation_fixture world;
    world.entries.store.away = true;
    world.entries.runtime.advance(seconds(3));
    world.entries.store.put("orders", "evacuate east", "{}");
    world.entries.store.away = false;
    world.entries.runtime.advance(propagationLimit);
    CHECK(world.entriesThatSee(2) == entryCount);
    // The store rejects every second entry, except those that read it on behalf of others.
    std::size_t number = 0;
    for (fleet_entry &entry : world.entries.entries)
        entry.store.isTurnedAway = ++number % 2 == 0 && !entry.readers.empty();
    world.entries.store.remove("orders", "evacuate east");
    world.entries.runtime.advance(propagationLimit);
    CHECK(world.entriesThatSee(4) == entryCount);
}

TEST_CASE("an evacuation is in force in time when the entries that read the store lose power")
{
    evacuation_fixture world;
    std::size_t up = 0;
    for (fleet_entry &entry : world.entries.entries) {
        entry.store.isUp = !entry.readers.empty();
        up += entry.store.isUp ? 1 : 0;
    }
    world.entries.store.put("orders", "evacuate east", "{}");
    world.entries.runtime.advance(seconds(3));
    CHECK(world.entriesThatSee(2) == up);
}

TEST_CASE("the rest of a stream is not resumed in an evacuated data centre")
{
    const service_route route = draftRoute();
    flow_fixture world(route, {"e1", "e2", "e3"});
    for (const char *id : {"e1", "e2", "e3"})
        world.setDataCentre(id, "east");
    const auto flow = startFlow(world, requestFor(route));
    REQUIRE(world.calls.size() == 1);
    const std::string first = world.calls[0].attempt.endpoint->record().id;
    const std::string other = first == "e1" ? "e2" : "e1";
    world.setDataCentre(other, "west");
    world.answer(0, 200, 90);
    world.data(0, eventText(1));
    world.routing.directory().setEvacuated({"east"}, world.runtime.now());
    world.end(0, call_end::broken);
    REQUIRE(world.calls.size() == 2);
    world.end(1, call_end::broken);
    // Only the remaining endpoint is tried again; the stream never returns to the evacuated ones.
    for (std::size_t i = 1; i < world.calls.size(); ++i)
        CHECK(world.calls[i].attempt.endpoint->record().id == other);
}

TEST_CASE("a request that only evacuated endpoints could serve is refused with a Retry-After")
{
    flow_fixture world(lookupRoute(), {"e1"});
    world.setDataCentre("e1", "east");
    world.routing.directory().setEvacuated({"east"}, world.runtime.now());
    const auto flow = startFlow(world, requestFor(lookupRoute()));
    CHECK(world.calls.empty());
    CHECK(world.status == 503);
    REQUIRE(world.record);
    CHECK(world.record->reason == flow_reason::evacuated);
    CHECK(!world.headers.empty());
}
