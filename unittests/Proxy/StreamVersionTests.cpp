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
    trial_fixture fixture;
    startFlow(fixture, requestFor(draftRoute()));
    fixture.breakAfter(0, 1);
    fixture.setTrial(1.0);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.versionOf(1) == "v1");
    fixture.breakAfter(1, 2);
    REQUIRE(fixture.calls.size() == 3);
    CHECK(fixture.versionOf(2) == "v1");
}

TEST_CASE("the last attempt of a stream begun by a version on trial uses the settled version")
{
    trial_fixture fixture;
    fixture.setTrial(1.0);
    fixture.addEndpoint("new2", "pool", "v2");
    startFlow(fixture, requestFor(draftRoute()));
    CHECK(fixture.versionOf(0) == "v2");
    fixture.breakAfter(0, 1);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.versionOf(1) == "v2");
    fixture.breakAfter(1, 2);
    REQUIRE(fixture.calls.size() == 3);
    CHECK(fixture.versionOf(2) == "v1");
}

TEST_CASE("a stream whose version is gone is resumed at the version that replaced it")
{
    // The entry knows this from the roll-out row, or notices it by refused connections.
    for (const bool hasHeard : {true, false}) {
        trial_fixture fixture;
        for (const char *id : {"old4", "old5", "old6", "old7"})
            fixture.addEndpoint(id, "pool", "v1");
        startFlow(fixture, requestFor(draftRoute()));
        CHECK(fixture.versionOf(0) == "v1");
        const rollout_stage stage = hasHeard ? rollout_stage::completed : rollout_stage::full;
        fixture.routing.rollouts("pool").setRow(
                {7, "v2", stage, milliseconds(1), milliseconds(2), 1});
        fixture.breakAfter(0, 1);
        for (std::size_t call = 1; call < fixture.calls.size() && !fixture.aborted; ++call) {
            if (fixture.versionOf(call) == "v1")
                fixture.end(call, call_end::notSent);
        }
        REQUIRE(!fixture.aborted);
        CHECK(fixture.versionOf(fixture.calls.size() - 1) == "v2");
    }
}

TEST_CASE("a choice among thousands of endpoints evaluates a bounded number, also while versions "
          "change")
{
    for (const bool ordered : {false, true}) {
        flow_fixture fixture(lookupRoute(), {});
        for (unsigned i = 0; i < 3000; ++i)
            fixture.addEndpoint("p" + std::to_string(i));
        if (ordered) {
            fixture.addEndpoint("new", "pool", "v2");
            fixture.routing.rollouts("pool").setOrder({"pool", "v2", seconds(10), 4});
        }
        const auto flow = startFlow(fixture, requestFor(lookupRoute()));
        CHECK(fixture.calls.size() == 1);
        CHECK(fixture.candidatesExamined <= maxCandidates);
    }
}

TEST_CASE("a session on trial keeps its version when the endpoints of the trial fail")
{
    trial_fixture fixture;
    fixture.useRoute(lookupRoute());
    for (const char *id : {"new2", "new3", "new4"})
        fixture.addEndpoint(id, "pool", "v2");
    fixture.setTrial(1.0);
    auto request = requestFor(lookupRoute());
    request->session = "s1";
    startFlow(fixture, request);
    for (std::size_t call = 0; call < fixture.calls.size(); ++call) {
        CHECK(fixture.versionOf(call) == "v2");
        fixture.answer(call, 500);
        fixture.end(call, call_end::complete);
    }
    CHECK(fixture.calls.size() == 2);
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
    trial_fixture fixture;
    fixture.useRoute(lookupRoute());
    fixture.setTrial(1.0);
    auto request = requestFor(lookupRoute());
    request->session = "s1";
    startFlow(fixture, request);
    CHECK(fixture.versionOf(0) == "v2");
    fixture.end(0, call_end::notSent);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.versionOf(1) == "v1");
    CHECK(fixture.record == std::nullopt);
    fixture.answer(1, 200);
    fixture.end(1, call_end::complete);
    REQUIRE(fixture.record);
    CHECK(fixture.record->versionReason == "fallback");
    CHECK(fixture.record->stage == "trial");
}
