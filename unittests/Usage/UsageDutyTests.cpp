//===-- UsageDutyTests.cpp - tests for the whole usage duty ---------------===//
//
// Runs simulated entries on a manual clock and checks the usage reports that the receiver gets.
//
//===----------------------------------------------------------------------===//
#include "UsageFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr std::size_t entries = 9;
constexpr double maxRelativeError = 0.05;

} // namespace

/// Checks that all windows with requests were reported in time and with the exact counts.
static void checkExactReports(const usage_fixture &fixture)
{
    CHECK(fixture.violations() == std::vector<std::string>());
    CHECK(fixture.lateWindows(fixture.trueTime()) == std::vector<window_number>());
    for (const received_report &item : fixture.reports) {
        if (fixture.actualRequests(item.report.window) > 0) {
            INFO("window ", item.report.window);
            CHECK(fixture.relativeError(item.report.window) == 0);
        }
    }
}

TEST_CASE("each window is reported once, with the counts of all entries")
{
    usage_fixture fixture(entries, 1);
    fixture.advanceTime(seconds(40));
    REQUIRE(fixture.holder());
    checkExactReports(fixture);
    CHECK(fixture.reports.size() >= 5);
    std::set<window_number> reported;
    for (const received_report &item : fixture.reports)
        CHECK(reported.insert(item.report.window).second);
    // Only the holder calls the store regularly. A single write per save also renews the lease.
    CHECK(fixture.store.writes < seconds(40) / usage_holder<process_environment>::saveInterval);
    CHECK(fixture.store.lists < 3 * entries);
}

TEST_CASE("no counts are lost when the holder is killed, suspended or partitioned")
{
    for (const std::string kind :
         {"killed while idle", "suspended", "partitioned", "store refuses"}) {
        INFO(kind);
        usage_fixture fixture(entries, 2);
        fixture.advanceTime(seconds(12));
        usage_machine *first = fixture.holder();
        REQUIRE(first);
        if (kind == "suspended")
            fixture.suspend(*first);
        else if (kind == "partitioned")
            first->isPartitioned = true;
        else if (kind == "store refuses")
            first->store = call_mode::refused;
        else {
            fixture.advanceTime(milliseconds(500), 0);
            fixture.kill(*first);
        }
        fixture.advanceTime(seconds(8));
        if (kind == "suspended")
            fixture.resume(*first);
        first->isPartitioned = false;
        first->store = call_mode::normal;
        fixture.advanceTime(seconds(25));
        usage_machine *second = fixture.holder();
        REQUIRE(second);
        // A partitioned holder keeps the duty, because it still renews its lease in the row. One
        // that was killed may restart and acquire the duty again, so either result is right.
        if (kind != "killed while idle")
            CHECK((second->name == first->name) == (kind == "partitioned"));
        checkExactReports(fixture);
    }
}

TEST_CASE("a planned stop hands the duty over at once")
{
    usage_fixture fixture(entries, 3);
    fixture.advanceTime(seconds(12));
    usage_machine *first = fixture.holder();
    REQUIRE(first);
    fixture.stop(*first);
    fixture.advanceTime(milliseconds(1200));
    usage_machine *second = fixture.holder();
    REQUIRE(second);
    CHECK(second->name != first->name);
    fixture.advanceTime(seconds(25));
    checkExactReports(fixture);
}

TEST_CASE("no counts are lost in a rolling restart of all entries")
{
    usage_fixture fixture(entries, 4);
    fixture.advanceTime(seconds(8));
    for (usage_machine *machine : fixture.allMachines()) {
        fixture.stop(*machine);
        fixture.advanceTime(milliseconds(1700));
    }
    fixture.advanceTime(seconds(25));
    checkExactReports(fixture);
}

TEST_CASE("few counts are lost when all entries are killed together")
{
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        usage_fixture fixture(entries, seed);
        fixture.advanceTime(seconds(12) + milliseconds(137 * static_cast<std::int64_t>(seed)), 20);
        for (usage_machine *machine : fixture.allMachines())
            fixture.kill(*machine);
        const window_number window = usage_fixture::windows.windowAt(fixture.trueTime());
        fixture.advanceTime(seconds(25), 20);
        CHECK(fixture.violations() == std::vector<std::string>());
        CHECK(fixture.lateWindows(fixture.trueTime()) == std::vector<window_number>());
        worst = std::max(worst, fixture.relativeError(window));
    }
    MESSAGE("worst error ", worst);
    CHECK(worst <= maxRelativeError);
}

TEST_CASE("an entry that reaches only the store sends its counts through a row")
{
    usage_fixture fixture(entries, 5);
    fixture.advanceTime(seconds(8));
    usage_machine *partitioned = fixture.allMachines()[3];
    if (partitioned == fixture.holder())
        partitioned = fixture.allMachines()[4];
    partitioned->isPartitioned = true;
    fixture.advanceTime(seconds(14));
    partitioned->isPartitioned = false;
    fixture.advanceTime(seconds(25));
    checkExactReports(fixture);
}

TEST_CASE("an entry that ends for good delays only the windows around its end")
{
    usage_fixture fixture(entries, 8);
    fixture.advanceTime(seconds(8));
    usage_machine *ended = fixture.allMachines()[3];
    if (ended == fixture.holder())
        ended = fixture.allMachines()[4];
    ended->isUp = false;
    ++ended->life;
    fixture.advanceTime(seconds(30));
    CHECK(fixture.violations() == std::vector<std::string>());
    CHECK(fixture.lateWindows(fixture.trueTime()) == std::vector<window_number>());
    const received_report &last = fixture.reports.back();
    const milliseconds at = usage_fixture::trueTimeAt(last.at);
    CHECK(at - usage_fixture::windows.endOf(last.report.window) < seconds(3));
}

TEST_CASE("counts are exact after a store outage that ends before windows are due")
{
    for (const call_mode mode : {call_mode::refused, call_mode::silent, call_mode::unanswered}) {
        usage_fixture fixture(entries, 6);
        fixture.advanceTime(seconds(9));
        fixture.setModeForAll(&usage_machine::store, mode);
        fixture.advanceTime(seconds(5));
        fixture.setModeForAll(&usage_machine::store, call_mode::normal);
        fixture.advanceTime(seconds(30));
        checkExactReports(fixture);
    }
}

TEST_CASE("a holder that acquires the duty late receives all counts before it decides overdue "
          "windows")
{
    for (std::int64_t begin = 8; begin < 13; ++begin) {
        INFO("store unavailable from second ", begin);
        usage_fixture fixture(entries, 9);
        fixture.advanceTime(seconds(begin));
        fixture.setModeForAll(&usage_machine::store, call_mode::refused);
        fixture.advanceTime(milliseconds(6500));
        fixture.setModeForAll(&usage_machine::store, call_mode::normal);
        fixture.advanceTime(seconds(30));
        checkExactReports(fixture);
    }
}

TEST_CASE("a report whose answer is lost is sent again with the same counts")
{
    usage_fixture fixture(entries, 7);
    fixture.advanceTime(seconds(9));
    fixture.setModeForAll(&usage_machine::reportSink, call_mode::unanswered);
    fixture.advanceTime(seconds(7));
    if (usage_machine *holder = fixture.holder())
        fixture.kill(*holder);
    fixture.advanceTime(seconds(2));
    fixture.setModeForAll(&usage_machine::reportSink, call_mode::normal);
    fixture.advanceTime(seconds(25));
    CHECK(fixture.violations() == std::vector<std::string>());
    CHECK(fixture.lateWindows(fixture.trueTime()) == std::vector<window_number>());
}

/// Injects a random fault into a random machine, with a preference for the holder.
static void injectRandomFault(usage_fixture &fixture)
{
    usage_machine *holder = fixture.holder();
    usage_machine &machine
            = holder && fixture.random.chance(0.6) ? *holder : fixture.randomMachine();
    const milliseconds time(static_cast<std::int64_t>(500 + 5500 * fixture.random.uniform()));
    const auto recoverLater
            = [&fixture, time](usage_machine &item, std::function<void(usage_machine &)> recover) {
                  fixture.runtime.after(time, [&item, recover] { recover(item); });
              };
    constexpr std::array modes{call_mode::refused, call_mode::silent, call_mode::unanswered,
                               call_mode::late};
    const call_mode mode = modes[fixture.random.bits() % modes.size()];
    switch (fixture.random.bits() % 7) {
    case 0:
        fixture.kill(machine);
        return;
    case 1:
        fixture.suspend(machine);
        recoverLater(machine, [&fixture](usage_machine &item) { fixture.resume(item); });
        return;
    case 2:
        machine.isPartitioned = true;
        recoverLater(machine, [](usage_machine &item) { item.isPartitioned = false; });
        return;
    case 3:
        machine.store = mode;
        recoverLater(machine, [](usage_machine &item) { item.store = call_mode::normal; });
        return;
    case 4:
        machine.reportSink = mode == call_mode::late ? call_mode::unanswered : mode;
        recoverLater(machine, [](usage_machine &item) { item.reportSink = call_mode::normal; });
        return;
    case 5:
        fixture.stop(machine);
        return;
    default:
        for (usage_machine *item : fixture.allMachines()) {
            if (fixture.random.chance(0.5))
                fixture.kill(*item);
        }
    }
}

/// Ends all faults but the restarts under way.
static void endFaults(usage_fixture &fixture)
{
    for (usage_machine *machine : fixture.allMachines()) {
        machine->store = call_mode::normal;
        machine->reportSink = call_mode::normal;
        machine->isPartitioned = false;
        fixture.resume(*machine);
    }
}

TEST_CASE("a store that comes back from a copy: one holder at a time, one count per window")
{
    constexpr std::uint64_t seeds = 200;
    std::size_t reported = 0;
    std::uint64_t returns = 0;
    for (std::uint64_t seed = 5000; seed < 5000 + seeds; ++seed) {
        INFO("seed ", seed);
        usage_fixture fixture(entries, seed);
        fixture.store.era = 1;
        fixture.advanceTime(seconds(5), 2);
        for (int i = 0; i < 25; ++i) {
            if (fixture.random.chance(0.5))
                fixture.store.saveCopy();
            // Beside the return the holder is often killed or cut off.
            if (fixture.random.chance(0.7))
                injectRandomFault(fixture);
            fixture.advanceTime(
                    milliseconds(static_cast<std::int64_t>(2500 * fixture.random.uniform())), 2);
            if (i > 0 && fixture.random.chance(0.25)) {
                fixture.store.restoreCopy();
                fixture.store.skipVersions(static_cast<unsigned>(fixture.random.bits() % 60));
                ++returns;
            }
        }
        endFaults(fixture);
        fixture.advanceTime(seconds(20), 2);
        REQUIRE(fixture.violations() == std::vector<std::string>());
        REQUIRE(fixture.holder());
        reported += fixture.reports.size();
    }
    CHECK(reported > 4 * seeds);
    CHECK(returns > 3 * seeds);
}

TEST_CASE("a holder that lives through a return of the store loses no window")
{
    for (const unsigned skipped : {0U, 500U}) {
        CAPTURE(skipped);
        usage_fixture fixture(entries, 9);
        fixture.store.era = 1;
        fixture.advanceTime(seconds(9));
        fixture.store.saveCopy();
        fixture.advanceTime(seconds(4));
        usage_machine *holder = fixture.holder();
        REQUIRE(holder);
        fixture.store.restoreCopy();
        fixture.store.skipVersions(skipped);
        fixture.advanceTime(seconds(25));
        CHECK(fixture.holder() == holder);
        CHECK(fixture.violations() == std::vector<std::string>());
        CHECK(fixture.lateWindows(fixture.trueTime()) == std::vector<window_number>());
    }
}

TEST_CASE("random faults: one holder at a time, rising tokens, one count per window")
{
    constexpr std::uint64_t seeds = 200;
    std::size_t reported = 0;
    std::size_t tokens = 0;
    for (std::uint64_t seed = 1000; seed < 1000 + seeds; ++seed) {
        INFO("seed ", seed);
        usage_fixture fixture(entries, seed);
        fixture.advanceTime(seconds(5), 2);
        for (int i = 0; i < 25; ++i) {
            injectRandomFault(fixture);
            fixture.advanceTime(
                    milliseconds(static_cast<std::int64_t>(2500 * fixture.random.uniform())), 2);
        }
        endFaults(fixture);
        fixture.advanceTime(seconds(16), 2);
        REQUIRE(fixture.violations() == std::vector<std::string>());
        REQUIRE(fixture.holder());
        reported += fixture.reports.size();
        tokens += fixture.reports.empty() ? 0 : fixture.reports.back().report.token;
    }
    // The simulation must have reported windows and changed the holder often enough to be relevant.
    CHECK(reported > 5 * seeds);
    CHECK(tokens > 3 * seeds);
}
