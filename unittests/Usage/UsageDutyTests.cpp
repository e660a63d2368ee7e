//===-- UsageDutyTests.cpp - usage is told once, by one holder --------------===//
//
// Whole entries on a paused clock: what whoever takes the reports gets.
//
//===----------------------------------------------------------------------===//
#include "UsageWorld.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr std::size_t entries = 9;
constexpr double usageError = 0.05;

} // namespace

/// Checks that all windows in which requests ran were told in time, and alike.
static void checkExact(const usage_fixture &world)
{
    CHECK(world.faults() == std::vector<std::string>());
    CHECK(world.missed(world.trueTime()) == std::vector<window_number>());
    for (const taken_report &item : world.reports) {
        if (world.truthOf(item.report.window) > 0) {
            INFO("window ", item.report.window);
            CHECK(world.errorOf(item.report.window) == 0);
        }
    }
}

TEST_CASE("each window is told once, with the counts of all entries")
{
    usage_fixture world(entries, 1);
    world.pass(seconds(40));
    REQUIRE(world.holder());
    checkExact(world);
    CHECK(world.reports.size() >= 5);
    std::set<window_number> told;
    for (const taken_report &item : world.reports)
        CHECK(told.insert(item.report.window).second);
    // A lease, its token and one write for each save: no entry but the holder calls the store.
    CHECK(world.store.writes < seconds(40) / usage_holder<process_surroundings>::saveInterval);
    CHECK(world.store.lists < 3 * entries);
}

TEST_CASE("a holder that is killed, suspended or cut off is followed, and nothing is lost")
{
    for (const std::string kind : {"killed while idle", "suspended", "cut off", "turned away"}) {
        INFO(kind);
        usage_fixture world(entries, 2);
        world.pass(seconds(12));
        usage_machine *first = world.holder();
        REQUIRE(first);
        if (kind == "suspended")
            world.suspend(*first);
        else if (kind == "cut off")
            first->isCut = true;
        else if (kind == "turned away")
            first->store = call_mode::refused;
        else {
            world.pass(milliseconds(500), 0);
            world.kill(*first);
        }
        world.pass(seconds(8));
        if (kind == "suspended")
            world.thaw(*first);
        first->isCut = false;
        first->store = call_mode::fine;
        world.pass(seconds(25));
        usage_machine *second = world.holder();
        REQUIRE(second);
        // Whoever is only out of the others' reach goes on: its rows tell that it lives. One that
        // was killed may be the first to be up again.
        if (kind != "killed while idle")
            CHECK((second->name == first->name) == (kind == "cut off"));
        checkExact(world);
    }
}

TEST_CASE("a planned stop hands the duty over at once")
{
    usage_fixture world(entries, 3);
    world.pass(seconds(12));
    usage_machine *first = world.holder();
    REQUIRE(first);
    world.stop(*first);
    world.pass(milliseconds(1200));
    usage_machine *second = world.holder();
    REQUIRE(second);
    CHECK(second->name != first->name);
    world.pass(seconds(25));
    checkExact(world);
}

TEST_CASE("all entries are stopped and started again, one after the other")
{
    usage_fixture world(entries, 4);
    world.pass(seconds(8));
    for (usage_machine *machine : world.all()) {
        world.stop(*machine);
        world.pass(milliseconds(1700));
    }
    world.pass(seconds(25));
    checkExact(world);
}

TEST_CASE("all entries are killed together: what was counted a moment before is told")
{
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        usage_fixture world(entries, seed);
        world.pass(seconds(12) + milliseconds(137 * static_cast<std::int64_t>(seed)), 20);
        for (usage_machine *machine : world.all())
            world.kill(*machine);
        const window_number window = usage_fixture::windows.windowAt(world.trueTime());
        world.pass(seconds(25), 20);
        CHECK(world.faults() == std::vector<std::string>());
        CHECK(world.missed(world.trueTime()) == std::vector<window_number>());
        worst = std::max(worst, world.errorOf(window));
    }
    MESSAGE("worst error ", worst);
    CHECK(worst <= usageError);
}

TEST_CASE("an entry that reaches only the store tells its counts by a row")
{
    usage_fixture world(entries, 5);
    world.pass(seconds(8));
    usage_machine *cut = world.all()[3];
    if (cut == world.holder())
        cut = world.all()[4];
    cut->isCut = true;
    world.pass(seconds(14));
    cut->isCut = false;
    world.pass(seconds(25));
    checkExact(world);
}

TEST_CASE("an entry that is gone for good delays the windows of its end, and no later ones")
{
    usage_fixture world(entries, 8);
    world.pass(seconds(8));
    usage_machine *gone = world.all()[3];
    if (gone == world.holder())
        gone = world.all()[4];
    gone->isUp = false;
    ++gone->life;
    world.pass(seconds(30));
    CHECK(world.faults() == std::vector<std::string>());
    CHECK(world.missed(world.trueTime()) == std::vector<window_number>());
    const taken_report &last = world.reports.back();
    const milliseconds at = usage_fixture::trueTimeAt(last.at);
    CHECK(at - usage_fixture::windows.endOf(last.report.window) < seconds(3));
}

TEST_CASE("an outage of the store is waited for: windows that are not due yet are told exactly")
{
    for (const call_mode mode : {call_mode::refused, call_mode::silent, call_mode::unanswered}) {
        usage_fixture world(entries, 6);
        world.pass(seconds(9));
        world.treatAll(&usage_machine::store, mode);
        world.pass(seconds(5));
        world.treatAll(&usage_machine::store, call_mode::fine);
        world.pass(seconds(30));
        checkExact(world);
    }
}

TEST_CASE("who gains the duty late hears all entries before it decides what is overdue")
{
    for (std::int64_t begin = 8; begin < 13; ++begin) {
        INFO("store away from second ", begin);
        usage_fixture world(entries, 9);
        world.pass(seconds(begin));
        world.treatAll(&usage_machine::store, call_mode::refused);
        world.pass(milliseconds(6500));
        world.treatAll(&usage_machine::store, call_mode::fine);
        world.pass(seconds(30));
        checkExact(world);
    }
}

TEST_CASE("a report whose answer is lost is told again, alike")
{
    usage_fixture world(entries, 7);
    world.pass(seconds(9));
    world.treatAll(&usage_machine::cloud, call_mode::unanswered);
    world.pass(seconds(7));
    if (usage_machine *holder = world.holder())
        world.kill(*holder);
    world.pass(seconds(2));
    world.treatAll(&usage_machine::cloud, call_mode::fine);
    world.pass(seconds(25));
    CHECK(world.faults() == std::vector<std::string>());
    CHECK(world.missed(world.trueTime()) == std::vector<window_number>());
}

/// Does something at random to some machine.
static void disturb(usage_fixture &world)
{
    usage_machine *holder = world.holder();
    usage_machine &machine = holder && world.random.chance(0.6) ? *holder : world.any();
    const milliseconds time(static_cast<std::int64_t>(500 + 5500 * world.random.uniform()));
    const auto heal
            = [&world, time](usage_machine &item, std::function<void(usage_machine &)> mend) {
                  world.runtime.after(time, [&item, mend] { mend(item); });
              };
    constexpr std::array modes{call_mode::refused, call_mode::silent, call_mode::unanswered,
                               call_mode::late};
    const call_mode mode = modes[world.random.bits() % modes.size()];
    switch (world.random.bits() % 7) {
    case 0:
        world.kill(machine);
        return;
    case 1:
        world.suspend(machine);
        heal(machine, [&world](usage_machine &item) { world.thaw(item); });
        return;
    case 2:
        machine.isCut = true;
        heal(machine, [](usage_machine &item) { item.isCut = false; });
        return;
    case 3:
        machine.store = mode;
        heal(machine, [](usage_machine &item) { item.store = call_mode::fine; });
        return;
    case 4:
        machine.cloud = mode == call_mode::late ? call_mode::unanswered : mode;
        heal(machine, [](usage_machine &item) { item.cloud = call_mode::fine; });
        return;
    case 5:
        world.stop(machine);
        return;
    default:
        for (usage_machine *item : world.all()) {
            if (world.random.chance(0.5))
                world.kill(*item);
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
        usage_fixture world(entries, seed);
        world.pass(seconds(5), 2);
        for (int i = 0; i < 25; ++i) {
            disturb(world);
            world.pass(milliseconds(static_cast<std::int64_t>(2500 * world.random.uniform())), 2);
        }
        for (usage_machine *machine : world.all()) {
            machine->store = call_mode::fine;
            machine->cloud = call_mode::fine;
            machine->isCut = false;
            world.thaw(*machine);
        }
        world.pass(seconds(16), 2);
        REQUIRE(world.faults() == std::vector<std::string>());
        REQUIRE(world.holder());
        told += world.reports.size();
        tokens += world.reports.empty() ? 0 : world.reports.back().report.token;
    }
    // The play is one: the duty is told, and changes hands.
    CHECK(told > 5 * seeds);
    CHECK(tokens > 3 * seeds);
}
