//===-- DirectPolicyTests.cpp - decisions of the direct path ----------------===//
//
// The outcome table row by row, choice, cascade and roll-out steps.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/AttemptOutcome.h"
#include "laurelcroft/Policy/AttemptTimeout.h"
#include "laurelcroft/Policy/ConfidenceCascade.h"
#include "laurelcroft/Policy/DirectChoice.h"
#include "laurelcroft/Policy/PrefillRate.h"
#include "laurelcroft/Policy/ServiceRollout.h"
#include "laurelcroft/Support/Crypto.h"
#include "laurelcroft/Support/Runtime.h"

#include <doctest/doctest.h>

#include <vector>

using namespace laurelcroft;

namespace {

constexpr attempt_end allEnds[] = {attempt_end::notSent, attempt_end::refused, attempt_end::failed,
                                   attempt_end::broken, attempt_end::silent};

attempt_facts factsOf(unsigned bits)
{
    attempt_facts facts;
    facts.mayRepeat = (bits & 1) != 0;
    facts.partDelivered = (bits & 2) != 0;
    facts.resumable = (bits & 4) != 0;
    facts.mayHaveRun = (bits & 8) != 0;
    facts.endpointsLeft = (bits & 16) != 0;
    facts.budgetLeft = (bits & 32) != 0;
    facts.timeLeft = (bits & 64) != 0;
    facts.worthRetrying = (bits & 128) != 0;
    return facts;
}

constexpr unsigned allFacts = 256;

} // namespace

TEST_CASE("in no row does a request that may run once run twice")
{
    for (unsigned bits = 0; bits < allFacts; ++bits) {
        const attempt_facts facts = factsOf(bits);
        if (facts.mayRepeat || facts.partDelivered)
            continue;
        for (const attempt_end end :
             {attempt_end::failed, attempt_end::broken, attempt_end::silent})
            CHECK(stepAfter(end, facts) != next_step::tryElsewhere);
    }
}

TEST_CASE("in no row is a refusal given for what may have run")
{
    for (unsigned bits = 0; bits < allFacts; ++bits) {
        const attempt_facts facts = factsOf(bits);
        for (const attempt_end end : allEnds) {
            const bool ran = end != attempt_end::notSent && end != attempt_end::refused;
            if (ran || facts.mayHaveRun)
                CHECK(stepAfter(end, facts) != next_step::refuse);
        }
    }
}

TEST_CASE("in no row does a begun answer end in anything but its rest or a cut")
{
    for (unsigned bits = 0; bits < allFacts; ++bits) {
        const attempt_facts facts = factsOf(bits);
        if (!facts.partDelivered)
            continue;
        for (const attempt_end end : allEnds) {
            const next_step step = stepAfter(end, facts);
            CHECK((step == next_step::cut || step == next_step::resumeElsewhere));
            if (step == next_step::resumeElsewhere)
                CHECK(facts.resumable);
        }
    }
}

TEST_CASE("in no row is a further endpoint tried beyond attempts, time or budget")
{
    for (unsigned bits = 0; bits < allFacts; ++bits) {
        const attempt_facts facts = factsOf(bits);
        for (const attempt_end end : allEnds) {
            const next_step step = stepAfter(end, facts);
            if (step != next_step::tryElsewhere && step != next_step::resumeElsewhere)
                continue;
            CHECK(facts.endpointsLeft);
            CHECK(facts.timeLeft);
            // What never reached an endpoint costs no budget.
            CHECK((facts.budgetLeft || end == attempt_end::notSent));
            CHECK((facts.worthRetrying || end == attempt_end::notSent));
        }
    }
}

TEST_CASE("an answer that is ready is always delivered")
{
    for (unsigned bits = 0; bits < allFacts; ++bits)
        CHECK(stepAfter(attempt_end::answered, factsOf(bits)) == next_step::deliver);
}

TEST_CASE("what a further attempt lacks is named: endpoints, time, a chance, the budget")
{
    attempt_facts facts;
    CHECK(retryBlockerOf(facts) == retry_blocker::endpoints);
    facts.endpointsLeft = true;
    CHECK(retryBlockerOf(facts) == retry_blocker::time);
    facts.timeLeft = true;
    CHECK(retryBlockerOf(facts) == retry_blocker::chance);
    facts.worthRetrying = true;
    CHECK(retryBlockerOf(facts) == retry_blocker::budget);
    facts.budgetLeft = true;
    CHECK(retryBlockerOf(facts) == retry_blocker::nothing);
}

static std::vector<direct_candidate> threeCandidates()
{
    std::vector<direct_candidate> candidates(3);
    candidates[0].idHash = stableHash("a");
    candidates[1].idHash = stableHash("b");
    candidates[2].idHash = stableHash("c");
    for (direct_candidate &candidate : candidates)
        candidate.slots = 10;
    return candidates;
}

TEST_CASE("the emptier endpoint of the own data centre is chosen")
{
    auto candidates = threeCandidates();
    candidates[0].load = 3;
    candidates[1].load = 1;
    candidates[2].sameDataCentre = false;
    CHECK(chooseDirect(candidates, std::nullopt, 1)->index == 1);
    candidates[0].load = 9;
    candidates[1].load = 9;
    CHECK(chooseDirect(candidates, std::nullopt, 1)->index < 2);
    // Full ones are worse than the way to another data centre.
    candidates[0].load = 11;
    candidates[1].load = 11;
    CHECK(chooseDirect(candidates, std::nullopt, 1)->index == 2);
}

TEST_CASE("tried and exhausted endpoints are left out, avoided ones are the last resort")
{
    auto candidates = threeCandidates();
    candidates[0].tried = true;
    candidates[1].hasConnection = false;
    candidates[2].avoided = true;
    const auto choice = chooseDirect(candidates, std::nullopt, 1);
    REQUIRE(choice);
    CHECK(choice->index == 2);
    CHECK(choice->reason == direct_reason::lastResort);
    candidates[2].tried = true;
    CHECK(!chooseDirect(candidates, std::nullopt, 1));
}

TEST_CASE("a prefix stays at one endpoint until that is much fuller")
{
    auto candidates = threeCandidates();
    const shared_prompt prompt{77, 0};
    const std::size_t home = chooseDirect(candidates, prompt, 1)->index;
    for (std::uint64_t tie = 0; tie < 20; ++tie)
        CHECK(chooseDirect(candidates, prompt, tie)->index == home);
    candidates[home].load = 1;
    CHECK(chooseDirect(candidates, prompt, 1)->index == home);
    candidates[home].load = 9;
    CHECK(chooseDirect(candidates, prompt, 1)->index != home);
}

TEST_CASE("a long shared part has one home in the site, a short one in each data centre")
{
    constexpr double waitMs = 1500;
    unsigned homesAbroad = 0;
    for (std::uint64_t hash = 0; hash < 50; ++hash) {
        std::optional<std::uint64_t> longHome;
        for (std::size_t own = 0; own < 3; ++own) {
            // Three entries, each in the data centre of another endpoint, that know nothing.
            auto candidates = threeCandidates();
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                candidates[i].sameDataCentre = i == own;
                candidates[i].waitMs = waitMs;
                candidates[i].uncachedMs = waitMs;
            }
            const auto shortPrompt = chooseDirect(candidates, shared_prompt{hash, 100}, 1);
            CHECK(shortPrompt->index == own);
            const auto longPrompt = chooseDirect(candidates, shared_prompt{hash, waitMs}, 1);
            CHECK(longHome.value_or(candidates[longPrompt->index].idHash)
                  == candidates[longPrompt->index].idHash);
            CHECK(longPrompt->waitMs == waitMs);
            longHome = candidates[longPrompt->index].idHash;
            homesAbroad += longPrompt->index == own ? 0 : 1;
        }
    }
    CHECK(homesAbroad == 100);
}

TEST_CASE("an endpoint that is known to keep a prefix is better than a home that isn't")
{
    for (std::uint64_t hash = 0; hash < 50; ++hash) {
        auto candidates = threeCandidates();
        for (direct_candidate &candidate : candidates) {
            candidate.waitMs = 1500;
            candidate.uncachedMs = 1300;
        }
        candidates[1].waitMs = 200;
        candidates[1].uncachedMs = 0;
        CHECK(chooseDirect(candidates, shared_prompt{hash, 1300}, 1)->index == 1);
    }
}

TEST_CASE("an endpoint that fails often is avoided before it is full")
{
    auto candidates = threeCandidates();
    candidates[0].failureShare = 0.3;
    candidates[1].load = 5;
    candidates[2].load = 6;
    CHECK(chooseDirect(candidates, std::nullopt, 1)->index == 1);
}

TEST_CASE("the cascade escalates only doubtful answers, and only where it may run again")
{
    const cascade_settings settings{0, 50};
    CHECK(escalationTarget(settings, {0, 3, 20, true}) == 2);
    CHECK(!escalationTarget(settings, {0, 3, 50, true}));
    CHECK(!escalationTarget(settings, {0, 3, 20, false}));
    CHECK(!escalationTarget(settings, {0, 3, std::nullopt, true}));
    CHECK(!escalationTarget(settings, {2, 3, 0, true}));
    CHECK(escalationTarget(settings, {0, 3, 20, true, 0, 0, 0.9}) == 2);
    CHECK(!escalationTarget(settings, {0, 3, 20, true, 0, 0, 1.1}));
    CHECK(firstModel({9, 50}, 3) == 2);
    CHECK(firstModel({0, 50}, 0) == 0);
}

TEST_CASE("the longer requests wait, the fewer doubtful answers are asked for again, down to none")
{
    const cascade_settings settings;
    const auto escalated = [&](double wait) {
        unsigned count = 0;
        for (int i = 0; i < 100; ++i) {
            const cascade_view view{0, 3, 0, true, wait, i / 100.0};
            count += escalationTarget(settings, view) ? 1 : 0;
        }
        return count;
    };
    CHECK(escalated(settings.calmWait) == 100);
    CHECK(escalated(settings.busyWait) == 100);
    CHECK(escalated((settings.busyWait + settings.fullWait) / 2) == 50);
    CHECK(escalated(settings.fullWait) == 0);
    CHECK(escalated(5) == 0);
}

TEST_CASE("a model's reading rate is known after its first prompt, less what was read before")
{
    constexpr unsigned tokens = 10'000;
    prefill_rate rate;
    CHECK(!rate.isKnown());
    rate.note(10, 500);
    CHECK(!rate.isKnown());
    rate.note(tokens, 800);
    CHECK(rate.isKnown());
    CHECK(rate.msPerToken() * tokens == doctest::Approx(800));
    // Behind another prompt as long, the same wait tells of half the rate.
    prefill_rate behind;
    behind.note(tokens, 800, 0.5);
    CHECK(behind.msPerToken() * tokens == doctest::Approx(400));
    // Later on queues raise it only slowly.
    for (int i = 0; i < 50; ++i)
        rate.note(tokens, 800);
    rate.note(tokens, 8000);
    CHECK(rate.msPerToken() * tokens < 1000);
}

TEST_CASE("a trial is no larger than its evidence needs, and never beyond the exposure")
{
    rollout_view view;
    view.exposure = 0.15;
    for (const rollout_stage stage : {rollout_stage::waiting, rollout_stage::trial}) {
        view.requestsPerSecond = 0;
        CHECK(shareOf(stage, view) < 0.15);
        view.requestsPerSecond = 10;
        CHECK(shareOf(stage, view) < 0.15);
        view.requestsPerSecond = 1000;
        CHECK(shareOf(stage, view) < 0.01);
    }
}

TEST_CASE("a version whose faults nobody sees stays within the exposure, and in time")
{
    for (const double window : {6.0, 8.0, 12.0, 20.0, 24.0, 60.0, 600.0}) {
        const rollout_order order{"pool", "v2", milliseconds(std::int64_t(window * 1000)), 1};
        rollout_view view;
        view.exposure = 0.15;
        view.requestsPerSecond = 100;
        view.targetListed = true;
        view.judged = 100;
        std::optional<rollout_row> row;
        double exposed = 0;
        double completedAt = 0;
        constexpr double step = 0.1;
        for (double at = 0; at < window; at += step) {
            view.now = milliseconds(std::int64_t(at * 1000));
            if (const auto next = nextRolloutRow(order, row, view))
                row = next;
            const double share = shareInForce(*row, view.now >= row->stageSince);
            exposed += share * step;
            // No session that is under way may go over yet.
            if (at < window / 2)
                CHECK(share == 0);
            if (row->stage == rollout_stage::completed && completedAt == 0)
                completedAt = at;
        }
        CHECK(completedAt > 0);
        CHECK(completedAt < window - 0.5);
        // Below some ten seconds the deadline goes first.
        if (window >= 20)
            CHECK(exposed / window < 0.15);
    }
}

TEST_CASE(
        "a trial is about as dense at its endpoints as full share will be, and never at one alone")
{
    // One endpoint's own trouble would look like the version's.
    CHECK(trialEndpoints(0.05, 18) == 2);
    CHECK(trialEndpoints(0.05, 40) == 2);
    CHECK(trialEndpoints(0.05, 100) == 5);
    CHECK(trialEndpoints(0.5, 1) == 1);
    CHECK(trialEndpoints(0.5, 0) == 0);
}

TEST_CASE("patience grows with the usual wait and ends in time for another endpoint")
{
    attempt_wait view;
    view.part = awaited_part::firstEvent;
    view.objective = milliseconds(1500);
    view.timeout = milliseconds(20000);
    view.meanWait = 0.05;
    CHECK(attemptTimeoutOf(view) < view.objective);
    view.meanWait = 0.3;
    CHECK(attemptTimeoutOf(view) > view.objective);
    view.readingMs = 500;
    CHECK(attemptTimeoutOf(view) > view.objective * 2);
    view.timeout = milliseconds(5000);
    CHECK(attemptTimeoutOf(view) < milliseconds(2000));
}

TEST_CASE("patience with a silent endpoint is bounded sooner, but leaves it the time to read")
{
    attempt_wait view;
    view.part = awaited_part::firstEvent;
    view.objective = milliseconds(4000);
    view.timeout = milliseconds(20000);
    view.meanWait = 0.05;
    view.endpointSilent = true;
    CHECK(attemptTimeoutOf(view) < view.objective);
    view.meanWait = 0.3;
    const auto silent = attemptTimeoutOf(view);
    CHECK(silent > view.objective);
    view.endpointSilent = false;
    CHECK(attemptTimeoutOf(view) > silent);
    // A prompt of 23,000 tokens of a large model is not left while it may still be read.
    view.endpointSilent = true;
    view.meanWait = 0.05;
    view.readingMs = 1800;
    CHECK(attemptTimeoutOf(view) > milliseconds(5400));
}

TEST_CASE("a pause at a silent endpoint ends before it is late, at a busy one only after")
{
    attempt_wait view;
    view.part = awaited_part::nextEvent;
    view.eventGap = milliseconds(1200);
    CHECK(attemptTimeoutOf(view) > view.eventGap);
    view.endpointSilent = true;
    CHECK(attemptTimeoutOf(view) < view.eventGap);
}
