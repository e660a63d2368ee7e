//===-- ServiceContractTests.cpp - routes, services, customers --------------===//
//
// Tests the lookups in a contract and its validation.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Contract/ServiceContract.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

static service_route routeAt(const std::string &name, const std::string &prefix)
{
    service_route route;
    route.name = name;
    route.host = "h";
    route.pathPrefix = prefix;
    route.services = {{"s", 1}};
    return route;
}

TEST_CASE("the route with the longest path prefix of the host is chosen")
{
    service_contract contract;
    contract.version = 1;
    contract.routes = {routeAt("short", "/a/"), routeAt("long", "/a/b/"), routeAt("other", "/c/")};
    CHECK(contract.findRoute("h", "/a/x")->name == "short");
    CHECK(contract.findRoute("h", "/a/b/x")->name == "long");
    CHECK(contract.findRoute("h", "/a/bx")->name == "short");
    CHECK(!contract.findRoute("h", "/d"));
    CHECK(!contract.findRoute("g", "/a/x"));
    CHECK(checkContract(contract).empty());
}

TEST_CASE("a stream may be repeated only if it is resumable")
{
    service_route route = routeAt("r", "/a/");
    route.form = answer_form::events;
    CHECK(!route.mayRepeat());
    route.resumable = true;
    CHECK(route.mayRepeat());
}

TEST_CASE("the price ratio of two models is 1 if either has no price")
{
    service_description service;
    service.models = {{"small", 0.01}, {"large", 0.2}, {"free", 0}};
    CHECK(service.priceRatio("large", "small") == doctest::Approx(20));
    CHECK(service.priceRatio("large", "free") == 1);
    CHECK(service.priceRatio("unknown", "small") == 1);
}

TEST_CASE("validation reports every error of a contract")
{
    service_contract contract;
    service_route route = routeAt("r", "a");
    route.services.clear();
    route.timeout = std::chrono::milliseconds(0);
    route.maxEndpoints = 0;
    contract.routes = {route, route};
    const auto faults = checkContract(contract);
    CHECK(faults.size() == 10);
}
