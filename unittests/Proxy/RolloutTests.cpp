//===-- RolloutTests.cpp - roll-outs of versions --------------------------===//
//
// Tests of the tracker of one service and of the rows that entries share.
//
//===----------------------------------------------------------------------===//
#include "RolloutExamples.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

/// \returns how many of a hundred sessions get the new version at \p now.
static unsigned onTarget(rollout_tracker &tracker, const std::vector<endpoint_ptr> &endpoints,
                         time_point now = nextMoment())
{
    unsigned count = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        const std::uint64_t session = i * (~std::uint64_t(0) / 100);
        const auto eligible = tracker.eligible(endpoints, {session, now, now}).endpoints;
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

TEST_CASE("a session has the same version at every entry during a trial")
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
        CHECK(one.eligible(both, {spread, {}, nextMoment()}).endpoints[0]->record().id
              == other.eligible(both, {spread, {}, nextMoment()}).endpoints[0]->record().id);
    }
}

TEST_CASE("a reverted version is not used even if no other endpoints are left")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::reverted));
    CHECK(tracker.eligible({endpointOf("b", "v2")}, {1, {}, nextMoment()}).endpoints.empty());
}

TEST_CASE("failures and slow answers of the new version revert it")
{
    for (const bool slow : {false, true}) {
        rollout_tracker tracker(0.15);
        tracker.setOrder(exampleOrder());
        tracker.setRow(rowAt(rollout_stage::trial));
        for (int i = 0; i < 100; ++i)
            tracker.observe("v1", "route", "m", answer_timing{milliseconds(100), {}}, nextMoment());
        for (int i = 0; i < 12; ++i)
            tracker.observe("v2", "route", "m",
                            slow ? std::optional<answer_timing>({milliseconds(800), {}})
                                 : std::nullopt,
                            nextMoment());
        const auto next = tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 3);
        REQUIRE(next);
        CHECK(next->stage == rollout_stage::reverted);
    }
}

TEST_CASE("failures of both versions at the same rate do not revert the new version")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::trial));
    for (int i = 0; i < 300; ++i) {
        const auto wait
                = i % 7 == 0 ? std::nullopt : std::optional<answer_timing>({milliseconds(100), {}});
        tracker.observe("v1", "route", "m", wait, nextMoment());
        if (i % 3 == 0)
            tracker.observe("v2", "route", "m", wait, nextMoment());
    }
    CHECK(!tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 3));
}

TEST_CASE("failures of one route are not hidden by the good answers of others")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::trial));
    const auto good = std::optional<answer_timing>({milliseconds(100), {}});
    for (int i = 0; i < 200; ++i) {
        tracker.observe("v1", "busy", "m", good, nextMoment());
        tracker.observe("v1", "rare", "m", good, nextMoment());
    }
    for (int i = 0; i < 30; ++i) {
        tracker.observe("v2", "busy", "m", good, nextMoment());
        tracker.observe("v2", "busy", "m", good, nextMoment());
        tracker.observe("v2", "busy", "m", good, nextMoment());
        tracker.observe("v2", "rare", "m", i % 3 == 0 ? std::nullopt : good, nextMoment());
    }
    const auto next = tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 3);
    REQUIRE(next);
    CHECK(next->stage == rollout_stage::reverted);
}

TEST_CASE("a trial uses few endpoints of the new version, the same at every entry")
{
    rollout_tracker one(0.15);
    rollout_tracker other(0.15);
    std::vector<endpoint_ptr> endpoints;
    for (int i = 0; i < 10; ++i)
        endpoints.push_back(endpointOf("n" + std::to_string(i), "v2"));
    std::vector<endpoint_ptr> reversed(endpoints.rbegin(), endpoints.rend());
    rollout_row row = rowAt(rollout_stage::trial);
    row.share = 0.2;
    for (rollout_tracker *tracker : {&one, &other}) {
        tracker->setOrder(exampleOrder());
        tracker->setRow(row);
    }
    const auto first = one.eligible(endpoints, {0, {}, nextMoment()}).endpoints;
    const auto second = other.eligible(reversed, {0, {}, nextMoment()}).endpoints;
    REQUIRE(first.size() == 2);
    CHECK(first == second);
}

TEST_CASE("a good version goes through waiting, trial and full to completed")
{
    rollout_tracker tracker(0.15);
    const std::vector<endpoint_ptr> both = {endpointOf("a", "v1"), endpointOf("b", "v2")};
    tracker.setOrder(exampleOrder());
    for (int i = 0; i < 50; ++i)
        tracker.observe("v2", "route", "m", answer_timing{milliseconds(100), {}}, nextMoment());
    std::vector<rollout_stage> stages;
    for (milliseconds at(1000); at < milliseconds(21000); at += milliseconds(100)) {
        const auto next = tracker.nextRow(at, both, 3);
        if (!next)
            continue;
        stages.push_back(next->stage);
        tracker.setRow(*next);
    }
    CHECK(stages
          == std::vector<rollout_stage>{rollout_stage::waiting, rollout_stage::trial,
                                        rollout_stage::full, rollout_stage::completed});
}

TEST_CASE("a row of an earlier order is ignored for the next one")
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
    CHECK(next->stage == rollout_stage::waiting);
    CHECK(next->orderedAt.number == 9);
}

TEST_CASE("shared rows round-trip through their encoding; malformed ones are refused")
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

TEST_CASE("slow stream events revert a version whose answers begin in time")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::trial));
    for (int i = 0; i < 100; ++i)
        tracker.observe("v1", "route", "m", answer_timing{milliseconds(100), milliseconds(80)},
                        nextMoment());
    for (int i = 0; i < 30; ++i) {
        const milliseconds pause(i % 3 == 0 ? 600 : 80);
        tracker.observe("v2", "route", "m", answer_timing{milliseconds(100), pause}, nextMoment());
    }
    const auto next = tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 3);
    REQUIRE(next);
    CHECK(next->stage == rollout_stage::reverted);
}

TEST_CASE("a suspected version is not completed")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::full));
    const auto good = std::optional<answer_timing>({milliseconds(100), {}});
    for (int i = 0; i < 200; ++i)
        tracker.observe("v1", "route", "m", good, nextMoment());
    for (int i = 0; i < 10; ++i)
        tracker.observe("v2", "route", "m", i % 3 == 0 ? std::nullopt : good, nextMoment());
    CHECK(!tracker.nextRow(milliseconds(18000), {endpointOf("b", "v2")}, 3));
    const auto next = tracker.nextRow(milliseconds(20500), {endpointOf("b", "v2")}, 3);
    REQUIRE(next);
    CHECK(next->stage == rollout_stage::reverted);
}

TEST_CASE("an entry that has seen no answers of the new version does not complete it")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::full));
    CHECK(!tracker.nextRow(milliseconds(20900), {endpointOf("b", "v2")}, 3));
}

TEST_CASE("an entry that found the version bad reverts locally when the shared row is late")
{
    rollout_tracker tracker(0.15);
    const std::vector<endpoint_ptr> both = {endpointOf("a", "v1"), endpointOf("b", "v2")};
    tracker.setOrder(exampleOrder());
    for (const rollout_stage stage : {rollout_stage::trial, rollout_stage::full}) {
        tracker.setRow(rowAt(stage));
        CHECK(onTarget(tracker, both) > 0);
    }
    for (int i = 0; i < 20; ++i)
        tracker.observe("v2", "route", "m", std::nullopt, nextMoment());
    // Other entries must learn of it first: sessions keep one version meanwhile.
    const time_point found = nextMoment();
    CHECK(onTarget(tracker, both, found) == 100);
    CHECK(onTarget(tracker, both, found + rollout_tracker::localRevertDelay - milliseconds(1))
          == 100);
    CHECK(onTarget(tracker, both, found + rollout_tracker::localRevertDelay) == 0);
    // Once the old version may end, there may be no other endpoints to send to.
    tracker.setRow(rowAt(rollout_stage::completed));
    CHECK(onTarget(tracker, both) == 100);
}

TEST_CASE("a version with a significantly higher bad share than the settled one is not completed")
{
    const auto stageAfter = [](int every) {
        rollout_tracker tracker(0.15);
        tracker.setOrder(exampleOrder());
        tracker.setRow(rowAt(rollout_stage::full));
        const auto at = [](int ms) { return answer_timing{milliseconds(ms), {}, {}}; };
        for (int i = 0; i < 400; ++i)
            tracker.observe("v1", "route", "m", at(i % 10 == 0 ? 900 : 50), nextMoment());
        for (int i = 1; i <= 60; ++i)
            tracker.observe("v2", "route", "m", at(i % every == 0 ? 900 : 50), nextMoment());
        return tracker.nextRow(milliseconds(20500), {endpointOf("b", "v2")}, 3).value().stage;
    };
    CHECK(stageAfter(10) == rollout_stage::completed);
    CHECK(stageAfter(3) == rollout_stage::reverted);
}

TEST_CASE("a version that may be slow, by few answers, is not completed")
{
    const auto stageAfter = [](int good, int slow) {
        rollout_tracker tracker(0.15);
        tracker.setOrder(exampleOrder());
        tracker.setRow(rowAt(rollout_stage::full));
        const answer_timing quick{milliseconds(50), {}, {}};
        for (int i = 0; i < 60; ++i)
            tracker.observe("v1", "route", "m", quick, nextMoment());
        for (int i = 0; i < good; ++i)
            tracker.observe("v2", "route", "m", quick, nextMoment());
        // Eight times as long as usual.
        for (int i = 0; i < slow; ++i)
            tracker.observe("v2", "route", "m", answer_timing{milliseconds(400), {}, {}},
                            nextMoment());
        for (int i = 0; i < 10; ++i)
            tracker.observe("v2", "other route", "m", quick, nextMoment());
        return tracker.nextRow(milliseconds(20500), {endpointOf("b", "v2")}, 3).value().stage;
    };
    CHECK(stageAfter(8, 2) == rollout_stage::reverted);
    CHECK(stageAfter(12, 3) == rollout_stage::reverted);
    CHECK(stageAfter(9, 1) == rollout_stage::completed);
    CHECK(stageAfter(40, 2) == rollout_stage::completed);
}

TEST_CASE("without evidence of other entries a roll-out may be reverted but not advanced")
{
    rollout_tracker tracker(0.15);
    const std::vector<endpoint_ptr> both = {endpointOf("a", "v1"), endpointOf("b", "v2")};
    tracker.setOrder(exampleOrder());
    for (int i = 0; i < 50; ++i)
        tracker.observe("v2", "route", "m", answer_timing{milliseconds(100), {}}, nextMoment());
    for (const rollout_stage stage :
         {rollout_stage::waiting, rollout_stage::trial, rollout_stage::full}) {
        tracker.setRow(rowAt(stage));
        CHECK(tracker.nextRow(milliseconds(30000), both, 3, true));
        CHECK(!tracker.nextRow(milliseconds(30000), both, 3, false));
    }
    for (int i = 0; i < 30; ++i)
        tracker.observe("v2", "route", "m", std::nullopt, nextMoment());
    const auto next = tracker.nextRow(milliseconds(3000), both, 3, false);
    REQUIRE(next);
    CHECK(next->stage == rollout_stage::reverted);
}
