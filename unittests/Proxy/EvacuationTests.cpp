//===-- EvacuationTests.cpp - a data centre that must get nothing -----------===//
//
// Operators empty a data centre and take it back; every entry leaves its endpoints alone within
// the time that the site allows, whatever the store does, and whatever kind of send it is.
//
//===----------------------------------------------------------------------===//
#include "EntryFleet.h"
#include "FlowWorld.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr std::size_t fewEntries = 40;
/// Far below what sites allow, which is five seconds.
constexpr milliseconds inForce{1000};

std::size_t usableAt(fleet_entry &entry)
{
    return entry.routing.directory().usable("pool").size();
}

/// A fleet before two endpoints in each of two data centres.
struct evacuation_world
{
    fleet entries;

    evacuation_world()
    {
        entries.store.put("orders", "contract", "7");
        for (const char *id : {"a@east", "b@east", "c@west", "d@west"})
            entries.store.put("endpoints", id, "v1");
        entries.start(0, fewEntries);
        entries.runtime.advance(seconds(5));
    }

    /// \returns how many entries that are up see \p count endpoints.
    std::size_t entriesThatSee(std::size_t count)
    {
        std::size_t found = 0;
        for (fleet_entry &entry : entries.entries)
            found += entry.store.isUp && usableAt(entry) == count ? 1 : 0;
        return found;
    }
};

} // namespace

TEST_CASE("every entry leaves an evacuated data centre alone, and takes it back")
{
    evacuation_world world;
    world.entries.store.put("orders", "evacuate east", "{}");
    world.entries.runtime.advance(inForce);
    CHECK(world.entriesThatSee(2) == fewEntries);
    world.entries.store.put("orders", "evacuate west", "{}");
    world.entries.runtime.advance(inForce);
    CHECK(world.entriesThatSee(0) == fewEntries);
    world.entries.store.remove("orders", "evacuate east");
    world.entries.runtime.advance(inForce);
    CHECK(world.entriesThatSee(2) == fewEntries);
    world.entries.store.remove("orders", "evacuate west");
    world.entries.runtime.advance(inForce);
    CHECK(world.entriesThatSee(4) == fewEntries);
}

TEST_CASE("an entry that starts during an evacuation never sends there")
{
    evacuation_world world;
    world.entries.store.put("orders", "evacuate east", "{}");
    world.entries.runtime.advance(inForce);
    world.entries.start(fewEntries, fewEntries + 1);
    fleet_entry &entry = world.entries.entries.back();
    for (int i = 0; i < 200; ++i) {
        world.entries.runtime.advance(milliseconds(5));
        if (entry.isReady())
            CHECK(usableAt(entry) <= 2);
    }
    CHECK(usableAt(entry) == 2);
}

TEST_CASE("an evacuation that ends while the history is forgotten ends for all")
{
    evacuation_world world;
    world.entries.store.put("orders", "evacuate east", "{}");
    world.entries.runtime.advance(inForce);
    world.entries.store.forgetful = true;
    world.entries.store.remove("orders", "evacuate east");
    world.entries.runtime.advance(inForce + inForce);
    CHECK(world.entriesThatSee(4) == fewEntries);
}

TEST_CASE("an evacuation is in force soon after the store's return, and where entries are turned "
          "away from it")
{
    evacuation_world world;
    world.entries.store.away = true;
    world.entries.runtime.advance(seconds(3));
    world.entries.store.put("orders", "evacuate east", "{}");
    world.entries.store.away = false;
    world.entries.runtime.advance(inForce);
    CHECK(world.entriesThatSee(2) == fewEntries);
    // An odd one out of all, readers among them.
    std::size_t number = 0;
    for (fleet_entry &entry : world.entries.entries)
        entry.store.rejectsCalls = ++number % 2 == 0 && !entry.readers.empty();
    world.entries.store.remove("orders", "evacuate east");
    world.entries.runtime.advance(inForce);
    CHECK(world.entriesThatSee(4) == fewEntries);
}

TEST_CASE("an evacuation is in force in time where the readers have lost power")
{
    evacuation_world world;
    std::size_t up = 0;
    for (fleet_entry &entry : world.entries.entries) {
        entry.store.isUp = !entry.readers.empty();
        up += entry.store.isUp ? 1 : 0;
    }
    world.entries.store.put("orders", "evacuate east", "{}");
    world.entries.runtime.advance(seconds(3));
    CHECK(world.entriesThatSee(2) == up);
}

TEST_CASE("a repeat, and the rest of a stream, leave an evacuated data centre alone")
{
    const service_route route = draftRoute();
    flow_world world(route, {"e1", "e2", "e3"});
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
    // The one that is left is asked again; the stream breaks off before it goes back.
    for (std::size_t i = 1; i < world.calls.size(); ++i)
        CHECK(world.calls[i].attempt.endpoint->record().id == other);
}

TEST_CASE("a request that only evacuated endpoints could serve is refused at once, with a time")
{
    flow_world world(lookupRoute(), {"e1"});
    world.setDataCentre("e1", "east");
    world.routing.directory().setEvacuated({"east"}, world.runtime.now());
    const auto flow = startFlow(world, requestFor(lookupRoute()));
    CHECK(world.calls.empty());
    CHECK(world.status == 503);
    REQUIRE(world.record);
    CHECK(world.record->reason == flow_reason::evacuated);
    CHECK(!world.headers.empty());
}
