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
    evacuation_fixture fixture;
    fixture.entries.store.put("orders", "evacuate east", "{}");
    fixture.entries.runtime.advance(propagationLimit);
    CHECK(fixture.entriesThatSee(2) == entryCount);
    fixture.entries.store.put("orders", "evacuate west", "{}");
    fixture.entries.runtime.advance(propagationLimit);
    CHECK(fixture.entriesThatSee(0) == entryCount);
    fixture.entries.store.remove("orders", "evacuate east");
    fixture.entries.runtime.advance(propagationLimit);
    CHECK(fixture.entriesThatSee(2) == entryCount);
    fixture.entries.store.remove("orders", "evacuate west");
    fixture.entries.runtime.advance(propagationLimit);
    CHECK(fixture.entriesThatSee(4) == entryCount);
}

TEST_CASE("an entry that starts during an evacuation never uses the evacuated endpoints")
{
    evacuation_fixture fixture;
    fixture.entries.store.put("orders", "evacuate east", "{}");
    fixture.entries.runtime.advance(propagationLimit);
    fixture.entries.start(entryCount, entryCount + 1);
    fleet_entry &entry = fixture.entries.entries.back();
    for (int i = 0; i < 200; ++i) {
        fixture.entries.runtime.advance(milliseconds(5));
        if (entry.isReady())
            CHECK(usableAt(entry) <= 2);
    }
    CHECK(usableAt(entry) == 2);
}

TEST_CASE("an evacuation ends for all entries although the store has lost its history")
{
    evacuation_fixture fixture;
    fixture.entries.store.put("orders", "evacuate east", "{}");
    fixture.entries.runtime.advance(propagationLimit);
    fixture.entries.store.hasLostHistory = true;
    fixture.entries.store.remove("orders", "evacuate east");
    fixture.entries.runtime.advance(propagationLimit + propagationLimit);
    CHECK(fixture.entriesThatSee(4) == entryCount);
}

TEST_CASE("an evacuation is in force soon after the store recovers, and at entries that the store "
          "rejects")
{
    evacuation_fixture fixture;
    fixture.entries.store.away = true;
    fixture.entries.runtime.advance(seconds(3));
    fixture.entries.store.put("orders", "evacuate east", "{}");
    fixture.entries.store.away = false;
    fixture.entries.runtime.advance(propagationLimit);
    CHECK(fixture.entriesThatSee(2) == entryCount);
    // The store rejects every second entry, except those that read it on behalf of others.
    std::size_t number = 0;
    for (fleet_entry &entry : fixture.entries.entries)
        entry.store.rejectsCalls = ++number % 2 == 0 && !entry.readers.empty();
    fixture.entries.store.remove("orders", "evacuate east");
    fixture.entries.runtime.advance(propagationLimit);
    CHECK(fixture.entriesThatSee(4) == entryCount);
}

TEST_CASE("an evacuation is in force in time when the entries that read the store lose power")
{
    evacuation_fixture fixture;
    std::size_t up = 0;
    for (fleet_entry &entry : fixture.entries.entries) {
        entry.store.isUp = !entry.readers.empty();
        up += entry.store.isUp ? 1 : 0;
    }
    fixture.entries.store.put("orders", "evacuate east", "{}");
    fixture.entries.runtime.advance(seconds(3));
    CHECK(fixture.entriesThatSee(2) == up);
}

TEST_CASE("the rest of a stream is not resumed in an evacuated data centre")
{
    const service_route route = draftRoute();
    flow_fixture fixture(route, {"e1", "e2", "e3"});
    for (const char *id : {"e1", "e2", "e3"})
        fixture.setDataCentre(id, "east");
    const auto flow = startFlow(fixture, requestFor(route));
    REQUIRE(fixture.calls.size() == 1);
    const std::string first = fixture.calls[0].attempt.endpoint->record().id;
    const std::string other = first == "e1" ? "e2" : "e1";
    fixture.setDataCentre(other, "west");
    fixture.answer(0, 200, 90);
    fixture.data(0, eventText(1));
    fixture.routing.directory().setEvacuated({"east"}, fixture.runtime.now());
    fixture.end(0, call_end::broken);
    REQUIRE(fixture.calls.size() == 2);
    fixture.end(1, call_end::broken);
    // Only the remaining endpoint is tried again; the stream never returns to the evacuated ones.
    for (std::size_t i = 1; i < fixture.calls.size(); ++i)
        CHECK(fixture.calls[i].attempt.endpoint->record().id == other);
}

TEST_CASE("a request that only evacuated endpoints could serve is refused with a Retry-After")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    fixture.setDataCentre("e1", "east");
    fixture.routing.directory().setEvacuated({"east"}, fixture.runtime.now());
    const auto flow = startFlow(fixture, requestFor(lookupRoute()));
    CHECK(fixture.calls.empty());
    CHECK(fixture.status == 503);
    REQUIRE(fixture.record);
    CHECK(fixture.record->reason == flow_reason::evacuated);
    CHECK(!fixture.headers.empty());
}
