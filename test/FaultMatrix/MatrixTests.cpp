//===-- MatrixTests.cpp - the fault matrix and tests of its auditor ---------===//
//
// LAURELCROFT_CELL="scenario|step|occurrence|before or after|fault" runs a single cell
// with the seed LAURELCROFT_SEED and prints its decisions. LAURELCROFT_PAIRS sets the
// number of cells with two faults.
//
//===----------------------------------------------------------------------===//
#include "Scenarios.h"

#include "laurelcroft/Support/Settings.h"

#include <doctest/doctest.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace laurelcroft;
using namespace laurelcroft::testing;

static std::string describeViolations(const std::vector<violation> &list)
{
    std::string text;
    for (const violation &item : list)
        text += "\n    " + std::string(testing::textOf(item.which)) + ": " + item.detail;
    return text;
}

TEST_CASE("without a fault every scenario is served and violates no guarantee")
{
    for (const std::string &scenario : scenarioNames()) {
        CAPTURE(scenario);
        const cell_result result = runCell(scenario, {}, 1);
        CHECK(result.served);
        CHECK_MESSAGE(result.violations.empty(), describeViolations(result.violations));
    }
}

/// Runs all cells on one thread per core. Cells share no state.
static std::vector<cell_result> runAll(const std::vector<cell> &cells)
{
    std::vector<cell_result> results(cells.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    const unsigned count = std::max(1U, std::thread::hardware_concurrency());
    for (unsigned i = 0; i < count; ++i) {
        threads.emplace_back([&] {
            for (std::size_t at = next++; at < cells.size(); at = next++)
                results[at] = runCell(cells[at].scenario, cells[at].faults, cells[at].seed);
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return results;
}

/// Totals over the cells of one run.
struct matrix_totals
{
    std::size_t injected = 0;
    std::size_t served = 0;
    std::size_t failed = 0;
};

/// Runs \p cells and prints those that violate a guarantee.
static matrix_totals runAndReport(const std::vector<cell> &cells)
{
    const std::vector<cell_result> results = runAll(cells);
    matrix_totals totals;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        totals.injected += results[i].allFaultsInjected ? 1 : 0;
        totals.served += results[i].served ? 1 : 0;
        if (results[i].violations.empty())
            continue;
        totals.failed += 1;
        MESSAGE("cell failed: ", cells[i].text(), describeViolations(results[i].violations));
    }
    MESSAGE("cells ", cells.size(), ", with all faults injected ", totals.injected, ", served ",
            totals.served, ", failed ", totals.failed);
    return totals;
}

TEST_CASE("matrix: no single fault at any step violates a guarantee")
{
    const std::vector<cell> cells = allCells();
    const matrix_totals totals = runAndReport(cells);
    CHECK(totals.failed == 0);
    // A cell whose fault was never injected tests nothing.
    CHECK(totals.injected == cells.size());
}

TEST_CASE("matrix: no pair of faults of a seeded sample violates a guarantee")
{
    constexpr std::size_t pairsInCi = 2000;
    const char *pairsSetting = std::getenv("LAURELCROFT_PAIRS");
    const std::size_t count = pairsSetting ? std::strtoul(pairsSetting, nullptr, 10) : pairsInCi;
    const matrix_totals totals = runAndReport(samplePairs(allCells(), count, 1));
    CHECK(totals.failed == 0);
    // The first fault may prevent the run from reaching the step of the second.
    CHECK(totals.injected * 2 > count);
}

/// A sabotage and the violation that the auditor must report for it.
struct sabotage_case
{
    sabotage injected;
    guarantee expected;
    const char *scenario;
    fault_kind fault;
};

TEST_CASE("the auditor reports each guarantee that is violated on purpose")
{
    const sabotage_case cases[] = {
            {sabotage::runTwice, guarantee::atMostOnce, "rebuild", fault_kind::none},
            {sabotage::dropBills, guarantee::billedOnce, "whole", fault_kind::none},
            {sabotage::doubleBills, guarantee::billedOnce, "whole", fault_kind::none},
            {sabotage::mixAnswers, guarantee::ownAnswer, "whole", fault_kind::none},
            {sabotage::lieNotRun, guarantee::notRunIsTrue, "rebuild", fault_kind::engineFails},
            {sabotage::otherVersion, guarantee::session, "session-token", fault_kind::none},
            {sabotage::withdrawnWork, guarantee::withdrawn, "session-name", fault_kind::withdraw},
            {sabotage::leavingWork, guarantee::leaving, "session-token", fault_kind::stopAgent},
            {sabotage::cutOnStop, guarantee::plannedStop, "whole", fault_kind::stopEntry},
            {sabotage::revertEpoch, guarantee::bundle, "whole", fault_kind::none},
            {sabotage::forbiddenWork, guarantee::allowed, "whole", fault_kind::none},
    };
    for (const sabotage_case &item : cases) {
        CAPTURE(static_cast<int>(item.injected));
        fault_point fault;
        fault.kind = item.fault;
        fault.step = item.fault == fault_kind::withdraw ? "request.received" : "offer.received";
        const cell_result result = runCell(item.scenario, {fault}, 1, item.injected);
        const bool reported
                = std::any_of(result.violations.begin(), result.violations.end(),
                              [&](const violation &v) { return v.which == item.expected; });
        CHECK_MESSAGE(reported, "not reported: ", std::string(testing::textOf(item.expected)),
                      describeViolations(result.violations));
    }
}

TEST_CASE("one cell alone" * doctest::skip(std::getenv("LAURELCROFT_CELL") == nullptr))
{
    // The format is scenario|step|occurrence|before or after|fault; each further fault adds the
    // last four fields again.
    const std::vector<std::string> parts = splitList(std::getenv("LAURELCROFT_CELL"), '|');
    REQUIRE(parts.size() % 4 == 1);
    std::vector<fault_point> faults;
    for (std::size_t at = 1; at < parts.size(); at += 4) {
        fault_point fault{parts[at], std::atoi(parts[at + 1].c_str()), parts[at + 2] == "after",
                          fault_kind::none};
        for (int kind = 0; kind <= lastFaultKind; ++kind) {
            if (testing::textOf(static_cast<fault_kind>(kind)) == parts[at + 3])
                fault.kind = static_cast<fault_kind>(kind);
        }
        faults.push_back(fault);
    }
    const char *seed = std::getenv("LAURELCROFT_SEED");
    const cell_result result
            = runCell(parts[0], faults, seed ? std::strtoul(seed, nullptr, 10) : 1);
    for (const decision &made : result.decisions)
        std::cout << made.requestId.substr(0, 8) << " " << textOf(made.kind) << " " << made.chosen
                  << ": " << made.reason << "\n";
    for (const caller_record &record : result.callers)
        std::cout << "caller " << record.id << " at " << record.entry << " status " << record.status
                  << " " << record.code << " executed " << record.executed
                  << (record.connectionLost ? " cut" : "") << "\n";
    CHECK_MESSAGE(result.violations.empty(), describeViolations(result.violations));
}
