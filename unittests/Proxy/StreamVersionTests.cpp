//===-- StreamVersionTests.cpp - versions of retries during roll-outs -------===//
//
// Checks which software version resumes a begun stream or retries a failed request during a
// roll-out.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

/// A stream route, three endpoints of the settled version and one of a version on trial.
struct trial_fixture : flow_fixture
{
    trial_fixture()
    {
        useRoute(draftRoute());
        for (const char *id : {"old1", "old2", "old3"})
            addEndpoint(id, "pool", "v1");
        addEndpoint("new", "pool", "v2");
        routing.rollouts("pool").setOrder({"pool", "v2", seconds(20), 7});
        setTrial(0);
    }
    void setTrial(double share)
    {
        const rollout_row row{7,    "v2", rollout_stage::trial, milliseconds(1), milliseconds(1),
                              share};
        routing.rollouts("pool").setRow(row);
    }
    /// Supplies \p event as an answer to call \p index, then breaks the connection.
    void breakAfter(std::size_t index, unsigned event)
    {
        answer(index, 200, 90);
        data(index, eventText(event));
        end(index, call_end::broken);
    }
    std::string versionOf(std::size_t index) const
    {
        return calls[index].attempt.endpoint->record().softwareVersion;
    }
};

} // namespace

TEST_CASE("a begun stream is not resumed at a version whose trial starts meanwhile")
{
    trial_fixture world;
    startFlow(world, requestFor(draftRoute()));
    world.breakAfter(0, 1);
    world.setTrial(1.0);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.versionOf(1) == "v1");
    world.breakAfter(1, 2);
    REQUIRE(world.calls.size() == 3);
    CHECK(world.versionOf(2) == "v1");
}

TEST_CASE("the last attempt of a stream begun by a version on trial uses the settled version")
{
    trial_fixture world;
    world.setTrial(1.0);
    world.addEndpoint("new2", "pool", "v2");
    startFlow(world, requestFor(draftRoute()));
    CHECK(world.versionOf(0) == "v2");
    world.breakAfter(0, 1);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.versionOf(1) == "v2");
    world.breakAfter(1, 2);
    REQUIRE(world.calls.size() == 3);
    CHECK(world.versionOf(2) == "v1");
}

TEST_CASE("a stream whose version is gone is resumed at the version that replaced it")
{
    // The entry knows this from the roll-out row, or notices it by refused connections.
    for (const bool hasHeard : {true, false}) {
        trial_fixture world;
        for (const char *id : {"old4", "old5", "old6", "old7"})
            world.addEndpoint(id, "pool", "v1");
        startFlow(world, requestFor(draftRoute()));
        CHECK(world.versionOf(0) == "v1");
        const rollout_stage stage = hasHeard ? rollout_stage::completed : rollout_stage::full;
        world.routing.rollouts("pool").setRow(
                {7, "v2", stage, milliseconds(1), milliseconds(2), 1});
        world.breakAfter(0, 1);
        for (std::size_t call = 1; call < world.calls.size() && !world.aborted; ++call) {
            if (world.versionOf(call) == "v1")
                world.end(call, call_end::notSent);
        }
        REQUIRE(!world.aborted);
        CHECK(world.versionOf(world.calls.size() - 1) == "v2");
    }
}

TEST_CASE("a choice among thousands of endpoints evaluates a bounded number, also while versions "
          "change")
{
    for (const bool ordered : {false, true}) {
        flow_fixture world(lookupRoute(), {});
        for (unsigned i = 0; i < 3000; ++i)
            world.addEndpoint("p" + std::to_string(i));
        if (ordered) {
            world.addEndpoint("new", "pool", "v2");
            world.routing.rollouts("pool").setOrder({"pool", "v2", seconds(10), 4});
        }
        const auto flow = startFlow(world, requestFor(lookupRoute()));
        CHECK(world.calls.size() == 1);
        CHECK(world.candidatesExamined <= mostCandidates);
    }
}

TEST_CASE("a session on trial keeps its version when the endpoints of the trial fail")
{
    trial_fixture world;
    world.useRoute(lookupRoute());
    for (const char *id : {"new2", "new3", "new4"})
        world.addEndpoint(id, "pool", "v2");
    world.setTrial(1.0);
    auto request = requestFor(lookupRoute());
    request->session = "s1";
    startFlow(world, request);
    for (std::size_t call = 0; call < world.calls.size(); ++call) {
        CHECK(world.versionOf(call) == "v2");
        world.answer(call, 500);
        world.end(call, call_end::complete);
    }
    CHECK(world.calls.size() == 2);
    // A request without a session is served by the old version.
    trial_fixture other;
    other.useRoute(lookupRoute());
    other.setTrial(1.0);
    startFlow(other, requestFor(lookupRoute()));
    other.answer(0, 500);
    other.end(0, call_end::complete);
    REQUIRE(other.calls.size() == 2);
    CHECK(other.versionOf(1) == "v1");
}

TEST_CASE("a session on trial falls back to the old version if the new one can't be reached")
{
    trial_fixture world;
    world.useRoute(lookupRoute());
    world.setTrial(1.0);
    auto request = requestFor(lookupRoute());
    request->session = "s1";
    startFlow(world, request);
    CHECK(world.versionOf(0) == "v2");
    world.end(0, call_end::notSent);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.versionOf(1) == "v1");
    CHECK(world.record == std::nullopt);
    world.answer(1, 200);
    world.end(1, call_end::complete);
    REQUIRE(world.record);
    CHECK(world.record->versionReason == "fallback");
    CHECK(world.record->stage == "trial");
}
