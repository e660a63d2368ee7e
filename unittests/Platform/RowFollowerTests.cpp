//===-- RowFollowerTests.cpp - follows the changes of a table ---------------===//
//
// Reads from the store and from a relay, with either or both of them unavailable.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Platform/RowFollower.h"
#include "laurelcroft/Support/Runtime.h"

#include <doctest/doctest.h>

#include <vector>

using namespace laurelcroft;

namespace {

/// Row store that answers at once, or fails while it is \c away.
struct simple_store
{
    void list(const std::string &, row_callback<row_batch> done) { answer(std::move(done)); }
    void follow(const std::string &, store_version, milliseconds wait, row_callback<row_batch> done)
    {
        lastWait = wait;
        answer(std::move(done));
    }
    void write(const std::vector<row_write> &, row_callback<conditional_write>) { }

    void answer(row_callback<row_batch> done)
    {
        ++calls;
        if (away)
            done(failure(row_failure::unknown));
        else
            done(row_batch{{}, version, {}});
    }
    bool away = false;
    store_version version = 1;
    unsigned calls = 0;
    milliseconds lastWait{-1};
};

/// Counts the callbacks of a follower.
struct event_counter
{
    unsigned tables = 0;
    unsigned changes = 0;
    unsigned lost = 0;
    unsigned regained = 0;

    follow_events events()
    {
        follow_events events;
        events.onTable = [this](row_batch &&) { ++tables; };
        events.onChanges = [this](row_batch &&) { ++changes; };
        events.onLost = [this](row_failure) { ++lost; };
        events.onRecovered = [this](milliseconds) { ++regained; };
        return events;
    }
};

/// A follower with a relay that answers at once, or fails.
struct follower_fixture : event_counter
{
    manual_runtime runtime;
    simple_store store;
    bool relayFirst = true;
    bool relayAway = false;
    unsigned relayReads = 0;
    row_follower<simple_store, manual_runtime> follower{
            store, runtime, "table", {milliseconds(800), milliseconds(500)}, events(), relay()};

    row_relay relay()
    {
        row_relay relay;
        relay.isPreferred = [this] { return relayFirst; };
        relay.read = [this](const std::string &, store_version, row_callback<row_update> done) {
            ++relayReads;
            if (relayAway)
                done(failure(row_failure::notDone));
            else
                done(row_update{{{}, 1, {}}, false});
        };
        return relay;
    }
};

} // namespace

TEST_CASE("an answer of a relay reports the store as recovered")
{
    follower_fixture fixture;
    fixture.relayAway = true;
    fixture.store.away = true;
    fixture.follower.start();
    fixture.runtime.advance(seconds(1));
    CHECK(fixture.lost == 1);
    CHECK(fixture.regained == 0);
    fixture.relayAway = false;
    fixture.runtime.advance(seconds(1));
    CHECK(fixture.regained == 1);
    const unsigned calls = fixture.store.calls;
    fixture.runtime.advance(seconds(10));
    CHECK(fixture.store.calls == calls);
}

TEST_CASE("while both are unavailable the relay is read often and the store rarely")
{
    follower_fixture fixture;
    fixture.relayAway = true;
    fixture.store.away = true;
    fixture.follower.start();
    fixture.runtime.advance(seconds(20));
    CHECK(fixture.store.calls <= 13);
    CHECK(fixture.relayReads >= 50);
    fixture.store.away = false;
    fixture.runtime.advance(milliseconds(2700));
    CHECK(fixture.regained == 1);
}

TEST_CASE("without a preferred relay the recovery of the store is noticed within a second")
{
    follower_fixture fixture;
    fixture.relayFirst = false;
    fixture.relayAway = true;
    fixture.store.away = true;
    fixture.follower.start();
    fixture.runtime.advance(seconds(20));
    fixture.store.away = false;
    fixture.runtime.advance(seconds(1));
    CHECK(fixture.regained == 1);
}

TEST_CASE("calls are not held while the store is unavailable")
{
    follower_fixture fixture;
    fixture.relayFirst = false;
    fixture.relayAway = true;
    fixture.follower.start();
    fixture.runtime.advance(seconds(2));
    CHECK(fixture.store.lastWait == milliseconds(500));
    fixture.store.away = true;
    fixture.runtime.advance(seconds(3));
    CHECK(fixture.store.lastWait == milliseconds(0));
    fixture.store.away = false;
    fixture.runtime.advance(seconds(3));
    CHECK(fixture.regained == 1);
    CHECK(fixture.store.lastWait == milliseconds(500));
}

TEST_CASE("a follower whose store calls fail reads the relay and keeps its retry delays")
{
    follower_fixture fixture;
    fixture.relayFirst = false;
    fixture.store.away = true;
    fixture.follower.start();
    fixture.runtime.advance(seconds(20));
    CHECK(fixture.relayReads >= 20);
    CHECK(fixture.store.calls <= 30);
    CHECK(fixture.lost == 1);
    CHECK(fixture.regained == 0);
}

namespace {

/// A follower with a relay that holds each read until the test answers it, as a relay without
/// changes does.
struct held_relay_fixture : event_counter
{
    manual_runtime runtime;
    simple_store store;
    std::vector<row_callback<row_update>> held;
    bool outdated = false; ///< the relay answers at once that its rows are outdated
    bool isStandby = false;
    row_follower<simple_store, manual_runtime> follower{
            store, runtime, "table", {milliseconds(800), milliseconds(500)}, events(), relay()};

    row_relay relay()
    {
        row_relay relay;
        relay.isPreferred = [] { return true; };
        relay.isStandby = [this] { return isStandby; };
        relay.read = [this](const std::string &, store_version, row_callback<row_update> done) {
            if (outdated)
                done(failure(row_failure::outdated));
            else
                held.push_back(std::move(done));
        };
        return relay;
    }
};

} // namespace

TEST_CASE("a starting process does not call the store while a relay may still deliver the table")
{
    held_relay_fixture fixture;
    fixture.follower.start();
    fixture.runtime.advance(milliseconds(390));
    CHECK(fixture.store.calls == 0);
    REQUIRE(fixture.held.size() == 1);
    fixture.held[0](row_update{{{}, 5, {}}, true});
    CHECK(fixture.tables == 1);
    fixture.runtime.advance(seconds(1));
    CHECK(fixture.store.calls == 0);
    CHECK(fixture.held.size() == 2);
}

TEST_CASE("a relay that is silent at startup delays the table by under 0.5 s and is read once")
{
    held_relay_fixture fixture;
    fixture.follower.start();
    fixture.runtime.advance(milliseconds(410));
    CHECK(fixture.store.calls == 1);
    CHECK(fixture.tables == 1);
    // The late answer may be used or ignored, but must not start a second sequence of reads.
    fixture.held[0](row_update{{{}, 9, {}}, true});
    fixture.runtime.advance(seconds(10));
    CHECK(fixture.held.size() == 2);
    CHECK(fixture.store.calls == 1);
}

TEST_CASE("a relay that fails at startup is read again until the store is read instead")
{
    held_relay_fixture fixture;
    fixture.follower.start();
    for (unsigned i = 0; i < 7; ++i) {
        REQUIRE(fixture.held.size() == i + 1);
        fixture.held[i](failure(row_failure::notDone));
        fixture.runtime.advance(milliseconds(50));
    }
    CHECK(fixture.store.calls == 0);
    fixture.runtime.advance(milliseconds(60));
    CHECK(fixture.store.calls == 1);
}

TEST_CASE("while relays are outdated only standbys call the store at once, others after a delay")
{
    for (const bool isStandby : {false, true}) {
        held_relay_fixture fixture;
        fixture.isStandby = isStandby;
        fixture.outdated = true;
        fixture.follower.start();
        fixture.runtime.advance(milliseconds(410));
        const unsigned first = fixture.store.calls; // the call at startup
        fixture.runtime.advance(milliseconds(1000));
        CHECK((fixture.store.calls > first) == isStandby);
        fixture.runtime.advance(milliseconds(1500));
        CHECK(fixture.store.calls > first);
        // While the store is unavailable as well, the retry delay grows.
        fixture.store.away = true;
        fixture.runtime.advance(seconds(60));
        const unsigned before = fixture.store.calls;
        fixture.runtime.advance(seconds(60));
        CHECK(fixture.store.calls - before <= (isStandby ? 26 : 4));
        fixture.outdated = false;
        fixture.runtime.advance(milliseconds(400));
        REQUIRE(!fixture.held.empty());
        fixture.held.back()(row_update{{{}, 9, {}}, false});
        CHECK(fixture.lost == fixture.regained);
    }
}

TEST_CASE("a standby reads the store at startup without waiting for a relay")
{
    for (const bool isStandby : {false, true}) {
        held_relay_fixture fixture;
        fixture.isStandby = isStandby;
        fixture.follower.start();
        REQUIRE(fixture.held.size() == 1);
        fixture.held[0](failure(row_failure::notDone));
        CHECK((fixture.store.calls > 0) == isStandby);
    }
}

TEST_CASE("changes of a later era are not taken for changes since a version of the earlier one")
{
    follower_fixture fixture;
    fixture.relayFirst = false;
    fixture.store.version = {1, 39};
    fixture.follower.start();
    fixture.runtime.advance(seconds(2));
    REQUIRE(fixture.tables == 1);
    const unsigned before = fixture.changes;
    // The store is back from a copy, and past the version that the follower asks for.
    fixture.store.version = {2, 59};
    fixture.runtime.advance(seconds(1));
    CHECK(fixture.tables == 2);
    CHECK(fixture.changes == before);
    fixture.runtime.advance(seconds(2));
    CHECK(fixture.changes > before);
    CHECK(fixture.lost == 0);
    // An answer from before the return is a failure, not news.
    fixture.store.version = {1, 70};
    fixture.runtime.advance(seconds(1));
    CHECK(fixture.tables == 2);
    CHECK(fixture.lost == 1);
}
