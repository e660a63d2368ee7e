//===-- StoreSyncTests.cpp - routing state from a store -------------------===//
//
// One entry and an in-memory store that loses answers, drops its history and becomes unavailable,
// on a paused clock.
//
//===----------------------------------------------------------------------===//
#include "FakeStore.h"
#include "PlainCodec.h"

#include "laurelcroft/Proxy/StoreSync.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace laurelcroft;

namespace {

struct sync_fixture
{
    explicit sync_fixture(const std::string &name = "e1",
                          milliseconds leaveBound = milliseconds(2000))
        : name(name)
        , leaveBound(leaveBound)
    {
    }
    std::string name;
    milliseconds leaveBound;
    manual_runtime runtime;
    fake_store store{runtime};
    routing_state routing{{}, {}, 1};
    metric_registry metrics;
    unsigned contracts = 0;
    row_mirror mirror{milliseconds(1500)};
    std::optional<row_update> ordersOfPeer; ///< rows of the operator table that another entry has
    bool relayed = false; ///< another entry reads the store for this one
    unsigned relayReads = 0;
    entry_map entries;
    store_sync<fake_store, manual_runtime> sync{store,   runtime,      routing, mirror,
                                                metrics, plainCodec(), links()};

    /// Lists endpoints of two versions and orders a roll-out of the newer one.
    void orderRollout()
    {
        store.put("endpoints", "a", "v1");
        store.put("endpoints", "b", "v2");
        store.put("orders", "pool", "v2");
    }

    /// Starts, and reads all tables once.
    void begin()
    {
        sync.start();
        runtime.advance(milliseconds(10));
    }

    entry_links links()
    {
        entry_links links;
        links.entry = name;
        links.place = {"10.0.0.1:5", "hall"};
        links.timings = row_timings(leaveBound);
        links.relay.isPreferred = [this] { return relayed; };
        links.relay.read
                = [this](const std::string &table, store_version, row_callback<row_update> done) {
                      ++relayReads;
                      if (ordersOfPeer && table == "orders")
                          done(*ordersOfPeer);
                      else
                          done(failure(row_failure::notDone));
                  };
        links.onEntries = [this](const entry_map &known) { entries = known; };
        links.onContract = [this] { ++contracts; };
        return links;
    }
};

} // namespace

static_assert(row_store_like<fake_store>);

TEST_CASE("contract and endpoints are read, then followed")
{
    sync_fixture fixture;
    fixture.store.put("orders", "contract", "3");
    fixture.store.put("endpoints", "a", "v1");
    fixture.begin();
    REQUIRE(fixture.routing.contract());
    CHECK(fixture.routing.contract()->version == 3);
    CHECK(fixture.routing.directory().usable("pool").size() == 1);
    fixture.store.put("orders", "contract", "5");
    fixture.store.put("endpoints", "b", "v1");
    fixture.store.put("endpoints", "a", "v1-");
    fixture.runtime.advance(milliseconds(2100));
    CHECK(fixture.routing.contract()->version == 5);
    const auto usable = fixture.routing.directory().usable("pool");
    REQUIRE(usable.size() == 1);
    CHECK(usable[0]->record().id == "b");
    CHECK(fixture.contracts == 2);
}

TEST_CASE("a malformed or older contract leaves the current one in force")
{
    sync_fixture fixture;
    fixture.store.put("orders", "contract", "3");
    fixture.begin();
    fixture.store.put("orders", "contract", "wrong");
    fixture.runtime.advance(milliseconds(2100));
    CHECK(fixture.routing.contract()->version == 3);
    fixture.store.put("orders", "contract", "2");
    fixture.runtime.advance(milliseconds(2100));
    CHECK(fixture.routing.contract()->version == 3);
}

TEST_CASE("a leaving endpoint is no longer used within a second of its row")
{
    sync_fixture fixture;
    fixture.store.put("endpoints", "a", "v1");
    fixture.begin();
    fixture.store.put("endpoints", "a", "v1-");
    fixture.runtime.advance(milliseconds(1000));
    CHECK(fixture.routing.directory().usable("pool").empty());
}

TEST_CASE("endpoints are read more often on a site with a shorter bound")
{
    sync_fixture fixture("e1", milliseconds(500));
    fixture.store.put("endpoints", "a", "v1");
    fixture.begin();
    fixture.store.put("endpoints", "a", "v1-");
    fixture.runtime.advance(milliseconds(250));
    CHECK(fixture.routing.directory().usable("pool").empty());
}

TEST_CASE("an endpoint that was listed and removed between two reads stays removed")
{
    sync_fixture fixture;
    fixture.begin();
    fixture.store.put("endpoints", "a", "v1");
    fixture.store.remove("endpoints", "a");
    fixture.store.put("endpoints", "b", "v1");
    fixture.runtime.advance(milliseconds(1000));
    const auto usable = fixture.routing.directory().usable("pool");
    REQUIRE(usable.size() == 1);
    CHECK(usable[0]->record().id == "b");
}

TEST_CASE("a table is read again after the store drops its history, including removals")
{
    sync_fixture fixture;
    fixture.store.put("endpoints", "a", "v1");
    fixture.store.put("endpoints", "b", "v1");
    fixture.begin();
    fixture.store.hasLostHistory = true;
    fixture.store.remove("endpoints", "a");
    fixture.runtime.advance(milliseconds(1000));
    const auto usable = fixture.routing.directory().usable("pool");
    REQUIRE(usable.size() == 1);
    CHECK(usable[0]->record().id == "b");
}

TEST_CASE("endpoints whose rows expired in an outage get two seconds to return")
{
    sync_fixture fixture;
    fixture.store.put("endpoints", "a", "v1");
    fixture.store.put("endpoints", "b", "v1");
    fixture.begin();
    fixture.store.away = true;
    fixture.runtime.advance(seconds(5));
    fixture.store.remove("endpoints", "a");
    fixture.store.remove("endpoints", "b");
    fixture.store.away = false;
    fixture.runtime.advance(milliseconds(1000));
    CHECK(fixture.routing.directory().usable("pool").size() == 2);
    fixture.store.put("endpoints", "a", "v1");
    fixture.runtime.advance(milliseconds(3000));
    fixture.routing.directory().expire(fixture.runtime.now());
    const auto usable = fixture.routing.directory().usable("pool");
    REQUIRE(usable.size() == 1);
    CHECK(usable[0]->record().id == "a");
}

TEST_CASE("the end of an outage is noticed within a second")
{
    sync_fixture fixture;
    fixture.store.put("orders", "contract", "1");
    fixture.begin();
    fixture.store.away = true;
    fixture.runtime.advance(seconds(20));
    fixture.store.away = false;
    fixture.store.put("orders", "contract", "2");
    fixture.runtime.advance(milliseconds(1000));
    CHECK(fixture.routing.contract()->version == 2);
}

TEST_CASE("an order is carried out to completion, and the operator status follows")
{
    sync_fixture fixture;
    fixture.orderRollout();
    fixture.sync.start();
    fixture.runtime.advance(seconds(2));
    CHECK(fixture.store.valueOf("status", "pool") == "waiting");
    fixture.runtime.advance(seconds(5));
    CHECK(fixture.store.valueOf("status", "pool") == "trial");
    fixture.runtime.advance(milliseconds(1800));
    CHECK(fixture.store.valueOf("status", "pool") == "full");
    for (int i = 0; i < 20; ++i)
        fixture.routing.rollouts("pool").observe("v2", "route", "m", answer_timing{},
                                                 fixture.runtime.now());
    fixture.runtime.advance(seconds(2));
    CHECK(fixture.store.valueOf("status", "pool") == "completed");
    const unsigned writes = fixture.store.writes;
    fixture.runtime.advance(seconds(30));
    CHECK(fixture.store.writes == writes);
}

TEST_CASE("after an outage a roll-out waits for the evidence of other entries")
{
    sync_fixture fixture;
    fixture.orderRollout();
    fixture.sync.start();
    fixture.runtime.advance(seconds(6));
    CHECK(fixture.store.valueOf("status", "pool") == "trial");
    for (int i = 0; i < 20; ++i)
        fixture.routing.rollouts("pool").observe("v2", "route", "m", answer_timing{},
                                                 fixture.runtime.now());
    // The deadline passes during the outage. Another entry has found the version bad and writes its
    // evidence late.
    fixture.store.away = true;
    fixture.runtime.advance(seconds(9));
    fixture.store.away = false;
    fixture.runtime.advance(seconds(2));
    CHECK(fixture.store.valueOf("status", "pool") == "trial");
    const store_version order = fixture.routing.rollouts("pool").order()->orderedAt;
    fixture.store.put("laurelcroft", evidenceKey("e2", "pool"),
                      encodeEvidence({order, {{"route", {10, 30, 0}}}}));
    fixture.runtime.advance(seconds(3));
    CHECK(fixture.store.valueOf("status", "pool") == "reverted");
}

/// \returns how long after the store's return a version that was found bad during the outage is
/// reverted.
static milliseconds revertedAfter(milliseconds outage)
{
    sync_fixture fixture;
    fixture.store.put("endpoints", "b", "v2");
    fixture.store.put("orders", "pool", "v2");
    fixture.sync.start();
    fixture.runtime.advance(seconds(2));
    fixture.store.away = true;
    for (int i = 0; i < 30; ++i)
        fixture.routing.rollouts("pool").observe("v2", "route", "m", std::nullopt,
                                                 fixture.runtime.now());
    fixture.runtime.advance(outage);
    fixture.store.away = false;
    milliseconds waited{0};
    while (fixture.store.valueOf("status", "pool") != "reverted" && waited < seconds(5)) {
        fixture.runtime.advance(milliseconds(50));
        waited += milliseconds(50);
    }
    return waited;
}

TEST_CASE("a revert that could not be written is written when the store is back")
{
    milliseconds sum{0};
    constexpr int outages = 20;
    for (int i = 0; i < outages; ++i)
        sum += revertedAfter(milliseconds(2500 + 70 * i));
    // Expected: half of the longest read retry and two checks, not half of the delay after a failed
    // write.
    CHECK(sum / outages <= milliseconds(500));
}

TEST_CASE("an entry that starts during a roll-out continues from its row")
{
    sync_fixture fixture;
    fixture.orderRollout();
    // The order's row has version 4 here.
    const rollout_row row{4, "v2", rollout_stage::reverted, milliseconds(1), milliseconds(1), 0.1};
    fixture.store.put("laurelcroft", "rollout/pool", encodeRollout(row));
    fixture.sync.start();
    fixture.runtime.advance(seconds(3));
    const auto eligible = fixture.routing.rollouts("pool")
                                  .eligible(fixture.routing.directory().usable("pool"),
                                            {0, fixture.runtime.now(), fixture.runtime.now()})
                                  .endpoints;
    REQUIRE(eligible.size() == 1);
    CHECK(eligible[0]->record().id == "a");
    CHECK(fixture.store.valueOf("status", "pool").empty());
}

TEST_CASE("entries count each other by their rows")
{
    sync_fixture fixture("e1");
    fixture.store.put("laurelcroft", "entry/e2", encodeEntry({"10.0.0.2:5", "hall"}));
    fixture.store.put("laurelcroft", "entry/e3", "nonsense");
    fixture.sync.start();
    fixture.runtime.advance(seconds(3));
    CHECK(fixture.routing.entries() == 3);
    CHECK(fixture.entries.at("e1").address == "10.0.0.1:5");
    CHECK(fixture.entries.at("e2").dataCentre == "hall");
}

TEST_CASE("rows of dead entries are removed, and a live entry writes its removed row again")
{
    sync_fixture fixture("e1");
    const auto storeNow
            = std::chrono::duration_cast<milliseconds>(fixture.runtime.now().time_since_epoch());
    fixture.store.put("laurelcroft", "entry/e2", encodeEntry({"10.0.0.2:5", "hall", storeNow}));
    fixture.store.put("laurelcroft", evidenceKey("e2", "pool"), encodeEvidence({}));
    fixture.sync.start();
    fixture.runtime.advance(seconds(3));
    CHECK(fixture.routing.entries() == 2);
    fixture.runtime.advance(entry_registry::rowLifetime + seconds(30));
    CHECK(fixture.routing.entries() == 1);
    CHECK(fixture.entries.count("e1") == 1);
    fixture.store.remove("laurelcroft", "entry/e1");
    fixture.runtime.advance(seconds(6));
    CHECK(fixture.entries.count("e1") == 1);
    // Three renewals, one removal, one new row.
    CHECK(fixture.store.writes <= 7);
}

TEST_CASE("an entry without the store learns from another one, and ignores older rows")
{
    sync_fixture fixture;
    fixture.store.put("orders", "contract", "3");
    fixture.begin();
    const store_version version = 50;
    fixture.store.away = true;
    fixture.ordersOfPeer = row_update{{{{"contract", "7", version, false}}, version, {}}, true};
    fixture.runtime.advance(seconds(4));
    CHECK(fixture.routing.contract()->version == 7);
    const unsigned contracts = fixture.contracts;
    fixture.ordersOfPeer = row_update{{{{"contract", "9", 2, false}}, 2, {}}, true};
    fixture.runtime.advance(seconds(4));
    CHECK(fixture.routing.contract()->version == 7);
    CHECK(fixture.contracts == contracts);
}

TEST_CASE("an entry that starts during an outage learns from another one")
{
    sync_fixture fixture;
    fixture.store.away = true;
    fixture.ordersOfPeer = row_update{{{{"contract", "7", 50, false}}, 50, {}}, true};
    fixture.sync.start();
    fixture.runtime.advance(seconds(1));
    REQUIRE(fixture.routing.contract());
    CHECK(fixture.routing.contract()->version == 7);
}

TEST_CASE("failed writes are not repeated at every check")
{
    sync_fixture fixture;
    fixture.store.put("endpoints", "b", "v2");
    fixture.store.put("orders", "pool", "v2");
    fixture.sync.start();
    fixture.runtime.advance(milliseconds(100));
    fixture.store.away = true;
    const unsigned before = fixture.store.writes;
    fixture.runtime.advance(seconds(10));
    CHECK(fixture.store.writes - before <= 18);
}

TEST_CASE("an entry with readers reads from them, and from the store only when they fail")
{
    sync_fixture fixture;
    fixture.relayed = true;
    fixture.ordersOfPeer = row_update{{{{"contract", "7", 50, false}}, 50, {}}, true};
    fixture.store.put("endpoints", "a", "v1");
    fixture.sync.start();
    fixture.runtime.advance(seconds(1));
    REQUIRE(fixture.routing.contract());
    CHECK(fixture.routing.contract()->version == 7);
    // The peer has no endpoints: they are read from the store.
    CHECK(fixture.routing.directory().usable("pool").size() == 1);
    CHECK(fixture.store.lists == 2);
}

TEST_CASE("an entry whose write conflicts continues from the current row")
{
    sync_fixture fixture;
    fixture.store.put("endpoints", "b", "v2");
    fixture.store.put("orders", "pool", "v2");
    fixture.begin();
    // Another entry wrote first; this entry's feed has not delivered that row yet.
    const rollout_row row{3, "v2", rollout_stage::reverted, milliseconds(1), milliseconds(1), 0};
    fixture.store.put("laurelcroft", "rollout/pool", encodeRollout(row));
    fixture.runtime.advance(milliseconds(1900));
    REQUIRE(fixture.routing.rollouts("pool").row());
    CHECK(fixture.routing.rollouts("pool").row()->stage == rollout_stage::reverted);
}

TEST_CASE("a restarted entry uses the evidence that it wrote before")
{
    sync_fixture fixture;
    fixture.store.put("endpoints", "b", "v2");
    fixture.store.put("orders", "pool", "v2");
    const rollout_evidence before{3, {{"route", {10, 30}}}};
    fixture.store.put("laurelcroft", evidenceKey("e1", "pool"), encodeEvidence(before));
    fixture.sync.start();
    fixture.runtime.advance(seconds(4));
    CHECK(fixture.store.valueOf("status", "pool") == "reverted");
}

TEST_CASE("heartbeats are not passed on, changes are")
{
    sync_fixture fixture;
    fixture.store.put("endpoints", "a", "v1");
    fixture.store.put("endpoints", "b", "v1");
    fixture.begin();
    const auto first = fixture.mirror.read("endpoints", 0, fixture.runtime.now());
    REQUIRE(first);
    fixture.store.put("endpoints", "a", "v1"); // same value again
    fixture.store.put("endpoints", "b", "v1-");
    fixture.runtime.advance(milliseconds(900));
    const auto update
            = fixture.mirror.read("endpoints", first->update.batch.version, fixture.runtime.now());
    REQUIRE(update);
    REQUIRE(update->update.batch.rows.size() == 1);
    CHECK(update->update.batch.rows[0].key == "b");
    CHECK(update->update.batch.version > first->update.batch.version);
}

TEST_CASE("an unreadable record does not affect others and is counted once")
{
    sync_fixture fixture;
    fixture.store.put("endpoints", "a", "v1");
    fixture.store.put("endpoints", "x", "foreign");
    fixture.begin();
    CHECK(fixture.routing.directory().usable("pool").size() == 1);
    fixture.store.put("endpoints", "x", "foreign");
    fixture.store.put("endpoints", "b", "v1");
    fixture.runtime.advance(milliseconds(2100));
    CHECK(fixture.routing.directory().usable("pool").size() == 2);
    CHECK(fixture.metrics.prometheusText().find("endpoint_records_refused_total 1\n")
          != std::string::npos);
    // An unreadable record of a known endpoint leaves the endpoint unchanged.
    fixture.store.put("endpoints", "a", "foreign");
    fixture.runtime.advance(milliseconds(2100));
    CHECK(fixture.routing.directory().usable("pool").size() == 2);
}
