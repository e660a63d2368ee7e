//===-- RoomTests.cpp - admission while there is too little room ------------===//
//
// Guards against congestion collapse: when more is asked for than the endpoints can serve in time,
// they work all the time and nearly all answers are late. Plays such loads with entries that
// exchange nothing, and checks what callers get. The bounds are the wanted figures of the
// requirement.
//
//===----------------------------------------------------------------------===//
#include "RoomFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr milliseconds playTime{10000};
/// After this, the entries must know the load.
constexpr milliseconds settleTime{1000};
constexpr milliseconds refusalBound{20};

/// Twice the room is asked for, a quarter of it by an urgent customer.
room_plan quarterUrgent(std::size_t entries)
{
    room_plan plan;
    plan.entries = entries;
    plan.customers = {{"urgent", 0, 0.5}, {"usual", 5, 1.5}};
    return plan;
}

const std::vector<std::string> others{"a", "b", "c", "d"};

/// Twice the room is asked for, most of it by one of five customers, which sends ten times as much
/// as each of the others.
room_plan hotCustomer(std::size_t entries)
{
    constexpr double each = 2.0 / 14;
    room_plan plan;
    plan.entries = entries;
    plan.customers = {{"hot", 5, 10 * each}};
    for (const std::string &name : others)
        plan.customers.push_back({name, 5, each});
    return plan;
}

} // namespace

TEST_CASE("urgent requests are served in time while twice the room is asked for")
{
    for (const std::size_t entries : {1, 3, 12, 30}) {
        CAPTURE(entries);
        room_fixture fixture(quarterUrgent(entries));
        fixture.simulate(playTime);
        fixture.drain();
        CHECK(fixture.inAim({"urgent"}, settleTime) >= 0.98);
        CHECK(fixture.inAimOfRoom(settleTime) >= 0.85);
        CHECK(fixture.refusalTime() <= refusalBound);
    }
}

TEST_CASE("a customer that sends ten times as much as the others takes nothing from them")
{
    for (const std::size_t entries : {1, 3, 12, 30}) {
        CAPTURE(entries);
        room_fixture fixture(hotCustomer(entries));
        fixture.simulate(playTime);
        fixture.drain();
        CHECK(fixture.inAim(others, settleTime) >= 0.97);
        CHECK(fixture.inAimOfRoom(settleTime) >= 0.85);
        CHECK(fixture.refusalTime() <= refusalBound);
        CHECK(fixture.countOf("hot", 200) > 0);
    }
}

TEST_CASE("entries that are killed and started in turn leave the others their share")
{
    room_fixture fixture(hotCustomer(3));
    for (std::size_t turn = 0; turn < 6; ++turn) {
        fixture.simulate(milliseconds(2400));
        fixture.kill(turn % 3);
        fixture.simulate(milliseconds(600));
        fixture.start(turn % 3);
    }
    fixture.drain();
    CHECK(fixture.inAim(others, settleTime) >= 0.85);
    CHECK(fixture.inAimOfRoom(settleTime) >= 0.65);
}
