//===-- MemoryBudgetTests.cpp - tests of memory_budget ----------------------===//
//
// Plays many connections that hold as much as they may, and compares the sum with simpler rules.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/MemoryBudget.h"

#include <doctest/doctest.h>

#include <numeric>
#include <vector>

using namespace laurelcroft;

namespace {

constexpr std::size_t megabyte = 1U << 20;
constexpr std::size_t total = 22 * megabyte;
const time_point start{};

/// Connections arrive one after the other, and none is read. Each takes what it may.
std::vector<std::size_t> fillUp(const memory_budget &budget, std::size_t connections)
{
    constexpr std::size_t piece = 4096;
    std::vector<std::size_t> held;
    std::size_t sum = 0;
    for (std::size_t i = 0; i < connections; ++i) {
        held.push_back(0);
        while (held.back() <= budget.shareOf(sum)) {
            held.back() += piece;
            sum += piece;
        }
    }
    return held;
}

std::size_t sumOf(const std::vector<std::size_t> &held)
{
    return std::accumulate(held.begin(), held.end(), std::size_t{0});
}

} // namespace

TEST_CASE("a lone slow caller may hold much, and many together stay within the budget")
{
    const memory_budget budget(total);
    CHECK(fillUp(budget, 1).front() > 5 * megabyte);
    CHECK(sumOf(fillUp(budget, 60)) < total * 3 / 4);
    CHECK(!budget.isPressed(sumOf(fillUp(budget, 60))));
    CHECK(sumOf(fillUp(budget, 200)) < total * 3 / 2);
    for (const std::size_t held : fillUp(budget, 200))
        CHECK(held >= memory_budget::minShare);
}

TEST_CASE("equal shares of the pool would overshoot, since early connections hold more")
{
    // The rule that was not chosen: a share of pool / n for the n-th connection.
    std::size_t sum = 0;
    for (std::size_t n = 1; n <= 60; ++n)
        sum += total / 2 / n;
    CHECK(sum > 2 * total);
    CHECK(sumOf(fillUp(memory_budget(total), 60)) < total * 3 / 4);
}

TEST_CASE("shares grow again when connections drain")
{
    const memory_budget budget(total);
    CHECK(budget.shareOf(total) == memory_budget::minShare);
    CHECK(budget.shareOf(megabyte) == 10 * megabyte);
    CHECK(budget.shareOf(0) == 11 * megabyte);
}

TEST_CASE("the least urgent requests are refused first, and the most urgent at the whole budget")
{
    const memory_budget budget(total);
    for (int urgency = 0; urgency <= memory_budget::minUrgency; ++urgency) {
        CHECK(budget.admits(urgency, total * 3 / 4));
        CHECK(!budget.admits(urgency, total + 1));
    }
    const std::size_t between = total * 9 / 10;
    CHECK(budget.admits(0, between));
    CHECK(budget.admits(3, between));
    CHECK(!budget.admits(7, between));
    CHECK(!budget.admits(9, between));
}

TEST_CASE("callers that read are never released, however much they hold")
{
    const memory_budget budget(total);
    const time_point now = start + seconds(60);
    const std::vector<memory_holder> reading = {
            {8 * megabyte, 9, now - memory_budget::stallTimeout + milliseconds(1)},
            {8 * megabyte, 9, now},
    };
    CHECK(!budget.nextToRelease(reading, now));
}

TEST_CASE(
        "the least urgent are released first, then those longest without progress, then large ones")
{
    const memory_budget budget(total);
    const time_point now = start + seconds(60);
    const time_point stalled = now - seconds(6);
    const time_point stalledLonger = now - seconds(9);
    std::vector<memory_holder> holders = {
            {megabyte, 2, stalledLonger}, {megabyte, 7, stalled}, {2 * megabyte, 7, stalled},
            {megabyte, 7, stalledLonger}, {9 * megabyte, 9, now},
    };
    std::vector<std::size_t> order;
    while (const auto next = budget.nextToRelease(holders, now)) {
        order.push_back(*next);
        holders[*next].progressAt = now;
    }
    CHECK(order == std::vector<std::size_t>{3, 2, 1, 0});
}

TEST_CASE("a clock reading from before the last progress releases nobody")
{
    const memory_budget budget(total);
    CHECK(!budget.nextToRelease(std::vector<memory_holder>{{megabyte, 9, start + seconds(9)}},
                                start));
}
