//===-- DirectPolicyTests.cpp - decisions without an agent ----------------===//
//
// All rows of the attempt outcome table, endpoint choice, cascade and roll-out stages.
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
    facts.mayBorrow = (bits & 256) != 0;
    return facts;
}

constexpr unsigned allFacts = 512;

} // namespace

TEST_CASE("no row repeats a request that may run only once")
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

TEST_CASE("no row reports a refusal for a request that may have run")
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

TEST_CASE("every row resumes, borrows for or cuts a response that has begun")
{
    for (unsigned bits = 0; bits < allFacts; ++bits) {
        const attempt_facts facts = factsOf(bits);
        if (!facts.partDelivered)
            continue;
        for (const attempt_end end : allEnds) {
            const next_step step = stepAfter(end, facts);
            const bool goesOn = step == next_step::resumeElsewhere || step == next_step::borrow;
            CHECK((step == next_step::cut || goesOn));
            if (goesOn)
                CHECK(facts.resumable);
        }
    }
}

TEST_CASE("only a response that has begun and lacks nothing but budget borrows a send")
{
    for (unsigned bits = 0; bits < allFacts; ++bits) {
        const attempt_facts facts = factsOf(bits);
        const bool lacksOnlyBudget
                = facts.endpointsLeft && facts.timeLeft && facts.worthRetrying && !facts.budgetLeft;
        const bool mayBorrow
                = facts.partDelivered && facts.resumable && facts.mayBorrow && lacksOnlyBudget;
        for (const attempt_end end : allEnds) {
            const bool needsBudget = end != attempt_end::notSent;
            CHECK((stepAfter(end, facts) == next_step::borrow) == (mayBorrow && needsBudget));
        }
    }
}

TEST_CASE("no row tries another endpoint beyond the limits of endpoints, time or budget")
{
    for (unsigned bits = 0; bits < allFacts; ++bits) {
        const attempt_facts facts = factsOf(bits);
        for (const attempt_end end : allEnds) {
            const next_step step = stepAfter(end, facts);
            if (step != next_step::tryElsewhere && step != next_step::resumeElsewhere)
                continue;
            CHECK(facts.endpointsLeft);
            CHECK(facts.timeLeft);
            // A send that did not reach its endpoint uses no budget.
            CHECK((facts.budgetLeft || end == attempt_end::notSent));
            CHECK((facts.worthRetrying || end == attempt_end::notSent));
        }
    }
}

TEST_CASE("a complete response is always delivered")
{
    for (unsigned bits = 0; bits < allFacts; ++bits)
        CHECK(stepAfter(attempt_end::answered, factsOf(bits)) == next_step::deliver);
}

TEST_CASE("the first missing condition of a further attempt is reported")
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

TEST_CASE("the least loaded local endpoint is chosen")
{
    auto candidates = threeCandidates();
    candidates[0].load = 3;
    candidates[1].load = 1;
    candidates[2].sameDataCentre = false;
    CHECK(chooseDirect(candidates, std::nullopt, 1)->index == 1);
    candidates[0].load = 9;
    candidates[1].load = 9;
    CHECK(chooseDirect(candidates, std::nullopt, 1)->index < 2);
    // Full endpoints cost more than the penalty for another data centre.
    candidates[0].load = 11;
    candidates[1].load = 11;
    CHECK(chooseDirect(candidates, std::nullopt, 1)->index == 2);
}

TEST_CASE("tried and exhausted endpoints are excluded, avoided ones are the last resort")
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

TEST_CASE("a prefix stays at its home until that is much more loaded")
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

TEST_CASE("a long shared prefix has one home in the site, a short one in each data centre")
{
    constexpr double waitMs = 1500;
    unsigned homesAbroad = 0;
    for (std::uint64_t hash = 0; hash < 50; ++hash) {
        std::optional<std::uint64_t> longHome;
        for (std::size_t own = 0; own < 3; ++own) {
            // Three entries, each local to a different endpoint, without knowledge of any cache.
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

TEST_CASE("an endpoint known to have the prefix cached is preferred to a home that is not")
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

TEST_CASE("an endpoint that often fails costs more than one that is half full")
{
    auto candidates = threeCandidates();
    candidates[0].failureRate = 0.3;
    candidates[1].load = 5;
    candidates[2].load = 6;
    CHECK(chooseDirect(candidates, std::nullopt, 1)->index == 1);
}

TEST_CASE("the cascade escalates only answers of low confidence that may run again")
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

TEST_CASE("the share of escalated answers falls with the mean wait, down to none")
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

TEST_CASE("the prefill rate follows the first prompt, less the time of prompts queued before it")
{
    constexpr unsigned tokens = 10'000;
    prefill_rate rate;
    CHECK(!rate.isKnown());
    rate.addSample(10, 500);
    CHECK(!rate.isKnown());
    rate.addSample(tokens, 800);
    CHECK(rate.isKnown());
    CHECK(rate.msPerToken() * tokens == doctest::Approx(800));
    // Behind another prompt of the same length, the same wait means half the time per token.
    prefill_rate behind;
    behind.addSample(tokens, 800, 0.5);
    CHECK(behind.msPerToken() * tokens == doctest::Approx(400));
    // After several samples, a longer wait raises the estimate only slowly.
    for (int i = 0; i < 50; ++i)
        rate.addSample(tokens, 800);
    rate.addSample(tokens, 8000);
    CHECK(rate.msPerToken() * tokens < 1000);
}

TEST_CASE("a trial gets no more traffic than its test needs, and stays below the exposure")
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

TEST_CASE("a trial of a small service uses requests tolerated beyond the share, within its bounds")
{
    rollout_view view;
    view.exposure = {0.15, 30};
    view.window = seconds(15);
    const double trialSeconds = 7.5;
    for (const double rate : {1.0, 5.0, 12.0, 50.0, 100.0, 1000.0}) {
        view.requestsPerSecond = rate;
        const double share = shareOf(rollout_stage::trial, view);
        CHECK(share <= 0.3);
        CHECK(share * rate * trialSeconds <= 0.075 * rate * trialSeconds + 10);
        CHECK(share * rate <= 9.001);
    }
    // Half as many again as the share alone allows.
    view.requestsPerSecond = 12;
    CHECK(shareOf(rollout_stage::trial, view) >= 1.5 * 0.075);
}

TEST_CASE("a version whose faults go undetected stays within the exposure and the deadline")
{
    for (const double window : {6.0, 8.0, 12.0, 20.0, 24.0, 60.0, 600.0}) {
        const rollout_order order{"pool", "v2", milliseconds(std::int64_t(window * 1000)), 1};
        rollout_view view;
        view.exposure = 0.15;
        view.requestsPerSecond = 100;
        view.targetListed = true;
        view.evaluatedAnswers = 100;
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
            // No session in progress may change its version yet.
            if (at < window / 2)
                CHECK(share == 0);
            if (row->stage == rollout_stage::completed && completedAt == 0)
                completedAt = at;
        }
        CHECK(completedAt > 0);
        CHECK(completedAt < window - 0.5);
        // In windows below some ten seconds, the deadline takes precedence.
        if (window >= 20)
            CHECK(exposed / window < 0.15);
    }
}

TEST_CASE("a trial uses at least two endpoints, at about the load of full share")
{
    // With a single endpoint, the endpoint's own faults would look like the version's.
    CHECK(trialEndpoints(0.05, 18) == 2);
    CHECK(trialEndpoints(0.05, 40) == 2);
    CHECK(trialEndpoints(0.05, 100) == 5);
    CHECK(trialEndpoints(0.5, 1) == 1);
    CHECK(trialEndpoints(0.5, 0) == 0);
}

TEST_CASE("the timeout grows with the mean wait and leaves time for another endpoint")
{
    attempt_wait view;
    view.part = awaited_part::firstEvent;
    view.objective = milliseconds(1500);
    view.timeout = milliseconds(20000);
    view.meanWait = 0.05;
    CHECK(attemptTimeoutOf(view) < view.objective);
    view.meanWait = 0.3;
    CHECK(attemptTimeoutOf(view) > view.objective);
    view.prefillMs = 500;
    CHECK(attemptTimeoutOf(view) > view.objective * 2);
    view.timeout = milliseconds(5000);
    CHECK(attemptTimeoutOf(view) < milliseconds(2000));
}

TEST_CASE("the timeout of a silent endpoint is lower, but covers prompt processing")
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
    // A request with 23,000 tokens to a large model is not moved while it may be in processing.
    view.endpointSilent = true;
    view.meanWait = 0.05;
    view.prefillMs = 1800;
    CHECK(attemptTimeoutOf(view) > milliseconds(5400));
}

TEST_CASE("a stream is moved before a pause is late if the endpoint is silent, else after")
{
    attempt_wait view;
    view.part = awaited_part::nextEvent;
    view.eventGap = milliseconds(1200);
    CHECK(attemptTimeoutOf(view) > view.eventGap);
    view.endpointSilent = true;
    CHECK(attemptTimeoutOf(view) < view.eventGap);
}
