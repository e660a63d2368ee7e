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

#include <optional>
#include <set>

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

TEST_CASE("many customers with equal demand share the room")
{
    for (const std::size_t entries : {3, 12, 30}) {
        CAPTURE(entries);
        room_plan plan;
        plan.entries = entries;
        for (int i = 0; i < 24; ++i)
            plan.customers.push_back({"c" + std::to_string(i), 5, 2.0 / 24});
        room_fixture fixture(plan);
        fixture.simulate(playTime);
        fixture.drain();
        CHECK(fixture.inAimOfRoom(settleTime) >= 0.85);
        CHECK(fixture.refusalTime() <= refusalBound);
        for (const room_customer &customer : plan.customers)
            CHECK(fixture.inAim({customer.name}, settleTime) >= 0.35);
    }
}

TEST_CASE("model endpoints that read prompts one after the other serve the urgent ones in time")
{
    for (const std::size_t entries : {1, 3, 12}) {
        CAPTURE(entries);
        room_plan plan = quarterUrgent(entries);
        plan.endpoints = 24;
        plan.slots = 1;
        plan.statedSlots = 64;
        plan.promptTokens = 6000;
        room_fixture fixture(plan);
        fixture.simulate(playTime);
        fixture.drain();
        CHECK(fixture.inAim({"urgent"}, settleTime) >= 0.98);
        CHECK(fixture.inAimOfRoom(settleTime) >= 0.85);
        CHECK(fixture.refusalTime() <= refusalBound);
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

TEST_CASE("entries without the store, or with a suspended clock, find the room again")
{
    // Nothing depends on the store: entries that know no others admit the same part of demand.
    for (const bool isSuspended : {false, true}) {
        CAPTURE(isSuspended);
        room_plan plan = quarterUrgent(12);
        plan.storeAway = true;
        room_fixture fixture(plan);
        fixture.simulate(milliseconds(4000));
        if (isSuspended)
            fixture.runtime.advanceWithoutTimers(seconds(30));
        const milliseconds resumed = fixture.elapsed();
        fixture.simulate(milliseconds(6000));
        fixture.drain();
        CHECK(fixture.inAim({"urgent"}, resumed + settleTime) >= 0.98);
        CHECK(fixture.inAimOfRoom(resumed + settleTime) >= 0.85);
    }
}

TEST_CASE("entries that all start into a full overload are neither shut nor wide open")
{
    for (const std::size_t entries : {3, 30}) {
        CAPTURE(entries);
        room_plan plan = quarterUrgent(entries);
        plan.customers.back().demand = 3.5; // four times the room in all
        room_fixture fixture(plan);
        fixture.simulate(milliseconds(2000));
        fixture.drain();
        // From the first request on, the figures that are wanted while entries start in turn.
        CHECK(fixture.inAim({"urgent"}, milliseconds(0)) >= 0.85);
        CHECK(fixture.inAimOfRoom(milliseconds(0)) >= 0.65);
    }
}

TEST_CASE("an endpoint that states a false load neither opens nor shuts the service")
{
    constexpr unsigned huge = 4'000'000'000;
    const std::vector<std::optional<endpoint_load>> falseLoads{
            endpoint_load{0, 0, 4}, endpoint_load{huge, huge, huge}, endpoint_load{0, huge, 0},
            std::nullopt};
    for (std::size_t i = 0; i < falseLoads.size(); ++i) {
        CAPTURE(i);
        room_fixture fixture(quarterUrgent(12));
        fixture.stated = [&](std::size_t endpoint, const endpoint_load &load) {
            return endpoint == 0 ? falseLoads[i] : load;
        };
        fixture.simulate(playTime);
        fixture.drain();
        CHECK(fixture.inAim({"urgent"}, settleTime) >= 0.95);
        CHECK(fixture.inAimOfRoom(settleTime) >= 0.8);
    }
}

TEST_CASE("nobody is refused while the endpoints have room")
{
    for (const std::size_t entries : {1, 3, 30}) {
        CAPTURE(entries);
        room_plan plan;
        plan.entries = entries;
        plan.customers = {{"usual", 5, 0.7}, {"low", 9, 0.1}};
        room_fixture fixture(plan);
        fixture.simulate(playTime);
        fixture.drain();
        CHECK(fixture.countOf("usual", 503) == 0);
        CHECK(fixture.countOf("low", 503) == 0);
    }
}

TEST_CASE("the least urgent work keeps a trickle and no customer is starved")
{
    room_plan plan;
    plan.customers = {{"urgent", 0, 2.0}, {"low", 9, 0.5}};
    room_fixture fixture(plan);
    fixture.simulate(playTime);
    fixture.drain();
    CHECK(fixture.countOf("low", 200) > 20);
    CHECK(fixture.inAimOfRoom(settleTime) >= 0.85);
}

TEST_CASE("refused callers are told to come back at different times, within bounds")
{
    room_fixture fixture(quarterUrgent(3));
    fixture.simulate(milliseconds(4000));
    std::set<double> times;
    for (const room_outcome &outcome : fixture.outcomes) {
        if (outcome.status != 503)
            continue;
        CHECK(outcome.retryAfter >= 0.25);
        CHECK(outcome.retryAfter <= 4);
        times.insert(outcome.retryAfter);
    }
    CHECK(times.size() > 100);
}

TEST_CASE("room is not asked about where it isn't managed")
{
    room_plan plan = quarterUrgent(3);
    plan.admission = feature_mode::automatic;
    room_fixture fixture(plan);
    fixture.simulate(milliseconds(3000));
    fixture.drain();
    for (const room_outcome &outcome : fixture.outcomes)
        CHECK_FALSE(outcome.record.room.has_value());
}

namespace {

/// A fixture in which nothing is admitted by the wait: the only endpoint is full and the expected
/// wait is three times the objective.
struct full_fixture : flow_fixture
{
    full_fixture(const service_route &route, int seed)
        : flow_fixture(route, {"e1", "e2"})
    {
        routing.notePaceStated(*routing.directory().all().at("e1"), runtime.now()); // manages room
        for (int i = 0; i < seed; ++i)
            routing.random().bits();
        for (int i = 0; i < 50; ++i)
            routing.room("pool").addObservedWait(4 * route.objective, route.objective,
                                                 runtime.now());
        for (const auto &[id, endpoint] : routing.directory().all())
            endpoint->recordLoadReport({4, 24, 4}, runtime.now());
        for (int i = 0; i < 1000; ++i)
            routing.room("pool").shares().addDemand(0, "other", 1, runtime.now());
    }
};

std::size_t refusedOf(const service_route &route, const std::shared_ptr<proxy_request> &request)
{
    std::size_t refused = 0;
    for (int i = 0; i < 20; ++i) {
        full_fixture fixture(route, i);
        startFlow(fixture, request);
        refused += fixture.status == http_status::unavailable ? 1 : 0;
    }
    return refused;
}

} // namespace

TEST_CASE("a first send is refused for lack of room, the rest of a stream isn't")
{
    const auto first = requestFor(draftRoute());
    const auto resumed = requestFor(draftRoute());
    resumed->afterEvent = 7;
    CHECK(refusedOf(draftRoute(), first) > 10);
    CHECK(refusedOf(draftRoute(), resumed) == 0);
    CHECK(refusedOf(fetchRoute(), requestFor(fetchRoute())) > 10);
}

TEST_CASE("a request that was sent is not refused for lack of room")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    fixture.routing.notePaceStated(*fixture.routing.directory().all().at("e1"),
                                   fixture.runtime.now());
    startFlow(fixture, requestFor(lookupRoute()));
    REQUIRE(fixture.calls.size() == 1);
    for (int i = 0; i < 50; ++i)
        fixture.routing.room("pool").addObservedWait(seconds(9), milliseconds(300),
                                                     fixture.runtime.now());
    fixture.end(0, call_end::broken);
    CHECK(fixture.calls.size() == 2);
}
