//===-- Contract/ServiceContract.h - routes, services, customers -*- C++ -*-===//
//
// The contract for requests that are passed on as they came: which route a request
// belongs to, which services may run it, and what its customer and its bounds are.
// It is immutable once it is in force; a request keeps the one it began with.
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

/// What an answer looks like on the wire.
enum class answer_form {
    whole, ///< one body
    events ///< a stream of events with rising ids
};

/// A service that a route sends to, and its part of the requests.
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
    bool resumable = false; ///< a stream may go on at another endpoint after an event id
    bool open = false; ///< needs no key
    std::chrono::milliseconds timeout{5000}; ///< longest time a request is held
    std::chrono::milliseconds objective{1000}; ///< first event or whole answer
    std::chrono::milliseconds eventGap{1000}; ///< longest pause between events
    unsigned maxEndpoints = 1; ///< endpoints that one request may be sent to
    int priority = 5; ///< 0 is the most urgent
    std::vector<std::string> models; ///< smallest first; empty: the caller names the model
    std::vector<weighted_service> services;
    std::vector<std::string> homeRegions; ///< only endpoints there may serve it; empty: any

    /// \returns true when a request may be sent again after it may have run.
    bool mayRepeat() const { return repeatable || (form == answer_form::events && resumable); }
};

/// A model of a service and its price.
struct model_price
{
    std::string name;
    double costPerThousandTokens = 0;
};

/// What all endpoints of one service have in common.
struct service_description
{
    std::string name;
    std::size_t maxConnections = 64; ///< of all callers together, to one endpoint
    double coldRequestsPerSecond
            = 0; ///< requests a second that a cold endpoint bears; 0: any number
    bool hasModels = false;
    std::vector<model_price> models;

    /// \returns the price of \p model over that of \p other; 1 when either has none.
    double priceRatio(std::string_view model, std::string_view other) const;
};

/// Bounds on what callers may send.
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
    std::optional<int> priority; ///< goes before the route's
    std::vector<std::string> homeRegions; ///< only endpoints there may serve it; empty: any
};

/// A whole contract.
struct service_contract
{
    std::uint64_t version = 0;
    std::vector<service_route> routes;
    std::vector<service_description> services;
    std::vector<contract_customer> customers;
    std::unordered_map<std::string, std::size_t> customerIndexByKey; ///< index into customers
    bool needsKeys = false; ///< customers are listed, so routes that are not open need a key
    caller_limits limits;

    /// \returns the route of \p host with the longest prefix of \p path; null if there is none.
    const service_route *findRoute(std::string_view host, std::string_view path) const;

    /// \returns the customer that holds \p key; null if the key is not known.
    const contract_customer *findCustomer(const std::string &key) const;

    /// \returns the service called \p name; null if it is not listed.
    const service_description *findService(std::string_view name) const;
};

using contract_ptr = std::shared_ptr<const service_contract>;

/// Checks a contract as a whole.
/// \returns one message for each fault, naming the field; empty when it may be put in force.
std::vector<std::string> checkContract(const service_contract &contract);

} // namespace laurelcroft

#endif
