//===-- RowTimingsTests.cpp - intervals of row reads ----------------------===//
//
// The intervals are consistent at every bound, and a change is in force in time when all readers
// are cut off from the store.
//
//===----------------------------------------------------------------------===//
#include "EntryFleet.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("rows are confirmed before they become outdated, and the store is read before the bound")
{
    using sync = store_sync<fake_store, manual_runtime>;
    for (const int ms : {1500, 2000, 3000, 4000, 10'000}) {
        CAPTURE(ms);
        const milliseconds bound(ms);
        const row_timings timings(bound);
        CHECK(timings.maxStoreHold + sync::internalReadInterval < timings.maxRowAge);
        CHECK(timings.endpointReadInterval < timings.maxRowAge);
        CHECK(timings.maxEntryHold < timings.maxRowAge);
        // The remainder is for a call to one entry that does not answer.
        CHECK(timings.maxRowAge + timings.staleWait <= bound * 0.8);
    }
}

TEST_CASE("a contract is in force within the bound when all readers are cut off from the store")
{
    constexpr std::size_t count = 40;
    for (int i = 0; i < 10; ++i) {
        fleet fleet;
        addInitialRows(fleet);
        fleet.start(0, count);
        fleet.runtime.advance(seconds(5) + milliseconds(170 * i));
        std::size_t others = 0;
        for (fleet_entry &entry : fleet.entries) {
            entry.store.rejectsCalls = entry.readers.empty();
            others += entry.store.rejectsCalls ? 0 : 1;
        }
        fleet.store.put("orders", "contract", "9");
        fleet.runtime.advance(changeBound);
        std::size_t inForce = 0;
        for (fleet_entry &entry : fleet.entries) {
            if (!entry.store.rejectsCalls && entry.routing.contract()->version == 9)
                ++inForce;
        }
        CHECK(inForce == others);
    }
}
