//===-- RolloutTests.cpp - versions under roll-out --------------------------===//
//
// The tracker of one service, and the rows that entries share.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RolloutRows.h"
#include "laurelcroft/Proxy/RolloutTracker.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

static endpoint_ptr endpointOf(const std::string &id, const std::string &version)
{
    endpoint_record record;
    record.id = id;
    record.softwareVersion = version;
    return std::make_shared<service_endpoint>(record);
}

static rollout_order exampleOrder()
{
    return {"pool", "v2", seconds(20), 7};
}

static rollout_row rowAt(rollout_stage stage)
{
    return {7, "v2", stage, milliseconds(1000), milliseconds(1000), 0.5};
}

static unsigned onTarget(rollout_tracker &tracker, const std::vector<endpoint_ptr> &endpoints)
{
    unsigned count = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        const std::uint64_t session = i * (~std::uint64_t(0) / 100);
        const auto eligible = tracker.eligible(endpoints, session);
        count += !eligible.empty() && eligible[0]->record().softwareVersion == "v2" ? 1 : 0;
    }
    return count;
}

TEST_CASE("a new version gets nothing before its order, and a share while on trial")
{
    rollout_tracker tracker(0.15);
    const std::vector<endpoint_ptr> old = {endpointOf("a", "v1")};
    const std::vector<endpoint_ptr> both = {endpointOf("a", "v1"), endpointOf("b", "v2")};
    CHECK(onTarget(tracker, old) == 0);
    CHECK(onTarget(tracker, both) == 0);
    tracker.setOrder(exampleOrder());
    CHECK(onTarget(tracker, both) == 0);
    tracker.setRow(rowAt(rollout_stage::trial));
    CHECK(onTarget(tracker, both) == 50);
    tracker.setRow(rowAt(rollout_stage::full));
    CHECK(onTarget(tracker, both) == 100);
    tracker.setRow(rowAt(rollout_stage::reverted));
    CHECK(onTarget(tracker, both) == 0);
}

TEST_CASE("a session has one version at every entry while a trial lasts")
{
    rollout_tracker one(0.15);
    rollout_tracker other(0.15);
    const std::vector<endpoint_ptr> both = {endpointOf("a", "v1"), endpointOf("b", "v2")};
    for (rollout_tracker *tracker : {&one, &other}) {
        tracker->setOrder(exampleOrder());
        tracker->setRow(rowAt(rollout_stage::trial));
    }
    for (std::uint64_t session = 1; session < 1000; ++session) {
        const std::uint64_t spread = session * 0x9e3779b97f4a7c15ULL;
        CHECK(one.eligible(both, spread)[0]->record().id
              == other.eligible(both, spread)[0]->record().id);
    }
}

TEST_CASE("a reverted version stays out although nothing else is left")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::reverted));
    CHECK(tracker.eligible({endpointOf("b", "v2")}, 1).empty());
}

TEST_CASE("failures and slow answers of the new version revert it")
{
    for (const bool slow : {false, true}) {
        rollout_tracker tracker(0.15);
        tracker.setOrder(exampleOrder());
        tracker.setRow(rowAt(rollout_stage::trial));
        for (int i = 0; i < 100; ++i)
            tracker.observe("v1", "route", milliseconds(100));
        for (int i = 0; i < 12; ++i)
            tracker.observe("v2", "route",
                            slow ? std::optional<duration>(milliseconds(800)) : std::nullopt);
        const auto next = tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 3);
        REQUIRE(next);
        CHECK(next->stage == rollout_stage::reverted);
    }
}

TEST_CASE("failures that both versions share revert nothing")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::trial));
    for (int i = 0; i < 300; ++i) {
        const auto wait = i % 7 == 0 ? std::nullopt : std::optional<duration>(milliseconds(100));
        tracker.observe("v1", "route", wait);
        if (i % 3 == 0)
            tracker.observe("v2", "route", wait);
    }
    CHECK(!tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 3));
}

TEST_CASE("a good version goes from trial to full to completed")
{
    rollout_tracker tracker(0.15);
    const std::vector<endpoint_ptr> both = {endpointOf("a", "v1"), endpointOf("b", "v2")};
    tracker.setOrder(exampleOrder());
    const auto first = tracker.nextRow(milliseconds(1000), both, 3);
    REQUIRE(first);
    CHECK(first->stage == rollout_stage::trial);
    CHECK(first->share <= 0.15);
    tracker.setRow(*first);
    CHECK(!tracker.nextRow(milliseconds(10000), both, 3));
    const auto full = tracker.nextRow(milliseconds(13000), both, 3);
    REQUIRE(full);
    CHECK(full->stage == rollout_stage::full);
    tracker.setRow(*full);
    both[0]->began();
    CHECK(!tracker.nextRow(milliseconds(16000), both, 3));
    both[0]->ended();
    const auto done = tracker.nextRow(milliseconds(16000), both, 3);
    REQUIRE(done);
    CHECK(done->stage == rollout_stage::completed);
    tracker.setRow(*done);
    CHECK(!tracker.nextRow(milliseconds(30000), both, 3));
}

TEST_CASE("a row of an earlier order says nothing about the next one")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::reverted));
    rollout_order second = exampleOrder();
    second.orderedAt = 9;
    second.targetVersion = "v3";
    tracker.setOrder(second);
    const auto next = tracker.nextRow(milliseconds(1000), {endpointOf("c", "v3")}, 1);
    REQUIRE(next);
    CHECK(next->stage == rollout_stage::trial);
    CHECK(next->orderedAt == 9);
}

TEST_CASE("shared rows survive the way to the store and back; wrong ones are refused")
{
    const rollout_row row = rowAt(rollout_stage::full);
    const auto back = decodeRollout(encodeRollout(row));
    REQUIRE(back);
    CHECK(back.value().stage == row.stage);
    CHECK(back.value().share == row.share);
    CHECK(back.value().startedAt == row.startedAt);
    CHECK(!decodeRollout("{}"));
    CHECK(!decodeRollout("nonsense"));
    CHECK(serviceOfKey(rolloutKey("pool")) == "pool");
    CHECK(!serviceOfKey(entryKey("e1")));
    CHECK(entryOfKey(entryKey("e1")) == "e1");
}
