//===-- CustomerRunTests.cpp - reports of customers' runs -------------------===//
//
// The reports by which a customer's usage is counted: each request counts once, when it is sent to
// the first endpoint that runs it.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

#include <vector>

using namespace laurelcroft;

namespace {

/// Records the reported runs.
struct run_log
{
    explicit run_log(flow_fixture &fixture)
    {
        fixture.routing.setRunListener([this](const customer_run &run) { runs.push_back(run); });
    }
    /// \returns the number of runs counted, after reverted reports.
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

TEST_CASE("a request is reported once, for its customer, when it is sent")
{
    flow_fixture fixture(fetchRoute(), {"e1"});
    run_log log(fixture);
    startFlow(fixture, requestFor(fetchRoute()));
    REQUIRE(log.runs.size() == 1);
    CHECK(log.runs[0].customer == "daan");
    CHECK(log.runs[0].began == fixture.runtime.now());
    fixture.runtime.advance(milliseconds(60));
    fixture.answer(0, 200);
    fixture.end(0, call_end::complete);
    CHECK(log.runs.size() == 1);
}

TEST_CASE("a retried request counts once, at the time of its first run")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    run_log log(fixture);
    startFlow(fixture, requestFor(lookupRoute()));
    const time_point first = fixture.runtime.now();
    fixture.runtime.advance(milliseconds(20));
    fixture.answer(0, 500);
    fixture.end(0, call_end::complete);
    REQUIRE(fixture.calls.size() == 2);
    fixture.answer(1, 200);
    fixture.end(1, call_end::complete);
    CHECK(log.counted() == 1);
    CHECK(log.runs.back().began == first);
}

TEST_CASE("a report is reverted when an endpoint refused or never received the request")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    run_log log(fixture);
    startFlow(fixture, requestFor(lookupRoute()));
    const time_point first = fixture.runtime.now();
    fixture.runtime.advance(milliseconds(20));
    fixture.refuseNotRun(0);
    REQUIRE(fixture.calls.size() == 2);
    REQUIRE(log.runs.size() == 3);
    CHECK_FALSE(log.runs[1].hasRun);
    CHECK(log.runs[1].began == first);
    CHECK(log.runs[2].began == fixture.runtime.now());
    CHECK(log.counted() == 1);

    flow_fixture other(fetchRoute(), {"e1"});
    run_log none(other);
    startFlow(other, requestFor(fetchRoute()));
    other.end(0, call_end::notSent);
    CHECK(none.counted() == 0);
}

TEST_CASE("a request whose answer was lost counts, since it may have run")
{
    flow_fixture fixture(fetchRoute(), {"e1"});
    run_log log(fixture);
    startFlow(fixture, requestFor(fetchRoute()));
    fixture.end(0, call_end::broken);
    CHECK(fixture.status == 502);
    CHECK(log.counted() == 1);
}
