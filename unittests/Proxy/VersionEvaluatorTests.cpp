//===-- VersionEvaluatorTests.cpp - evaluates a version -------------------===//
//
// Answers of both versions, and evidence of other entries.
//
//===----------------------------------------------------------------------===//
#include "RolloutExamples.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("evidence too weak at each entry suffices when combined")
{
    const auto hasNextRow = [](bool together) {
        rollout_tracker tracker(0.15);
        tracker.setOrder(exampleOrder());
        tracker.setRow(rowAt(rollout_stage::trial));
        const auto good = std::optional<answer_timing>({milliseconds(100), {}});
        for (int i = 0; i < 200; ++i)
            tracker.observe("v1", "route", "m", good, nextMoment());
        for (int i = 0; i < 9; ++i)
            tracker.observe("v2", "route", "m", i % 3 == 0 ? std::nullopt : good, nextMoment());
        const rollout_evidence seen{7, {{"route", {6, 3, 0}}}};
        for (int entry = 0; together && entry < 5; ++entry)
            tracker.evaluator().takeEvidence("e" + std::to_string(entry), seen);
        return tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 6).has_value();
    };
    CHECK(!hasNextRow(false));
    CHECK(hasNextRow(true));
}

TEST_CASE("repeated evidence counts once, and evidence of another order does not count")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::trial));
    for (int i = 0; i < 50; ++i) {
        tracker.evaluator().takeEvidence("e1", {7, {{"route", {3, 1, 0}}}});
        tracker.evaluator().takeEvidence("e2", {6, {{"route", {0, 9, 0}}}});
    }
    CHECK(!tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 3));
}

TEST_CASE("evidence of other entries counts only where all of it arrives")
{
    // One answer in twenty is slow, as with the settled version. Each of a hundred entries has seen
    // one or two answers, and only those with a slow one have written a row.
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::trial));
    const auto good = std::optional<answer_timing>({milliseconds(100), {}});
    const auto slow = std::optional<answer_timing>({milliseconds(900), {}});
    for (int i = 0; i < 400; ++i)
        tracker.observe("v1", "route", "m", i % 20 == 19 ? slow : good, nextMoment());
    tracker.evaluator().setUsesPeerEvidence(false);
    for (int entry = 0; entry < 100; entry += 15)
        tracker.evaluator().takeEvidence("e" + std::to_string(entry),
                                         {7, {{"route", {0, 0, 1}}}, 11});
    const std::vector<endpoint_ptr> target{endpointOf("b", "v2")};
    CHECK(!tracker.nextRow(milliseconds(3000), target, 100));

    // All entries send their evidence to an entry that reads the store.
    for (int entry = 0; entry < 100; ++entry) {
        const std::uint64_t slowOnes = entry % 15 == 0 ? 1 : 0;
        tracker.evaluator().takeEvidence("e" + std::to_string(entry),
                                         {7, {{"route", {1, 0, slowOnes}}}, 11});
    }
    tracker.evaluator().setUsesPeerEvidence(true);
    CHECK(!tracker.nextRow(milliseconds(3000), target, 100));
    // A version that fails every third answer is still found bad.
    for (int entry = 0; entry < 100; ++entry) {
        const std::uint64_t failed = entry % 3 == 0 ? 1 : 0;
        tracker.evaluator().takeEvidence("e" + std::to_string(entry),
                                         {7, {{"route", {2, failed, 1}}}, 11});
    }
    const auto next = tracker.nextRow(milliseconds(4000), target, 100);
    REQUIRE(next);
    CHECK(next->stage == rollout_stage::reverted);
}

TEST_CASE("outdated evidence does not count, and evidence of a restarted entry is added")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::trial));
    for (int i = 0; i < 20; ++i) {
        tracker.evaluator().takeEvidence("e1", {7, {{"route", {5, 2, 0}}}, 11});
        tracker.evaluator().takeEvidence("e1", {7, {{"route", {3, 1, 0}}}, 11});
    }
    CHECK(tracker.evaluator().strongestSuspicion().all == 7);
    tracker.evaluator().takeEvidence("e1", {7, {{"route", {3, 1, 0}}}, 12});
    CHECK(tracker.evaluator().strongestSuspicion().all == 11);
}

TEST_CASE("evidence round-trips through its encoding")
{
    const rollout_evidence evidence{7, {{"a", {3, 1, 0}}, {"b", {0, 1, 1}}}, ~0ULL};
    CHECK(evidence.all() == 6);
    CHECK(decodeEvidence(encodeEvidence(evidence)).value() == evidence);
    CHECK(evidence.bad() == 3);
    CHECK(!decodeEvidence("{}"));
    const auto place = evidenceOfKey(evidenceKey("edge-1", "pool"));
    REQUIRE(place);
    CHECK(place->entry == "edge-1");
    CHECK(place->service == "pool");
    CHECK(!evidenceOfKey("evidence/x"));
}

TEST_CASE("slow answers of both versions do not hide failures of the new one")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::trial));
    const auto at = [](int ms) { return std::optional<answer_timing>({milliseconds(ms), {}}); };
    for (int i = 0; i < 300; ++i)
        tracker.observe("v1", "route", "m", at(i % 5 == 0 ? 2000 : 50), nextMoment());
    for (int i = 0; i < 24; ++i)
        tracker.observe("v2", "route", "m", i % 3 == 0 ? std::nullopt : at(50), nextMoment());
    const auto next = tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 3);
    REQUIRE(next);
    CHECK(next->stage == rollout_stage::reverted);
}

TEST_CASE("slow answers close together count once")
{
    const auto hasNextRow = [](milliseconds apart, bool silent) {
        rollout_tracker tracker(0.15);
        tracker.setOrder(exampleOrder());
        tracker.setRow(rowAt(rollout_stage::trial));
        const auto at = [](int ms) { return std::optional<answer_timing>({milliseconds(ms), {}}); };
        for (int i = 0; i < 100; ++i)
            tracker.observe("v1", "route", "m", at(100), nextMoment());
        time_point now = nextMoment();
        for (int i = 0; i < 20; ++i) {
            now += apart;
            if (silent)
                tracker.observeSilence("v2", "route", now);
            else
                tracker.observe("v2", "route", "m", at(1500), now);
        }
        return tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 3).has_value();
    };
    for (const bool silent : {false, true}) {
        CHECK(!hasNextRow(milliseconds(30), silent));
        CHECK(hasNextRow(milliseconds(600), silent));
    }
}

TEST_CASE("slow answers in one report of an entry count once")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(exampleOrder());
    tracker.setRow(rowAt(rollout_stage::trial));
    tracker.evaluator().takeEvidence("e1", {7, {{"route", {4, 0, 30}}}});
    CHECK(tracker.evaluator().strongestSuspicion().bad == 1);
    CHECK(tracker.evaluator().strongestSuspicion().fault == "slowness");
    tracker.evaluator().takeEvidence("e2", {7, {{"route", {4, 3, 0}}}});
    CHECK(tracker.evaluator().strongestSuspicion().bad == 3);
    CHECK(tracker.evaluator().strongestSuspicion().fault == "failures");
}

TEST_CASE("a wait explained by long prompts is not slow")
{
    const auto hasNextRow = [](milliseconds reading) {
        rollout_tracker tracker(0.15);
        tracker.setOrder(exampleOrder());
        tracker.setRow(rowAt(rollout_stage::trial));
        for (int i = 0; i < 100; ++i)
            tracker.observe("v1", "route", "m", answer_timing{milliseconds(100), {}, {}},
                            nextMoment());
        for (int i = 0; i < 20; ++i)
            tracker.observe("v2", "route", "m", answer_timing{milliseconds(900), {}, reading},
                            nextMoment());
        return tracker.nextRow(milliseconds(3000), {endpointOf("b", "v2")}, 3).has_value();
    };
    CHECK(hasNextRow(milliseconds(0)));
    CHECK(!hasNextRow(milliseconds(500)));
}

TEST_CASE("a version that mostly fails is not completed even if the old one fails too")
{
    const auto stageAfter = [](unsigned failures) {
        rollout_tracker tracker(0.15);
        tracker.setOrder(exampleOrder());
        tracker.setRow(rowAt(rollout_stage::full));
        const auto good = std::optional<answer_timing>({milliseconds(100), {}});
        // Most endpoints of the old version fail for a while.
        for (int i = 0; i < 30; ++i)
            tracker.observe("v1", "route", "m", i % 5 != 0 ? std::nullopt : good, nextMoment());
        for (unsigned i = 0; i < 17; ++i)
            tracker.observe("v2", "route", "m", i * 7 % 17 < failures ? std::nullopt : good,
                            nextMoment());
        return tracker.nextRow(milliseconds(20500), {endpointOf("b", "v2")}, 3).value().stage;
    };
    CHECK(stageAfter(6) == rollout_stage::completed);
    CHECK(stageAfter(13) == rollout_stage::reverted);
}

TEST_CASE("an answer counts as slow while it is still awaited")
{
    version_evaluator evaluator;
    evaluator.begin(7);
    const answer_timing usual{milliseconds(100), {}, {}};
    for (int i = 0; i < 60; ++i)
        evaluator.observe(false, "route", "m", usual, nextMoment());
    const answer_timing late{milliseconds(900), {}, {}};
    CHECK(!evaluator.observeWait(true, "route", "m", usual, nextMoment()));
    for (int i = 0; i < 12; ++i) {
        CHECK(evaluator.observeWait(true, "route", "m", late, nextMoment()));
        // Fast answers have ended by then.
        evaluator.observe(true, "route", "m", usual, nextMoment());
    }
    CHECK(evaluator.strongestSuspicion().bad == 12);
    CHECK(evaluator.isFoundBad());
    // It is not counted again when it ends.
    const std::uint64_t known = evaluator.targetAnswers();
    evaluator.observe(true, "route", "m", answer_timing{milliseconds(4000), {}, {}, true},
                      nextMoment());
    CHECK(evaluator.targetAnswers() == known);
}

TEST_CASE("a suspected trial does not go to full share and is reverted at its end")
{
    const rollout_order order = exampleOrder();
    rollout_view view;
    view.targetListed = true;
    view.evaluatedAnswers = 40;
    view.requestsPerSecond = 100;
    view.suspected = true;
    rollout_row row = rowAt(rollout_stage::trial);
    row.share = 0.07;
    row.startedAt = milliseconds(0);
    row.stageSince = milliseconds(10200);
    std::optional<rollout_row> next;
    for (view.now = milliseconds(10200); !next; view.now += milliseconds(100))
        next = nextRolloutRow(order, row, view);
    CHECK(next->stage == rollout_stage::reverted);
    CHECK(next->stageSince == order.window - seconds(1));
    view.suspected = false;
    view.now = milliseconds(18000);
    CHECK(nextRolloutRow(order, row, view)->stage == rollout_stage::full);
}
