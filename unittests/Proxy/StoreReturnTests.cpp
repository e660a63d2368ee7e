//===-- StoreReturnTests.cpp - a store that comes back from a copy --------===//
//
// The store is away for a moment and comes back from a copy some seconds old: later writes are
// lost, and their versions are given out again. Endpoints write their rows only when they change.
//
//===----------------------------------------------------------------------===//
#include "EntryFleet.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr milliseconds outage{400};
constexpr milliseconds checkInterval{50};
/// Versions given out between the copy and the outage.
constexpr unsigned lostVersions = 12;

/// Advances the clock by \p time and calls \p check at short intervals.
template <class Check>
void advanceAndCheck(fleet &entries, duration time, Check check)
{
    for (duration passed{0}; passed < time; passed += checkInterval) {
        entries.runtime.advance(checkInterval);
        check();
    }
}

/// Entries over a store of which a copy is kept.
struct returning_store
{
    fleet entries;

    explicit returning_store(std::size_t count)
    {
        entries.store.era = 1;
        addInitialRows(entries);
        entries.start(0, count);
        entries.runtime.advance(seconds(5));
        entries.store.saveCopy();
        write(lostVersions);
        entries.runtime.advance(seconds(2));
    }

    void write(unsigned versions) { entries.store.skipVersions(versions); }

    /// Brings the store back from the copy. \p change is written when the store has given out half
    /// of the lost versions again.
    /// \param isPast true when all lost versions are given out again before an entry reads.
    template <class Change>
    void comeBack(bool isPast, Change change)
    {
        entries.store.away = true;
        entries.runtime.advance(outage);
        entries.store.restoreCopy();
        if (!isPast) {
            entries.store.away = false;
            entries.runtime.advance(seconds(1));
        }
        write(lostVersions / 2);
        change(entries.store);
        write(lostVersions);
        entries.store.away = false;
        entries.runtime.advance(changeBound);
    }

    /// \returns the number of entries for which \p test is true.
    template <class Test>
    std::size_t count(Test test)
    {
        return static_cast<std::size_t>(
                std::count_if(entries.entries.begin(), entries.entries.end(), test));
    }

    static bool isUsable(fleet_entry &entry, std::string_view id)
    {
        entry.routing.directory().expire(entry.all.runtime.now());
        const std::vector<endpoint_ptr> &usable = entry.routing.directory().usable("pool");
        return std::any_of(usable.begin(), usable.end(), [id](const endpoint_ptr &endpoint) {
            return endpoint->record().id == id;
        });
    }
};

/// Lets \p entry see answers of version v2, or failures without a timing.
void observe(fleet_entry &entry, int answers, std::optional<answer_timing> timing)
{
    for (int i = 0; i < answers; ++i)
        entry.routing.rollouts("pool").observe("v2", "route", "m", timing, entry.all.runtime.now());
}

/// Starts the order for version v2 with three endpoints of it.
void orderRollout(fleet &entries)
{
    for (const char *id : {"n1", "n2", "n3"})
        entries.store.put("endpoints", id, "v2");
    entries.store.put("orders", "pool", "v2");
}

/// \returns true if some session of the pool is served by \p version.
bool triesVersion(fleet_entry &entry, std::string_view version)
{
    rollout_tracker &tracker = entry.routing.rollouts("pool");
    const time_point now = entry.all.runtime.now();
    // The lowest hash belongs to every share of the sessions.
    const version_choice choice
            = tracker.eligible(entry.routing.directory().usable("pool"), {0, now, now});
    return std::any_of(choice.endpoints.begin(), choice.endpoints.end(),
                       [version](const endpoint_ptr &endpoint) {
                           return endpoint->record().softwareVersion == version;
                       });
}

/// Calls \p test with each number of entries, and whether the lost versions are given out again
/// before the first read.
template <class Test>
void forEachReturn(Test test)
{
    for (const std::size_t count : {3, 12}) {
        for (const bool isPast : {false, true}) {
            CAPTURE(count);
            CAPTURE(isPast);
            test(count, isPast);
        }
    }
}

} // namespace

TEST_CASE("an endpoint that leaves after the store came back from a copy gets no more requests")
{
    forEachReturn([](std::size_t count, bool isPast) {
        returning_store fixture(count);
        fixture.comeBack(isPast, [](fake_store &store) { store.put("endpoints", "p1", "v1-"); });
        CHECK(fixture.count([&](auto &entry) { return fixture.isUsable(entry, "p1"); }) == 0);
    });
}

TEST_CASE("an endpoint removed after the store came back from a copy gets no more requests")
{
    forEachReturn([](std::size_t count, bool isPast) {
        returning_store fixture(count);
        fixture.comeBack(isPast, [](fake_store &store) { store.remove("endpoints", "p1"); });
        CHECK(fixture.count([&](auto &entry) { return fixture.isUsable(entry, "p1"); }) == 0);
    });
}

TEST_CASE("an endpoint that starts after the store came back from a copy is used by every entry")
{
    forEachReturn([](std::size_t count, bool isPast) {
        returning_store fixture(count);
        fixture.comeBack(isPast, [](fake_store &store) { store.put("endpoints", "new", "v1"); });
        CHECK(fixture.count([&](auto &entry) { return fixture.isUsable(entry, "new"); }) == count);
    });
}

TEST_CASE("a version taken back before the store came back from a copy is not tried again")
{
    forEachReturn([](std::size_t count, bool isPast) {
        fleet entries;
        entries.store.era = 1;
        addInitialRows(entries);
        entries.start(0, count);
        entries.runtime.advance(seconds(3));
        orderRollout(entries);
        // The order's window is 10 s: the trial begins after 5.1 s.
        entries.runtime.advance(milliseconds(5300));
        entries.store.saveCopy();
        observe(entries.entries.front(), 30, std::nullopt);
        entries.runtime.advance(milliseconds(900));
        REQUIRE(entries.store.valueOf("status", "pool") == "reverted");
        entries.store.away = true;
        entries.runtime.advance(outage);
        entries.store.restoreCopy();
        if (isPast)
            entries.store.skipVersions(lostVersions);
        entries.store.put("orders", "pool", "v2");
        entries.store.away = false;
        std::size_t tried = 0;
        advanceAndCheck(entries, seconds(8), [&] {
            for (fleet_entry &entry : entries.entries)
                tried += triesVersion(entry, "v2") ? 1 : 0;
        });
        CHECK(tried == 0);
        CHECK(entries.store.valueOf("status", "pool") == "reverted");
    });
}

TEST_CASE("a contract written after the store came back from a copy comes into force")
{
    forEachReturn([](std::size_t count, bool isPast) {
        returning_store fixture(count);
        fixture.comeBack(isPast, [](fake_store &store) { store.put("orders", "contract", "8"); });
        CHECK(fixture.count([](auto &entry) { return entry.routing.contract()->version == 8; })
              == count);
    });
}

TEST_CASE(
        "rows of entries that a copy does not have are written again, and none is missed meanwhile")
{
    for (const std::size_t count : {3, 12}) {
        CAPTURE(count);
        fleet entries;
        entries.store.era = 1;
        addInitialRows(entries);
        entries.store.saveCopy();
        entries.start(0, count);
        entries.runtime.advance(seconds(5));
        entries.store.restoreCopy();
        advanceAndCheck(entries, seconds(5), [&] {
            for (fleet_entry &entry : entries.entries)
                REQUIRE(entry.routing.entries() == count);
        });
        for (fleet_entry &entry : entries.entries)
            CHECK(!entries.store.valueOf("laurelcroft", entryKey(entry.name)).empty());
    }
}

TEST_CASE("a data centre stays evacuated while its row is missing after the store came back")
{
    returning_store fixture(3);
    fleet &entries = fixture.entries;
    entries.store.put("endpoints", "q@north", "v1");
    entries.runtime.advance(seconds(2));
    entries.store.saveCopy();
    entries.store.put("orders", "evacuate north", "");
    entries.runtime.advance(seconds(2));
    entries.store.restoreCopy();
    const auto isUnused = [&] {
        CHECK(fixture.count([&](auto &entry) { return fixture.isUsable(entry, "q@north"); }) == 0);
    };
    advanceAndCheck(entries, seconds(1), isUnused);
    entries.store.put("orders", "evacuate north", "");
    advanceAndCheck(entries, seconds(4), isUnused);
    entries.store.remove("orders", "evacuate north");
    entries.runtime.advance(changeBound);
    CHECK(fixture.count([&](auto &entry) { return fixture.isUsable(entry, "q@north"); }) == 3);
}

TEST_CASE("a row that nobody writes again after the store came back counts as removed in the end")
{
    returning_store fixture(3);
    fleet &entries = fixture.entries;
    entries.store.put("endpoints", "q", "v1");
    entries.runtime.advance(seconds(2));
    entries.store.restoreCopy();
    entries.runtime.advance(seconds(1));
    CHECK(fixture.count([&](auto &entry) { return fixture.isUsable(entry, "q"); }) == 3);
    entries.runtime.advance(seconds(4));
    CHECK(fixture.count([&](auto &entry) { return fixture.isUsable(entry, "q"); }) == 0);
}

TEST_CASE("an endpoint that a copy still lists although it was removed is not used at once")
{
    for (const bool isRewritten : {false, true}) {
        CAPTURE(isRewritten);
        returning_store fixture(12);
        fleet &entries = fixture.entries;
        entries.store.remove("endpoints", "p1");
        entries.runtime.advance(seconds(4));
        const auto users = [&] {
            return fixture.count([&](auto &entry) { return fixture.isUsable(entry, "p1"); });
        };
        REQUIRE(users() == 0);
        entries.store.restoreCopy();
        advanceAndCheck(entries, seconds(8), [&] { REQUIRE(users() == 0); });
        // The endpoint is running: its row changes, or outlasts the time in which it would lapse.
        if (isRewritten)
            entries.store.put("endpoints", "p1", "v1*1");
        entries.runtime.advance(isRewritten ? changeBound : seconds(4));
        CHECK(users() == 12);
    }
}

TEST_CASE("a completed roll-out whose row is lost by a return of the store is completed again")
{
    returning_store fixture(3);
    fleet &entries = fixture.entries;
    orderRollout(entries);
    // Far enough for full share, which begins in the last seconds of the order's window.
    entries.runtime.advance(seconds(8));
    entries.store.saveCopy();
    for (fleet_entry &entry : entries.entries)
        observe(entry, 20, answer_timing());
    entries.runtime.advance(seconds(3));
    REQUIRE(entries.store.valueOf("status", "pool") == "completed");
    entries.store.restoreCopy();
    REQUIRE(entries.store.valueOf("status", "pool") != "completed");
    entries.store.put("orders", "pool", "v2");
    entries.runtime.advance(seconds(3));
    CHECK(entries.store.valueOf("status", "pool") == "completed");
    CHECK(fixture.count([](auto &entry) { return triesVersion(entry, "v2"); }) == 3);
}

TEST_CASE("an older order that a copy has does not replace a later one while that is written again")
{
    returning_store fixture(3);
    fleet &entries = fixture.entries;
    entries.store.put("orders", "pool", "v2");
    entries.runtime.advance(seconds(1));
    entries.store.saveCopy();
    entries.store.put("orders", "pool", "v3");
    entries.runtime.advance(seconds(1));
    entries.store.restoreCopy();
    const auto follow = [&](const char *target) {
        return fixture.count([&](auto &entry) {
            return entry.routing.rollouts("pool").order()->targetVersion == target;
        });
    };
    advanceAndCheck(entries, seconds(1), [&] { REQUIRE(follow("v3") == 3); });
    entries.store.put("orders", "pool", "v3");
    entries.runtime.advance(seconds(4));
    CHECK(follow("v3") == 3);
    // The later order is not written again: the one in the store holds.
    entries.store.restoreCopy();
    entries.runtime.advance(seconds(4));
    CHECK(follow("v2") == 3);
}
