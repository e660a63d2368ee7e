//===-- Contract/Bundle.h - what operators sign off --------------*- C++ -*-===//
//
// The typed form of one bundle: models and versions, pools, services, customers,
// cascades and roll-outs. docs/BUNDLE.md explains each field to operators.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_CONTRACT_BUNDLE_H
#define LAURELCROFT_CONTRACT_BUNDLE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Number of an accepted bundle; each acceptance takes the next one, never a lower.
using bundle_epoch = std::uint64_t;

/// Life of one version of a model.
enum class version_state {
    settled, ///< serves sessions without restriction
    rollout, ///< serves a share of new sessions, under a guard
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
    double inputCost = 0; ///< cost units for 1000 prompt tokens
    double outputCost = 0; ///< cost units for 1000 generated tokens
    std::vector<model_version> versions;

    bool operator==(const model &) const = default;
};

/// What a pool's endpoints are.
enum class pool_kind { engine, service };

/// A named set of like endpoints. Which instances stand in it comes from their settings.
struct pool
{
    std::string name;
    pool_kind kind = pool_kind::engine;
    bool fenced = true; ///< its endpoints check the fence of an order themselves

    bool operator==(const pool &) const = default;
};

/// A plain service beside the models.
struct service
{
    std::string name;
    std::string pool;
    bool repeatable = true; ///< false: a call runs at most once
    double cost = 0; ///< cost units a call

    bool operator==(const service &) const = default;
};

/// A customer and what it may use.
struct customer
{
    std::string name;
    std::string keySha256; ///< hexadecimal digest of its key
    std::string group; ///< customer class that quality is learned for
    std::vector<std::string> allowed; ///< `model`, `model@version`, cascade or service names
    double requestsPerSecond = 0;
    std::uint32_t burst = 0; ///< requests
    std::uint32_t maxConcurrent = 0; ///< requests in flight over all entries
    std::uint32_t priority = 0; ///< 0 is served first

    bool operator==(const customer &) const = default;
};

/// Tiers of models from cheap to costly behind one name.
struct cascade
{
    std::string name;
    std::vector<std::string> tiers; ///< model names, cheapest first
    double qualityTarget = 0; ///< share of answers that must be good, in [0, 1]
    double startScore = 0; ///< score that suffices while nothing is learned yet
    std::uint32_t latencyMs = 0; ///< latency wanted for the whole cascade
    bool repeatable = true; ///< false: runs at most once, on the last tier only

    bool operator==(const cascade &) const = default;
};

/// Bounds within which a version under roll-out may be used.
struct rollout_guard
{
    double worseBy = 0; ///< drop of the good share that counts as bad, in (0, 1)
    double falseStop = 0; ///< probability of stopping a good version, in (0, 1)
    std::uint32_t confirmSeconds = 0; ///< without a confirmed epoch for longer, the roll-out pauses

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

/// Everything that operators decide.
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

/// \returns true when \p who may use \p version of \p name; a withdrawn version never.
bool mayUse(const bundle &rules, const customer &who, std::string_view name,
            std::string_view version);

/// \returns true when \p who may use any version of model, cascade or service \p name.
bool mayUseAnyVersion(const bundle &rules, const customer &who, std::string_view name);

std::string_view textOf(version_state state);

} // namespace laurelcroft

#endif
