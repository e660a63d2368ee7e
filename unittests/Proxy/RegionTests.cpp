//===-- RegionTests.cpp - region restrictions of routes and customers -------===//
//
// Guards against sending a request to an endpoint outside the permitted regions, in particular when
// no endpoint inside is available.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

/// Two endpoints in region north, one in south and one in a data centre without a known region.
struct two_region_fixture : flow_fixture
{
    explicit two_region_fixture(const service_route &route)
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

TEST_CASE("a route of one region is served only there, and refused when no endpoint is left")
{
    service_route route = lookupRoute();
    route.homeRegions = {"north"};
    route.maxEndpoints = 4;
    two_region_fixture fixture(route);
    startFlow(fixture, requestFor(route));
    REQUIRE(fixture.calls.size() == 1);
    CHECK(fixture.calls[0].attempt.endpoint->record().id != "e3");
    fixture.refuseNotRun(0);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[1].attempt.endpoint->record().id != "e3");
    CHECK(fixture.calls[1].attempt.endpoint->record().id != "e4");
    fixture.refuseNotRun(1);
    CHECK(fixture.calls.size() == 2);
    CHECK(fixture.status == 503);

    two_region_fixture none(route);
    for (const char *id : {"e1", "e2"})
        none.routing.directory().remove(id, none.runtime.now(), 100);
    startFlow(none, requestFor(route));
    CHECK(none.calls.empty());
    CHECK(none.status == 503);
    CHECK(none.record->reason == flow_reason::outsideRegions);
}

TEST_CASE("the regions of the customer and of the route both apply")
{
    service_route route = lookupRoute();
    route.homeRegions = {"north", "south"};
    two_region_fixture fixture(route);
    auto contract = std::make_shared<service_contract>(*fixture.routing.contract());
    contract->version += 1;
    contract->customers.front().homeRegions = {"south"};
    fixture.routing.setContract(contract);
    startFlow(fixture, requestFor(route));
    REQUIRE(fixture.calls.size() == 1);
    CHECK(fixture.calls[0].attempt.endpoint->record().id == "e3");
}

TEST_CASE("a request without region restrictions is served anywhere")
{
    two_region_fixture fixture(lookupRoute());
    for (const char *id : {"e1", "e2", "e3"})
        fixture.routing.directory().remove(id, fixture.runtime.now(), 100);
    startFlow(fixture, requestFor(lookupRoute()));
    REQUIRE(fixture.calls.size() == 1);
    CHECK(fixture.calls[0].attempt.endpoint->record().id == "e4");
}

TEST_CASE("the only endpoint in the permitted region is found among a thousand others")
{
    service_route route = lookupRoute();
    route.homeRegions = {"south"};
    two_region_fixture fixture(route);
    for (int i = 0; i < 1000; ++i) {
        const std::string id = "far" + std::to_string(i);
        fixture.addEndpoint(id);
        fixture.setDataCentre(id, "n1");
    }
    startFlow(fixture, requestFor(route));
    REQUIRE(fixture.calls.size() == 1);
    CHECK(fixture.calls[0].attempt.endpoint->record().id == "e3");
}
