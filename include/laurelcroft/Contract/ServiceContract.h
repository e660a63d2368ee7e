//===-- Contract/ServiceContract.h - routes, services, customers -*- C++ -*-===//
//
// The contract for requests that are forwarded unchanged. It defines the routes, the
// services that each route sends to, the customers, and the limits on callers. A contract
// in force is immutable; a request keeps the contract with which it began.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_CONTRACT_SERVICECONTRACT_H
#define LAURELCROFT_CONTRACT_SERVICECONTRACT_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laurelcroft {

/// Form of an answer on the wire.
enum class answer_form {
    whole, ///< a single body
    events ///< a stream of events with ascending ids
};

/// A service of a route, and its share of the route's requests.
struct weighted_service
{
    std::string name;
    double weight = 1; ///< relative to the other services of the route
};

/// How requests under one host and path prefix are served.
struct service_route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    answer_form form = answer_form::whole;
    bool repeatable = false; ///< may run more than once
    bool resumable = false; ///< another endpoint can continue a stream after an event id
    bool open = false; ///< callers need no key
    std::chrono::milliseconds timeout{5000}; ///< time limit of a request
    std::chrono::milliseconds objective{1000}; ///< target time to first event or whole answer
    std::chrono::milliseconds eventGap{1000}; ///< longest acceptable pause between events
    unsigned maxEndpoints = 1; ///< number of endpoints that one request may be sent to
    int priority = 5; ///< 0 is the most urgent
    std::vector<std::string> models; ///< smallest first; empty: the caller names the model
    std::vector<weighted_service> services;
    std::vector<std::string> homeRegions; ///< regions whose endpoints may serve it; empty: any

    /// \returns true if a request may be sent again although it may already have run.
    bool mayRepeat() const { return repeatable || (form == answer_form::events && resumable); }
};

/// A model of a service and its price.
struct model_price
{
    std::string name;
    double costPerThousandTokens = 0;
};

/// Properties shared by all endpoints of a service.
struct service_description
{
    std::string name;
    std::size_t maxConnections = 64; ///< to one endpoint, from all entries together
    double coldRequestsPerSecond = 0; ///< limit for an endpoint that is cold; 0: unlimited
    bool hasModels = false;
    std::vector<model_price> models;

    /// \returns the price of \p model divided by that of \p other; 1 if either has no price.
    double priceRatio(std::string_view model, std::string_view other) const;
};

/// Limits on the connections and requests of callers.
struct caller_limits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4U << 20;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// A customer of the contract.
struct contract_customer
{
    std::string name;
    std::optional<int> priority; ///< overrides the priority of the route
    std::vector<std::string> homeRegions; ///< regions whose endpoints may serve it; empty: any
};

/// \param customer null if the caller is unknown.
/// \returns the priority of a request, 0 is the most urgent: the customer's own, else the route's.
inline int priorityOf(const service_route &route, const contract_customer *customer)
{
    return customer ? customer->priority.value_or(route.priority) : route.priority;
}

/// The routes, services, customers and limits of one contract version.
struct service_contract
{
    std::uint64_t version = 0;
    std::vector<service_route> routes;
    std::vector<service_description> services;
    std::vector<contract_customer> customers;
    std::unordered_map<std::string, std::size_t> customerIndexByKey; ///< index into customers
    bool needsKeys = false; ///< customers are listed, so routes that are not open need a key
    caller_limits limits;

    /// \returns the route of \p host with the longest prefix of \p path; null if none matches.
    const service_route *findRoute(std::string_view host, std::string_view path) const;

    /// \returns the customer to which \p key belongs; null if the key is unknown.
    const contract_customer *findCustomer(const std::string &key) const;

    /// \returns the service called \p name; null if it is not listed.
    const service_description *findService(std::string_view name) const;
};

using contract_ptr = std::shared_ptr<const service_contract>;

/// Validates a contract.
/// \returns one message for each error, naming the field; empty if the contract is valid.
std::vector<std::string> checkContract(const service_contract &contract);

} // namespace laurelcroft

#endif
