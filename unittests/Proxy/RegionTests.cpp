//===-- RegionTests.cpp - routes and customers that are bound to regions -----===//
//
// Endpoints outside get nothing, whatever becomes of those inside.
//
//===----------------------------------------------------------------------===//
#include "FlowWorld.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

/// Two endpoints in the north, one in the south and one in a data centre of no known region.
struct two_regions : flow_world
{
    explicit two_regions(const service_route &route)
    {
        routing_bounds bounds;
        bounds.dataCentre = "s1";
        bounds.regions = {{"n1", "north"}, {"n2", "north"}, {"s1", "south"}};
        routing = routing_state(bounds, {0, 50}, 1);
        useRoute(route);
        for (const auto &[id, dataCentre] : {std::pair("e1", "n1"), std::pair("e2", "n2"),
                                             std::pair("e3", "s1"), std::pair("e4", "nowhere")}) {
            addEndpoint(id);
            setDataCentre(id, dataCentre);
        }
    }
};

} // namespace

TEST_CASE("a route of one region is served there only, and refused at once when nobody is left")
{
    service_route route = lookupRoute();
    route.homeRegions = {"north"};
    route.mostEndpoints = 4;
    two_regions world(route);
    startFlow(world, requestFor(route));
    REQUIRE(world.calls.size() == 1);
    CHECK(world.calls[0].attempt.endpoint->record().id != "e3");
    world.refuseNotRun(0);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[1].attempt.endpoint->record().id != "e3");
    CHECK(world.calls[1].attempt.endpoint->record().id != "e4");
    world.refuseNotRun(1);
    CHECK(world.calls.size() == 2);
    CHECK(world.status == 503);

    two_regions none(route);
    for (const char *id : {"e1", "e2"})
        none.routing.directory().remove(id, none.runtime.now(), 100);
    startFlow(none, requestFor(route));
    CHECK(none.calls.empty());
    CHECK(none.status == 503);
    CHECK(none.record->reason == flow_reason::outsideRegions);
}

TEST_CASE("a customer's regions bind all its routes, and both bounds hold together")
{
    service_route route = lookupRoute();
    route.homeRegions = {"north", "south"};
    two_regions world(route);
    auto contract = std::make_shared<service_contract>(*world.routing.contract());
    contract->version += 1;
    contract->customers.front().homeRegions = {"south"};
    world.routing.setContract(contract);
    startFlow(world, requestFor(route));
    REQUIRE(world.calls.size() == 1);
    CHECK(world.calls[0].attempt.endpoint->record().id == "e3");
}

TEST_CASE("what is bound to no region is served anywhere")
{
    two_regions world(lookupRoute());
    for (const char *id : {"e1", "e2", "e3"})
        world.routing.directory().remove(id, world.runtime.now(), 100);
    startFlow(world, requestFor(lookupRoute()));
    REQUIRE(world.calls.size() == 1);
    CHECK(world.calls[0].attempt.endpoint->record().id == "e4");
}

TEST_CASE("one endpoint inside is found among a thousand outside")
{
    service_route route = lookupRoute();
    route.homeRegions = {"south"};
    two_regions world(route);
    for (int i = 0; i < 1000; ++i) {
        const std::string id = "far" + std::to_string(i);
        world.addEndpoint(id);
        world.setDataCentre(id, "n1");
    }
    startFlow(world, requestFor(route));
    REQUIRE(world.calls.size() == 1);
    CHECK(world.calls[0].attempt.endpoint->record().id == "e3");
}
