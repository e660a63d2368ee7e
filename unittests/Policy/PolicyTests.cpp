//===-- PolicyTests.cpp - policy functions --------------------------------===//
//
// Unit tests of endpoint choice, customer limits, version choice, guard, cascade and health.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/CascadeLearner.h"
#include "laurelcroft/Policy/CustomerLimits.h"
#include "laurelcroft/Policy/EndpointChoice.h"
#include "laurelcroft/Policy/Health.h"
#include "laurelcroft/Policy/VersionChoice.h"
#include "laurelcroft/Policy/VersionGuard.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

static endpoint_view idle(std::string_view id)
{
    endpoint_view view;
    view.id = id;
    view.slots = 4;
    view.tokensPerSecond = 50;
    return view;
}

TEST_CASE("endpoint choice: none, one, the less loaded of two")
{
    random_source random(1);
    CHECK_FALSE(chooseEndpoint({}, {}, random));
    const std::vector<endpoint_view> one = {idle("a")};
    CHECK(chooseEndpoint(one, {}, random)->reason == choice_reason::onlyOne);
    std::vector<endpoint_view> two = {idle("a"), idle("b")};
    two[0].reportedPending = 8;
    for (int i = 0; i < 20; ++i)
        CHECK(chooseEndpoint(two, {}, random)->index == 1);
}

TEST_CASE("endpoint choice: requests sent since the last report count")
{
    random_source random(1);
    std::vector<endpoint_view> two = {idle("a"), idle("b")};
    two[0].reportedPending = 1; // looks less loaded
    two[0].sentSinceReport = 9;
    two[1].reportedPending = 5;
    CHECK(chooseEndpoint(two, {}, random)->index == 1);
}

TEST_CASE("endpoint choice: a cached prefix is preferred unless its endpoint is full")
{
    random_source random(1);
    std::vector<endpoint_view> three = {idle("a"), idle("b"), idle("c")};
    three[2].holdsPrefix = true;
    const work_estimate work{4000, 50};
    CHECK(chooseEndpoint(three, work, random)->reason == choice_reason::prefixCached);
    three[2].reportedPending = 40;
    CHECK(chooseEndpoint(three, work, random)->index != 2);
}

static customer school()
{
    customer who;
    who.name = "school";
    who.requestsPerSecond = 10;
    who.burst = 5;
    who.maxConcurrent = 100;
    return who;
}

TEST_CASE("limits: a burst is admitted, then the rate, with the time to retry")
{
    manual_runtime runtime;
    customer_limits limits;
    const customer who = school();
    for (int i = 0; i < 5; ++i)
        CHECK(limits.admit(who, runtime.now()).verdict == limit_verdict::admitted);
    const limit_decision refused = limits.admit(who, runtime.now());
    CHECK(refused.verdict == limit_verdict::rateExceeded);
    CHECK(refused.retryAfter == milliseconds(100));
    runtime.advance(refused.retryAfter);
    CHECK(limits.admit(who, runtime.now()).verdict == limit_verdict::admitted);
}

TEST_CASE("limits: requests in flight are counted until they finish")
{
    manual_runtime runtime;
    customer_limits limits;
    customer who = school();
    who.maxConcurrent = 1;
    CHECK(limits.admit(who, runtime.now()).verdict == limit_verdict::admitted);
    CHECK(limits.admit(who, runtime.now()).verdict == limit_verdict::tooManyInFlight);
    limits.finish(who.name);
    CHECK(limits.admit(who, runtime.now()).verdict == limit_verdict::admitted);
}

TEST_CASE("limits: shares have a minimum and expire to the even split")
{
    manual_runtime runtime;
    customer_limits limits;
    limits.setEntries(4);
    CHECK(limits.share("school", runtime.now()) == doctest::Approx(0.25));
    limits.setShare("school", 0.9, runtime.now() + seconds(5));
    CHECK(limits.share("school", runtime.now()) == doctest::Approx(0.9));
    limits.setShare("school", 0.0, runtime.now() + seconds(5));
    CHECK(limits.share("school", runtime.now()) == doctest::Approx(0.0625));
    runtime.advance(seconds(6));
    CHECK(limits.share("school", runtime.now()) == doctest::Approx(0.25));
}

TEST_CASE("allowance: when scarce it follows demand, and silent entries keep their minimum")
{
    manual_runtime runtime;
    allowance_allocator allocator;
    const auto ask = [&](const char *entry, double perSecond) {
        return allocator.report("school", entry, {perSecond, 20, 4, seconds(5)}, runtime.now());
    };
    ask("e1", 30);
    // Each of the two silent entries keeps a quarter of its even share of a quarter.
    CHECK(ask("e2", 10) == doctest::Approx(0.25 * (1 - 2 * 0.0625)));
}

TEST_CASE("allowance: when demand is below the rate, the rest is split evenly")
{
    manual_runtime runtime;
    allowance_allocator allocator;
    const auto ask = [&](const char *entry, double perSecond) {
        return allocator.report("school", entry, {perSecond, 20, 2, seconds(5)}, runtime.now());
    };
    ask("e1", 4);
    CHECK(ask("e2", 2) == doctest::Approx((2 + 7) / 20.0));
    CHECK(ask("e1", 4) == doctest::Approx((4 + 7) / 20.0));
}

static bundle rollingOut()
{
    bundle rules;
    rules.models = {{"m",
                     "p",
                     1,
                     2,
                     {{"1", version_state::settled, ""}, {"2", version_state::rollout, ""}}}};
    rules.rollouts = {{"m", "1", "2", 30, {0.1, 0.001, 30}}};
    customer who = school();
    who.allowed = {"m"};
    rules.customers = {who};
    return rules;
}

TEST_CASE("versions: the roll-out gets its share of new sessions")
{
    const bundle rules = rollingOut();
    random_source random(3);
    int fresh = 0;
    for (int i = 0; i < 2000; ++i)
        fresh += chooseVersion(rules, rules.customers[0], "m", "", {}, random).value().version
                        == "2"
                ? 1
                : 0;
    CHECK(fresh > 500);
    CHECK(fresh < 700);
}

TEST_CASE("versions: a roll-out that is unconfirmed or stopped gets no sessions")
{
    const bundle rules = rollingOut();
    random_source random(3);
    for (int i = 0; i < 200; ++i) {
        CHECK(chooseVersion(rules, rules.customers[0], "m", "", {false, false}, random)
                      .value()
                      .version
              == "1");
        CHECK(chooseVersion(rules, rules.customers[0], "m", "", {true, true}, random)
                      .value()
                      .version
              == "1");
    }
    const auto wanted = chooseVersion(rules, rules.customers[0], "m", "2", {true, true}, random);
    REQUIRE_FALSE(wanted);
    CHECK(wanted.error() == version_refusal::stopped);
}

TEST_CASE("versions: refusals state their reason")
{
    bundle rules = rollingOut();
    random_source random(3);
    const customer who = rules.customers[0];
    CHECK(chooseVersion(rules, who, "x", "", {}, random).error() == version_refusal::unknownModel);
    rules.models[0].versions[0].state = version_state::withdrawn;
    CHECK(checkVersion(rules, who, "m", "1").error() == version_refusal::withdrawn);
    rules.customers[0].allowed = {};
    CHECK(chooseVersion(rules, rules.customers[0], "m", "2", {}, random).error()
          == version_refusal::notAllowed);
}

TEST_CASE("guard: a bad version is stopped soon, a good one is not")
{
    int falseStops = 0;
    for (int run = 0; run < 200; ++run) {
        random_source random(static_cast<std::uint64_t>(run));
        version_guard guard({0.1, 0.001, 30});
        for (int i = 0; i < 2000; ++i) {
            guard.addSettled(random.chance(0.95) ? 1 : 0, 0);
            const bool good = random.chance(0.95);
            guard.addRollout(good ? 1 : 0, good ? 0 : 1);
        }
        falseStops += guard.isStopped() ? 1 : 0;
    }
    CHECK(falseStops <= 1);
    version_guard bad({0.1, 0.001, 30});
    random_source random(5);
    int answers = 0;
    while (!bad.isStopped() && answers < 1000) {
        bad.addSettled(1, 0);
        const bool good = random.chance(0.5);
        bad.addRollout(good ? 1 : 0, good ? 0 : 1);
        answers += 1;
    }
    CHECK(answers < 60);
}

TEST_CASE("guard: a version that becomes bad late is stopped too")
{
    version_guard guard({0.1, 0.001, 30});
    guard.addSettled(950, 50);
    guard.addRollout(1900, 100);
    CHECK_FALSE(guard.isStopped());
    int answers = 0;
    random_source random(9);
    while (!guard.isStopped() && answers < 1000) {
        const bool good = random.chance(0.4);
        guard.addRollout(good ? 1 : 0, good ? 0 : 1);
        answers += 1;
    }
    CHECK(answers < 120);
}

static cascade twoTiers()
{
    return {"c", {"small", "large"}, 0.9, 0.8, 1000, true};
}

TEST_CASE("cascade: the start score applies until enough ratings are known")
{
    cascade_learner learner;
    const cascade item = twoTiers();
    CHECK_FALSE(learner.evaluate(item, "g", 0, 0.7).suffices);
    CHECK(learner.evaluate(item, "g", 0, 0.85).suffices);
    CHECK_FALSE(learner.threshold(item, "g", 0).learned);
}

TEST_CASE("cascade: the threshold falls if low scores are good, and rises if they are not")
{
    const cascade item = twoTiers();
    const auto learned = [&](double goodShare) {
        cascade_learner learner;
        random_source random(4);
        for (int i = 0; i < 3000; ++i) {
            const double score = random.uniform();
            learner.evaluate(item, "g", 0, score);
            learner.addRating(item, "g", 0, score, random.chance(goodShare), false);
        }
        return learner.threshold(item, "g", 0);
    };
    CHECK(learned(0.99).threshold < 0.1);
    CHECK(learned(0.5).threshold > 0.7);
    CHECK(learned(0.5).learned);
}

TEST_CASE("cascade: start decisions")
{
    bundle rules;
    rules.models = {{"small", "p", 0.1, 1, {}}, {"large", "p", 1, 10, {}}};
    cascade_learner learner;
    random_source random(1);
    cascade item = twoTiers();
    CHECK(learner.chooseStart(rules, item, "g", 1000, 10, random).tier == 0);
    CHECK(learner.chooseStart(rules, item, "g", 10, 10, random).reason == start_reason::noTimeLeft);
    item.repeatable = false;
    CHECK(learner.chooseStart(rules, item, "g", 1000, 10, random).tier == 1);
    // A few rejected answers prove little; many show that the cheap tier is not worth its cost.
    item.repeatable = true;
    learner.evaluate(item, "g", 0, 0.1);
    CHECK(learner.chooseStart(rules, item, "g", 1000, 10, random).tier == 0);
    for (int i = 0; i < 1000; ++i)
        learner.evaluate(item, "g", 0, 0.1);
    int cheap = 0;
    for (int i = 0; i < 1000; ++i)
        cheap += learner.chooseStart(rules, item, "g", 1000, 10, random).tier == 0 ? 1 : 0;
    CHECK(cheap < 50);
    CHECK(cheap > 0); // exploration goes on
}

TEST_CASE("the retry budget is limited; ejection is limited and ends")
{
    retry_budget budget(0.1, 2);
    CHECK(budget.spend());
    CHECK(budget.spend());
    CHECK_FALSE(budget.spend());
    for (int i = 0; i < 11; ++i)
        budget.earn();
    CHECK(budget.spend());

    manual_runtime runtime;
    endpoint_ejection ejection;
    for (int i = 0; i < 3; ++i)
        ejection.failed("a", runtime.now());
    CHECK(ejection.isEjected("a", runtime.now()));
    runtime.advance(seconds(3));
    CHECK_FALSE(ejection.isEjected("a", runtime.now()));
    CHECK(endpoint_ejection::mayEject(3, 10));
    CHECK_FALSE(endpoint_ejection::mayEject(4, 10));
}
