//===-- SuspectFlowTests.cpp - flows of suspected requests ------------------===//
//
// How an entry handles a request that is suspected of crashing endpoints, and requests beside it.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

/// Makes the entry see \p ends endpoints crash one after the other while they run \p request.
static void crashEndpoints(flow_fixture &world, const std::shared_ptr<proxy_request> &request,
                           unsigned ends)
{
    crash_watch &crashes = world.routing.crashes();
    for (unsigned i = 0; i < ends; ++i) {
        endpoint_record record;
        record.id = "gone" + std::to_string(i);
        record.service = "pool";
        record.softwareVersion = "v1";
        crashes.runs().add(record.id, request, world.runtime.now());
        world.runtime.advance(milliseconds(100));
        crashes.endpointEnded(service_endpoint(record), world.runtime.now());
    }
}

TEST_CASE("a request that crashed three endpoints waits, and is then refused with a Retry-After")
{
    flow_fixture world(draftRoute(), {"e1", "e2"});
    const auto request = requestFor(draftRoute());
    crashEndpoints(world, request, 3);
    startFlow(world, request);
    CHECK(world.calls.empty());
    CHECK(world.status == 0);
    world.runtime.advance(crash_suspects::confirmationDelay + milliseconds(50));
    CHECK(world.calls.empty());
    CHECK(world.status == 503);
    CHECK(world.record->reason == flow_reason::withheld);
    CHECK(std::stod(std::string(findHeader(world.headers, "Retry-After")))
          == doctest::Approx(3600).epsilon(0.01));
    // The finding is firm now, so the request is refused at once.
    world.status = 0;
    startFlow(world, request);
    CHECK(world.status == 503);
}

TEST_CASE("another caller's request with the same body is served")
{
    flow_fixture world(draftRoute(), {"e1", "e2"});
    const auto request = requestFor(draftRoute());
    crashEndpoints(world, request, 3);
    const auto other = std::make_shared<proxy_request>(*request);
    other->key = "key-other";
    other->host = "site.example";
    auto contract = std::make_shared<service_contract>(*world.routing.contract());
    contract->version += 1;
    contract->customerIndexByKey["key-other"] = 0;
    world.routing.setContract(contract);
    startFlow(world, other);
    CHECK(world.calls.size() == 1);
}

TEST_CASE("a suspected request is not cancelled for a larger model")
{
    flow_fixture world(draftRoute(), {"e1", "e2"});
    const auto request = requestFor(draftRoute());
    crashEndpoints(world, request, 1);
    startFlow(world, request);
    world.answer(0, 200, 5);
    // A cancelled request would hide whether it crashes the endpoint.
    CHECK(world.calls.size() == 1);
}

TEST_CASE("a strongly suspected request is sent once at a time until it is answered")
{
    flow_fixture world(lookupRoute(), {"e1", "e2", "e3"});
    const auto request = requestFor(lookupRoute());
    crashEndpoints(world, request, 2);
    startFlow(world, request);
    startFlow(world, std::make_shared<proxy_request>(*request));
    CHECK(world.calls.size() == 1);
    world.answer(0, 200);
    world.end(0, call_end::complete);
    world.runtime.advance(flow_bounds::roomCheckInterval);
    CHECK(world.calls.size() == 2);
    CHECK(world.routing.suspects().isEmpty());
}

TEST_CASE("two strongly suspected requests are sent to different endpoints")
{
    flow_fixture world(lookupRoute(), {"e1", "e2", "e3"});
    const auto first = requestFor(lookupRoute());
    const auto second = std::make_shared<proxy_request>(*first);
    second->body = "another";
    crashEndpoints(world, first, 2);
    crashEndpoints(world, second, 2);
    startFlow(world, first);
    startFlow(world, second);
    startFlow(world, requestFor(lookupRoute()))->record();
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[0].attempt.endpoint != world.calls[1].attempt.endpoint);
}

TEST_CASE("a request whose stream runs for a second is cleared")
{
    flow_fixture world(draftRoute(), {"e1", "e2"});
    const auto request = requestFor(draftRoute());
    crashEndpoints(world, request, 2);
    startFlow(world, request);
    world.answer(0, 200, 90);
    unsigned event = 0;
    for (milliseconds at{0}; at < endpoint_runs::clearedAfter; at += milliseconds(250)) {
        world.data(0, eventText(++event));
        CHECK_FALSE(world.routing.suspects().isEmpty());
        world.runtime.advance(milliseconds(251));
    }
    world.data(0, eventText(++event));
    CHECK(world.routing.suspects().isEmpty());
}
