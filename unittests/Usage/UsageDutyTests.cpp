//===-- UsageDutyTests.cpp - usage is told once, by one holder --------------===//
//
// Whole entries on a paused clock: what whoever takes the reports gets.
//
//===----------------------------------------------------------------------===//
#include "UsageFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr std::size_t entries = 9;
constexpr double maxRelativeError = 0.05;

} // namespace

/// Checks that all windows in which requests ran were told in time, and alike.
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

TEST_CASE("each window is told once, with the counts of all entries")
{
    usage_fixture fixture(entries, 1);
    fixture.advanceTime(seconds(40));
    REQUIRE(fixture.holder());
    checkExactReports(fixture);
    CHECK(fixture.reports.size() >= 5);
    std::set<window_number> told;
    for (const received_report &item : fixture.reports)
        CHECK(told.insert(item.report.window).second);
    // A lease, its token and one write for each save: no entry but the holder calls the store.
    CHECK(fixture.store.writes < seconds(40) / usage_holder<process_environment>::saveInterval);
    CHECK(fixture.store.lists < 3 * entries);
}

TEST_CASE("a holder that is killed, suspended or cut off is followed, and nothing is lost")
{
    for (const std::string kind : {"killed while idle", "suspended", "cut off", "turned away"}) {
        INFO(kind);
        usage_fixture fixture(entries, 2);
        fixture.advanceTime(seconds(12));
        usage_machine *first = fixture.holder();
        REQUIRE(first);
        if (kind == "suspended")
            fixture.suspend(*first);
        else if (kind == "cut off")
            first->isPartitioned = true;
        else if (kind == "turned away")
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
        // Whoever is only out of the others' reach goes on: its rows tell that it lives. One that
        // was killed may be the first to be up again.
        if (kind != "killed while idle")
            CHECK((second->name == first->name) == (kind == "cut off"));
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

TEST_CASE("all entries are stopped and started again, one after the other")
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

TEST_CASE("all entries are killed together: what was counted a moment before is told")
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

TEST_CASE("an entry that reaches only the store tells its counts by a row")
{
    usage_fixture fixture(entries, 5);
    fixture.advanceTime(seconds(8));
    usage_machine *cut = fixture.allMachines()[3];
    if (cut == fixture.holder())
        cut = fixture.allMachines()[4];
    cut->isPartitioned = true;
    fixture.advanceTime(seconds(14));
    cut->isPartitioned = false;
    fixture.advanceTime(seconds(25));
    checkExactReports(fixture);
}

TEST_CASE("an entry that is gone for good delays the windows of its end, and no later ones")
{
    usage_fixture fixture(entries, 8);
    fixture.advanceTime(seconds(8));
    usage_machine *gone = fixture.allMachines()[3];
    if (gone == fixture.holder())
        gone = fixture.allMachines()[4];
    gone->isUp = false;
    ++gone->life;
    fixture.advanceTime(seconds(30));
    CHECK(fixture.violations() == std::vector<std::string>());
    CHECK(fixture.lateWindows(fixture.trueTime()) == std::vector<window_number>());
    const received_report &last = fixture.reports.back();
    const milliseconds at = usage_fixture::trueTimeAt(last.at);
    CHECK(at - usage_fixture::windows.endOf(last.report.window) < seconds(3));
}

TEST_CASE("an outage of the store is waited for: windows that are not due yet are told exactly")
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

TEST_CASE("who gains the duty late hears all entries before it decides what is overdue")
{
    for (std::int64_t begin = 8; begin < 13; ++begin) {
        INFO("store away from second ", begin);
        usage_fixture fixture(entries, 9);
        fixture.advanceTime(seconds(begin));
        fixture.setModeForAll(&usage_machine::store, call_mode::refused);
        fixture.advanceTime(milliseconds(6500));
        fixture.setModeForAll(&usage_machine::store, call_mode::normal);
        fixture.advanceTime(seconds(30));
        checkExactReports(fixture);
    }
}

TEST_CASE("a report whose answer is lost is told again, alike")
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

/// Does something at random to some machine.
static void injectRandomFault(usage_fixture &fixture)
{
    usage_machine *holder = fixture.holder();
    usage_machine &machine
            = holder && fixture.random.chance(0.6) ? *holder : fixture.randomMachine();
    const milliseconds time(static_cast<std::int64_t>(500 + 5500 * fixture.random.uniform()));
    const auto heal
            = [&fixture, time](usage_machine &item, std::function<void(usage_machine &)> mend) {
                  fixture.runtime.after(time, [&item, mend] { mend(item); });
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
        heal(machine, [&fixture](usage_machine &item) { fixture.resume(item); });
        return;
    case 2:
        machine.isPartitioned = true;
        heal(machine, [](usage_machine &item) { item.isPartitioned = false; });
        return;
    case 3:
        machine.store = mode;
        heal(machine, [](usage_machine &item) { item.store = call_mode::normal; });
        return;
    case 4:
        machine.reportSink = mode == call_mode::late ? call_mode::unanswered : mode;
        heal(machine, [](usage_machine &item) { item.reportSink = call_mode::normal; });
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

TEST_CASE("whatever happens: one holder, rising tokens, never two counts for a window")
{
    constexpr std::uint64_t seeds = 200;
    std::size_t told = 0;
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
        for (usage_machine *machine : fixture.allMachines()) {
            machine->store = call_mode::normal;
            machine->reportSink = call_mode::normal;
            machine->isPartitioned = false;
            fixture.resume(*machine);
        }
        fixture.advanceTime(seconds(16), 2);
        REQUIRE(fixture.violations() == std::vector<std::string>());
        REQUIRE(fixture.holder());
        told += fixture.reports.size();
        tokens += fixture.reports.empty() ? 0 : fixture.reports.back().report.token;
    }
    // The play is one: the duty is told, and changes hands.
    CHECK(told > 5 * seeds);
    CHECK(tokens > 3 * seeds);
}
