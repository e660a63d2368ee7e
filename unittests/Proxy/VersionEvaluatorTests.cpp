//===-- VersionEvaluatorTests.cpp - whether a version is bad ----------------===//
//
// Answers of both versions, and what other entries tell of theirs.
//
//===----------------------------------------------------------------------===//
#include "RolloutExamples.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("what no entry could tell alone, all tell together")
{
    const auto judge = [](bool together) {
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
    CHECK(!judge(false));
    CHECK(judge(true));
}

TEST_CASE("evidence that comes twice, or of another order, counts once or not at all")
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

TEST_CASE("an entry that hears of bad answers only doesn't judge by them, until it hears all")
{
    // One answer of twenty is slow, as of the settled version. Of a hundred entries each has seen
    // one or two, and only those with a slow one have written a row.
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

    // Whoever reads the store is told by all of them.
    for (int entry = 0; entry < 100; ++entry) {
        const std::uint64_t slowOnes = entry % 15 == 0 ? 1 : 0;
        tracker.evaluator().takeEvidence("e" + std::to_string(entry),
                                         {7, {{"route", {1, 0, slowOnes}}}, 11});
    }
    tracker.evaluator().setUsesPeerEvidence(true);
    CHECK(!tracker.nextRow(milliseconds(3000), target, 100));
    // A version that fails each third answer is found all the same.
    for (int entry = 0; entry < 100; ++entry) {
        const std::uint64_t failed = entry % 3 == 0 ? 1 : 0;
        tracker.evaluator().takeEvidence("e" + std::to_string(entry),
                                         {7, {{"route", {2, failed, 1}}}, 11});
    }
    const auto next = tracker.nextRow(milliseconds(4000), target, 100);
    REQUIRE(next);
    CHECK(next->stage == rollout_stage::reverted);
}

TEST_CASE("evidence that comes late counts nothing, that of a restarted entry counts again")
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

TEST_CASE("evidence survives the way to the store and back")
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

TEST_CASE("slow answers of both versions don't hide the failures of the new one")
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

TEST_CASE("slow answers that one long prompt explains count once")
{
    const auto judge = [](milliseconds apart, bool silent) {
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
        CHECK(!judge(milliseconds(30), silent));
        CHECK(judge(milliseconds(600), silent));
    }
}

TEST_CASE("of the slow answers that an entry tells of at once, one counts")
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

TEST_CASE("a wait that long prompts explain is not slow")
{
    const auto judge = [](milliseconds reading) {
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
    CHECK(judge(milliseconds(0)));
    CHECK(!judge(milliseconds(500)));
}

TEST_CASE("a version that mostly fails is not completed, whatever the old one does")
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

TEST_CASE("an answer counts as slow once it is late, not only when it has come")
{
    version_evaluator judge;
    judge.begin(7);
    const answer_timing usual{milliseconds(100), {}, {}};
    for (int i = 0; i < 60; ++i)
        judge.observe(false, "route", "m", usual, nextMoment());
    const answer_timing late{milliseconds(900), {}, {}};
    CHECK(!judge.observeWait(true, "route", "m", usual, nextMoment()));
    for (int i = 0; i < 12; ++i) {
        CHECK(judge.observeWait(true, "route", "m", late, nextMoment()));
        // The fast ones have ended by then.
        judge.observe(true, "route", "m", usual, nextMoment());
    }
    CHECK(judge.strongestSuspicion().bad == 12);
    CHECK(judge.isFoundBad());
    // When it ends it counts no second time.
    const std::uint64_t known = judge.targetAnswers();
    judge.observe(true, "route", "m", answer_timing{milliseconds(4000), {}, {}, true},
                  nextMoment());
    CHECK(judge.targetAnswers() == known);
}

TEST_CASE("full share doesn't begin while a trial leaves doubt, and the version goes at the end")
{
    const rollout_order order = exampleOrder();
    rollout_view view;
    view.targetListed = true;
    view.judged = 40;
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
