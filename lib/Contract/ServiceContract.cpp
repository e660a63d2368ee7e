//===-- ServiceContract.cpp - routes, services, customers -------------------===//
//
// Lookups in a contract, and its validation.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Contract/ServiceContract.h"

#include <algorithm>
#include <set>

using namespace laurelcroft;

double service_description::priceRatio(std::string_view model, std::string_view other) const
{
    double price = 0;
    double otherPrice = 0;
    for (const model_price &item : models) {
        if (item.name == model)
            price = item.costPerThousandTokens;
        if (item.name == other)
            otherPrice = item.costPerThousandTokens;
    }
    return price > 0 && otherPrice > 0 ? price / otherPrice : 1;
}

const service_route *service_contract::findRoute(std::string_view host, std::string_view path) const
{
    const service_route *best = nullptr;
    for (const service_route &route : routes) {
        if (route.host != host || !path.starts_with(route.pathPrefix))
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const contract_customer *service_contract::findCustomer(const std::string &key) const
{
    const auto it = customerIndexByKey.find(key);
    return it == customerIndexByKey.end() ? nullptr : &customers[it->second];
}

const service_description *service_contract::findService(std::string_view name) const
{
    const auto it
            = std::find_if(services.begin(), services.end(),
                           [&](const service_description &item) { return item.name == name; });
    return it == services.end() ? nullptr : &*it;
}

static void checkRoute(const service_route &route, std::vector<std::string> &faults)
{
    const std::string where = "route " + route.name + ": ";
    if (route.host.empty())
        faults.push_back(where + "host is empty");
    if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
        faults.push_back(where + "path prefix must begin and end with a slash");
    if (route.services.empty())
        faults.push_back(where + "no service is named");
    if (route.timeout.count() <= 0)
        faults.push_back(where + "timeout must be above 0 ms");
    if (route.maxEndpoints == 0)
        faults.push_back(where + "at least one endpoint must be allowed");
    for (const weighted_service &service : route.services) {
        if (service.weight < 0)
            faults.push_back(where + "weight of service " + service.name + " is below 0");
    }
}

std::vector<std::string> laurelcroft::checkContract(const service_contract &contract)
{
    std::vector<std::string> faults;
    if (contract.version == 0)
        faults.emplace_back("version is missing");
    std::set<std::pair<std::string, std::string>> hostPrefixes;
    for (const service_route &route : contract.routes) {
        checkRoute(route, faults);
        if (!hostPrefixes.emplace(route.host, route.pathPrefix).second)
            faults.push_back("route " + route.name + ": host and path prefix are given twice");
    }
    if (contract.limits.maxHeaderBytes == 0 || contract.limits.maxBodyBytes == 0)
        faults.emplace_back("limits: sizes must be above 0 bytes");
    if (contract.limits.idleTimeout.count() <= 0 || contract.limits.headerTimeout.count() <= 0)
        faults.emplace_back("limits: timeouts must be above 0 ms");
    return faults;
}
