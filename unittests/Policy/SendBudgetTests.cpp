//===-- SendBudgetTests.cpp - budget of further sends ---------------------===//
//
// Tests the budget alone, without request flows: what one process may spend, and that no sequence
// of requests, sends and process restarts exceeds the bound on the sum.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/SendBudget.h"

#include "RepeatRule.h"

#include "laurelcroft/Policy/FailureStreak.h"
#include "laurelcroft/Support/Random.h"

#include <doctest/doctest.h>

#include <vector>

using namespace laurelcroft;

TEST_CASE("repeats are futile after many consecutive failures, until a success or expiry")
{
    failure_streak outlook;
    time_point now{seconds(100)};
    const time_point begin = now;
    for (unsigned i = 1; i < failure_streak::failuresToGiveUp; ++i) {
        outlook.failed(now);
        CHECK(!outlook.isRepeatFutile(now));
        now += milliseconds(50);
    }
    outlook.failed(now);
    CHECK(outlook.isRepeatFutile(now));
    CHECK(outlook.expectedRemaining(now) == std::chrono::ceil<milliseconds>(now - begin));
    CHECK(!outlook.isRepeatFutile(now + failure_streak::failureLifetime + milliseconds(1)));
    outlook.succeeded();
    CHECK(!outlook.isRepeatFutile(now));
    CHECK(outlook.expectedRemaining(now) == milliseconds(0));
}

TEST_CASE("repeats stay within the ratio in every window, and are allowed again later")
{
    const send_budget_bounds bounds{0.5, 4, seconds(10)};
    send_budget budget(bounds);
    time_point now{seconds(100)};
    unsigned repeats = 0;
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(50);
        budget.countRequest(now, 0.5);
        for (int j = 0; j < 3; ++j)
            repeats += budget.take(now, 0.5, further_send::repeat) ? 1 : 0;
    }
    CHECK(repeats <= 102);
    CHECK(repeats > 70);
    now += seconds(11);
    CHECK(budget.allows(now, 0.5, further_send::repeat));
}

TEST_CASE("entries share the allowance")
{
    const auto alone = [](double share) {
        send_budget budget({0.5, 40, seconds(10)});
        unsigned count = 0;
        for (int i = 0; i <= 100; ++i) {
            while (budget.take(time_point(milliseconds(100 * i)), share, further_send::repeat))
                ++count;
        }
        return count;
    };
    CHECK(alone(1.0) <= 40);
    CHECK(alone(0.25) <= 10);
    CHECK(alone(1.0) > alone(0.25));
    CHECK(alone(0.25) > 0);
    CHECK(alone(0) == 0);
}

TEST_CASE("a process starts without savings and saves only a fraction of a window")
{
    const send_budget_bounds bounds{0.9, 0, seconds(10)};
    const auto spent = [](send_budget &budget, time_point now) {
        unsigned count = 0;
        while (budget.take(now, 0, further_send::repeat))
            ++count;
        return count;
    };
    const time_point begin{seconds(100)};
    send_budget restarted(bounds);
    CHECK(spent(restarted, begin) == 0);

    send_budget running(bounds);
    time_point now = begin;
    for (int i = 0; i < 1000; ++i)
        running.countRequest(now += milliseconds(10), 0);
    const unsigned saved = spent(running, now);
    CHECK(saved > 100);
    CHECK(saved <= 225);
    CHECK(spent(running, now + seconds(11)) == 0);
}

TEST_CASE("larger models leave a part of the savings to repeats")
{
    send_budget budget({0.9, 0, seconds(10)});
    time_point now{seconds(100)};
    for (int i = 0; i < 1000; ++i)
        budget.countRequest(now += milliseconds(10), 0);
    unsigned larger = 0;
    while (budget.take(now, 0, further_send::largerModel))
        ++larger;
    CHECK(larger > 0);
    CHECK(budget.availableSends(now, 0) >= larger / 4.0);
    CHECK(budget.take(now, 0, further_send::repeat));
}

TEST_CASE("a suspected request leaves one send to others")
{
    send_budget budget({1, 0, seconds(10)});
    const time_point now{seconds(100)};
    while (budget.availableSends(now, 0) < 2)
        budget.countRequest(now, 0);
    CHECK(budget.take(now, 0, further_send::suspected));
    CHECK(!budget.take(now, 0, further_send::suspected));
    CHECK(budget.take(now, 0, further_send::resume));
}

TEST_CASE("an entry without requests earns its share of the allowance")
{
    send_budget budget({0.9, 52, seconds(10)});
    time_point now{seconds(100)};
    budget.credit(now, 1.0 / 3);
    CHECK(!budget.allows(now, 1.0 / 3, further_send::repeat));
    now += seconds(3);
    budget.credit(now, 1.0 / 3);
    CHECK(budget.allows(now, 1.0 / 3, further_send::repeat));
}

TEST_CASE("a refunded send can be made again")
{
    send_budget budget({0.9, 0, seconds(10)});
    const time_point now{seconds(100)};
    for (int i = 0; i < 100; ++i)
        budget.countRequest(now, 0);
    const double before = budget.availableSends(now, 0);
    REQUIRE(budget.take(now, 0, further_send::repeat));
    budget.refund();
    CHECK(budget.availableSends(now, 0) == doctest::Approx(before));
}

TEST_CASE("many entries with few requests make as many sends as they have earned")
{
    // Each process alone has earned less than one send when its only request fails.
    constexpr unsigned processes = 1000;
    random_source random(7);
    const send_budget_bounds bounds{0.9, 2 * processes, seconds(10)};
    const time_point now{seconds(100)};
    unsigned sends = 0;
    for (unsigned i = 0; i < processes; ++i) {
        send_budget budget(bounds, random.uniform());
        budget.countRequest(now, 1.0 / processes);
        sends += budget.take(now, 1.0 / processes, further_send::largerModel) ? 1 : 0;
    }
    CHECK(sends > 0.65 * processes);
    CHECK(sends < 0.79 * processes);
}

namespace {

/// Simulates processes that get bursts of requests, spend all that they have in bursts and are
/// restarted at random. None has a share of the allowance.
double worstShareOfBursts(std::uint64_t seed)
{
    constexpr milliseconds step{20};
    constexpr int steps = 3000;
    constexpr std::size_t maxAtOnce = 40;
    random_source random(seed);
    const repeat_rule rule{{0.1 + 0.2 * double(random.index(5)), 0, seconds(10)}};
    std::vector<send_budget> processes(1 + random.index(8), send_budget(rule.bounds));
    std::vector<time_point> requests;
    std::vector<time_point> further;
    time_point now{seconds(100)};
    for (int i = 0; i < steps; ++i) {
        now += step;
        send_budget &process = processes[random.index(processes.size())];
        if (random.chance(0.002))
            process = send_budget(rule.bounds);
        const std::size_t arriving = random.chance(0.05) ? random.index(maxAtOnce) : 0;
        for (std::size_t n = 0; n < arriving; ++n) {
            process.countRequest(now, 0);
            requests.push_back(now);
        }
        if (!random.chance(0.1))
            continue;
        while (process.take(now, 0, further_send::repeat))
            further.push_back(now);
    }
    CHECK(further.size() > 0);
    return rule.worstShare(requests, further);
}

} // namespace

TEST_CASE("no sequence of requests, sends and restarts exceeds the bound on the sum")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        CHECK(worstShareOfBursts(seed) <= 1.0);
    }
}
