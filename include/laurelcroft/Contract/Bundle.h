//===-- Contract/Bundle.h - typed form of a bundle ---------------*- C++ -*-===//
//
// A bundle is the configuration that operators sign off: models and versions, pools,
// services, customers, cascades and roll-outs. docs/BUNDLE.md explains each field to
// operators.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_CONTRACT_BUNDLE_H
#define LAURELCROFT_CONTRACT_BUNDLE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Number of an accepted bundle; it rises by one with each acceptance.
using bundle_epoch = std::uint64_t;

/// State of one version of a model.
enum class version_state {
    settled, ///< serves sessions without restriction
    rollout, ///< serves a share of new sessions while its quality is monitored
    withdrawn, ///< receives no new work
};

/// One version of a model.
struct model_version
{
    std::string name;
    version_state state = version_state::settled;
    std::string weights; ///< key in the weight store

    bool operator==(const model_version &) const = default;
};

/// A model with its versions, served by one pool.
struct model
{
    std::string name;
    std::string pool;
    double inputCost = 0; ///< cost units per 1000 prompt tokens
    double outputCost = 0; ///< cost units per 1000 generated tokens
    std::vector<model_version> versions;

    bool operator==(const model &) const = default;
};

/// Kind of a pool's endpoints.
enum class pool_kind { engine, service };

/// A named set of equivalent endpoints. An instance names its pool in its settings.
struct pool
{
    std::string name;
    pool_kind kind = pool_kind::engine;
    bool fenced = true; ///< its endpoints refuse orders with an outdated fencing token

    bool operator==(const pool &) const = default;
};

/// A service that is not a model.
struct service
{
    std::string name;
    std::string pool;
    bool repeatable = true; ///< false: a call runs at most once
    double cost = 0; ///< cost units per call

    bool operator==(const service &) const = default;
};

/// A customer with its permissions and limits.
struct customer
{
    std::string name;
    std::string keySha256; ///< hexadecimal digest of its key
    std::string group; ///< customer group for which quality is estimated
    std::vector<std::string> allowed; ///< `model`, `model@version`, cascade or service names
    double requestsPerSecond = 0;
    std::uint32_t burst = 0; ///< requests
    std::uint32_t maxConcurrent = 0; ///< requests in flight at all entries together
    std::uint32_t priority = 0; ///< 0 is served first

    bool operator==(const customer &) const = default;
};

/// A name for several models, called tiers, that are tried from the cheapest to the costliest.
struct cascade
{
    std::string name;
    std::vector<std::string> tiers; ///< model names, cheapest first
    double qualityTarget = 0; ///< share of answers that must be good, in [0, 1]
    double startScore = 0; ///< score threshold until one has been learned from ratings
    std::uint32_t latencyMs = 0; ///< target latency of the whole cascade
    bool repeatable = true; ///< false: runs at most once, on the last tier only

    bool operator==(const cascade &) const = default;
};

/// Conditions under which a roll-out is stopped or paused.
struct rollout_guard
{
    double worseBy = 0; ///< drop in the share of good answers that is too large, in (0, 1)
    double falseStop = 0; ///< accepted probability of stopping a good version, in (0, 1)
    std::uint32_t confirmSeconds = 0; ///< pauses if the epoch is not confirmed for longer

    bool operator==(const rollout_guard &) const = default;
};

/// A roll-out from one version of a model to the next.
struct rollout
{
    std::string model;
    std::string from;
    std::string to;
    std::uint32_t sharePercent = 0; ///< share of new sessions on `to`
    rollout_guard guard;

    bool operator==(const rollout &) const = default;
};

/// The whole configuration of a site, as signed off by its operators.
struct bundle
{
    std::string site;
    std::vector<pool> pools;
    std::vector<model> models;
    std::vector<service> services;
    std::vector<cascade> cascades;
    std::vector<rollout> rollouts;
    std::vector<customer> customers;

    const model *findModel(std::string_view name) const;
    const service *findService(std::string_view name) const;
    const cascade *findCascade(std::string_view name) const;
    const customer *findCustomer(std::string_view name) const;
    const pool *findPool(std::string_view name) const;
    const rollout *findRollout(std::string_view model) const;

    bool operator==(const bundle &) const = default;
};

const model_version *findVersion(const model &item, std::string_view version);

/// \returns true if \p who may use \p version of \p name. Withdrawn versions may not be used.
bool mayUse(const bundle &rules, const customer &who, std::string_view name,
            std::string_view version);

/// \returns true if \p who may use any version of model, cascade or service \p name.
bool mayUseAnyVersion(const bundle &rules, const customer &who, std::string_view name);

std::string_view textOf(version_state state);

} // namespace laurelcroft

#endif
