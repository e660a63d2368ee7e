//===-- RoomAdmissionTests.cpp - admission by expected wait -----------------===//
//
// The decision on one request, and the shares of customers.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/CustomerShares.h"
#include "laurelcroft/Policy/RoomAdmission.h"
#include "laurelcroft/Policy/ServiceRoom.h"

#include <doctest/doctest.h>

#include <string>

using namespace laurelcroft;

namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr int urgency = 5;

/// Demand of one customer that sends ten times as much as each of four others.
customer_shares hotDemand()
{
    customer_shares shares;
    for (int i = 0; i < 100; ++i) {
        for (int repeat = 0; repeat < 10; ++repeat)
            shares.addDemand(urgency, "hot", 1, start);
        for (const char *name : {"a", "b", "c", "d"})
            shares.addDemand(urgency, name, 1, start);
    }
    return shares;
}

} // namespace

TEST_CASE("each factor in demand adds the same wait, and short waits refuse nobody")
{
    CHECK(admittedFraction(0) == 1);
    CHECK(admittedFraction(0.05) == 1);
    double wait = 0.2;
    const double step = 0.1;
    const double ratio = admittedFraction(wait + step) / admittedFraction(wait);
    for (; wait < 2; wait += step) {
        CHECK(admittedFraction(wait + step) / admittedFraction(wait) == doctest::Approx(ratio));
        CHECK(admittedFraction(wait) > 0);
    }
}

TEST_CASE("a request is admitted to free endpoints and refused if it can't be in time")
{
    room_view view;
    view.wait = 3;
    view.share.chance = 0;
    view.ownWait = milliseconds(900);
    view.answerTime = milliseconds(200);
    view.timeLeft = milliseconds(1000);
    view.isFree = true;
    CHECK(decideRoom(view) == room_reason::free);
    view.isFree = false;
    CHECK(decideRoom(view) == room_reason::noTime);
    view.timeLeft = milliseconds(2000);
    CHECK(decideRoom(view) == room_reason::noRoom);
    view.share.isOverShare = true;
    CHECK(decideRoom(view) == room_reason::overShare);
    view.share.chance = 0.5;
    view.draw = 0.49;
    CHECK(decideRoom(view) == room_reason::withinShare);
}

TEST_CASE("refused callers come back later the longer the wait and the lower the chance")
{
    const milliseconds usual = timeUntilRoom(milliseconds(1000), 1, 0.5);
    CHECK(usual == milliseconds(1000));
    CHECK(timeUntilRoom(milliseconds(2000), 1, 0.5) > usual);
    CHECK(timeUntilRoom(milliseconds(1000), 0.5, 0.5) > usual);
    CHECK(timeUntilRoom(milliseconds(1000), 1, 0.9) > usual);
    CHECK(timeUntilRoom(milliseconds(1000), 0, 0.5) <= 10 * usual);
}

TEST_CASE("only the customer with an excess is refused")
{
    const customer_shares shares = hotDemand();
    const double wait = 0.17;
    const admission_share usual = shares.shareOf(urgency, "a", wait, 0.5);
    const admission_share hot = shares.shareOf(urgency, "hot", wait, 0.5);
    CHECK(usual.chance > 0.99);
    CHECK_FALSE(usual.isOverShare);
    CHECK(hot.chance < 0.4);
    CHECK(hot.chance > 0.1);
    CHECK(hot.isOverShare);
    CHECK(hot.demandRatio == doctest::Approx(10.0 / 3).epsilon(0.01));
    CHECK(shares.shareOf(urgency, "hot", 0, 1).chance == 1);
}

TEST_CASE("more urgent work goes first and the rest keeps a trickle")
{
    customer_shares shares;
    for (int i = 0; i < 100; ++i) {
        shares.addDemand(0, "first", 1, start);
        shares.addDemand(9, "last", 1, start);
    }
    CHECK(shares.demandUpTo(0) == doctest::Approx(0.5));
    CHECK(shares.demandUpTo(9) == 1);
    const double wait = 0.3;
    const admission_share first = shares.shareOf(0, "first", wait, 0.5);
    const admission_share last = shares.shareOf(9, "last", wait, 0.5);
    CHECK(first.chance > 0.9);
    CHECK(last.chance < 0.05);
    CHECK(last.chance > 0);
    // Urgencies outside of the range are those at its ends.
    CHECK(shares.shareOf(-3, "first", wait, 0.5).chance == first.chance);
    CHECK(shares.shareOf(12, "last", wait, 0.5).chance == last.chance);
}

TEST_CASE("any number of customers is counted in bounded memory, and demand is forgotten")
{
    customer_shares shares;
    for (int i = 0; i < 10000; ++i)
        shares.addDemand(urgency, "c" + std::to_string(i), 1, start);
    const admission_share share = shares.shareOf(urgency, "c9999", 0.3, 0.5);
    CHECK(share.chance >= 0);
    CHECK(share.chance <= 1);
    shares.addDemand(urgency, "c1", 1, start - seconds(100)); // a clock that steps back
    shares.addDemand(urgency, "late", 1, start + seconds(1000));
    CHECK(shares.shareOf(urgency, "late", 0.3, 0.5).chance > 0);
    CHECK(shares.demandUpTo(urgency) == 1);
}

TEST_CASE("the expected wait follows stated queues and falls without answers")
{
    service_room room;
    CHECK(room.wait(start) == milliseconds(0));
    CHECK_FALSE(room.isLoadKnown(start));
    for (int i = 0; i < 20; ++i) {
        room.addAnswerTime(milliseconds(400), 4, start);
        room.addQueue(3, milliseconds(1000), start);
    }
    CHECK(room.answerTime() == milliseconds(100));
    CHECK(room.waitShare(start) == doctest::Approx(0.3));
    CHECK(room.waitShare(start + seconds(1)) == doctest::Approx(0.15));
    CHECK(room.waitShare(start - seconds(1)) == doctest::Approx(0.3));
    // A huge statement counts like a full queue, no more.
    service_room misled;
    misled.addAnswerTime(milliseconds(100), 1, start);
    misled.addQueue(1e9, milliseconds(1000), start);
    CHECK(misled.waitShare(start) <= 1);
    CHECK(misled.wait(start) < milliseconds(2000));
}
