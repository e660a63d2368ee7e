//===-- CustomerRunTests.cpp - which requests are told as run ---------------===//
//
// What a customer's usage is counted by: each request once, when its first endpoint gets it.
//
//===----------------------------------------------------------------------===//
#include "FlowWorld.h"

#include <doctest/doctest.h>

#include <vector>

using namespace laurelcroft;

namespace {

/// Writes down what is told.
struct run_log
{
    explicit run_log(flow_world &world)
    {
        world.routing.setRunListener([this](const customer_run &run) { runs.push_back(run); });
    }
    /// \returns how often the requests count together.
    int counted() const
    {
        int sum = 0;
        for (const customer_run &run : runs)
            sum += run.hasRun ? 1 : -1;
        return sum;
    }
    std::vector<customer_run> runs;
};

} // namespace

TEST_CASE("a request is told once, for its customer, when it goes to its endpoint")
{
    flow_world world(fetchRoute(), {"e1"});
    run_log log(world);
    startFlow(world, requestFor(fetchRoute()));
    REQUIRE(log.runs.size() == 1);
    CHECK(log.runs[0].customer == "daan");
    CHECK(log.runs[0].began == world.runtime.now());
    world.runtime.advance(milliseconds(60));
    world.answer(0, 200);
    world.end(0, call_end::complete);
    CHECK(log.runs.size() == 1);
}

TEST_CASE("a request that is sent again counts once, at its first run")
{
    flow_world world(lookupRoute(), {"e1", "e2"});
    run_log log(world);
    startFlow(world, requestFor(lookupRoute()));
    const time_point first = world.runtime.now();
    world.runtime.advance(milliseconds(20));
    world.answer(0, 500);
    world.end(0, call_end::complete);
    REQUIRE(world.calls.size() == 2);
    world.answer(1, 200);
    world.end(1, call_end::complete);
    CHECK(log.counted() == 1);
    CHECK(log.runs.back().began == first);
}

TEST_CASE("what an endpoint refused, or never got, has not run there")
{
    flow_world world(lookupRoute(), {"e1", "e2"});
    run_log log(world);
    startFlow(world, requestFor(lookupRoute()));
    const time_point first = world.runtime.now();
    world.runtime.advance(milliseconds(20));
    world.refuseNotRun(0);
    REQUIRE(world.calls.size() == 2);
    REQUIRE(log.runs.size() == 3);
    CHECK_FALSE(log.runs[1].hasRun);
    CHECK(log.runs[1].began == first);
    CHECK(log.runs[2].began == world.runtime.now());
    CHECK(log.counted() == 1);

    flow_world other(fetchRoute(), {"e1"});
    run_log none(other);
    startFlow(other, requestFor(fetchRoute()));
    other.end(0, call_end::notSent);
    CHECK(none.counted() == 0);
}

TEST_CASE("a request whose answer was lost may have run, and counts")
{
    flow_world world(fetchRoute(), {"e1"});
    run_log log(world);
    startFlow(world, requestFor(fetchRoute()));
    world.end(0, call_end::broken);
    CHECK(world.status == 502);
    CHECK(log.counted() == 1);
}
