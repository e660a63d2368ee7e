//===-- Roles.h - roles of the stand-in --------------------------*- C++ -*-===//
//
// Declares one class for each external service. Internal to Standin.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_STANDIN_ROLES_H
#define LAURELCROFT_LIB_STANDIN_ROLES_H

#include "laurelcroft/Standin/Standin.h"

#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>

namespace laurelcroft {

/// Base class of the simulated services.
class standin_role
{
public:
    explicit standin_role(standin_context &context)
        : m_context(context)
    {
    }
    virtual ~standin_role() = default;

    /// Handles a request. \returns false if the role does not serve its path.
    virtual bool handle(const exchange_ptr &exchange) = 0;

protected:
    standin_context &m_context;
};

/// Simulates the transactional table, with a rate limit.
class table_role : public standin_role
{
public:
    table_role(standin_context &context, double perSecond);
    bool handle(const exchange_ptr &exchange) override;

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    /// Takes one call from the rate limit. \returns false if the limit is exceeded.
    bool takeToken();
    nlohmann::json apply(const nlohmann::json &operation);
    void transact(const exchange_ptr &exchange);
    void scan(const exchange_ptr &exchange);

    double m_perSecond;
    double m_tokens;
    time_point m_refilledAt;
    std::map<std::string, row> m_rows;
};

/// Simulates the object store.
class object_store_role : public standin_role
{
public:
    using standin_role::standin_role;
    bool handle(const exchange_ptr &exchange) override;

private:
    std::map<std::string, std::string> m_objects;
};

/// Simulates the rating service. It replies after a delay and reads the quality of an answer from
/// the marker that the engine stand-in puts at its end.
class ratings_role : public standin_role
{
public:
    ratings_role(standin_context &context, milliseconds delay)
        : standin_role(context)
        , m_delay(delay)
    {
    }
    bool handle(const exchange_ptr &exchange) override;

private:
    milliseconds m_delay;
};

/// Simulates the instance list. Updates become visible after a lag.
class instance_list_role : public standin_role
{
public:
    instance_list_role(standin_context &context, milliseconds lag)
        : standin_role(context)
        , m_lag(lag)
    {
    }
    bool handle(const exchange_ptr &exchange) override;

private:
    milliseconds m_lag;
    nlohmann::json m_visibleInstances = nlohmann::json::array();
};

/// Simulates an endpoint that is not a model engine. It serves any path.
class service_role : public standin_role
{
public:
    service_role(standin_context &context, milliseconds processingTime)
        : standin_role(context)
        , m_processingTime(processingTime)
    {
    }
    bool handle(const exchange_ptr &exchange) override;

private:
    milliseconds m_processingTime;
};

/// Parameters of a simulated engine.
struct engine_options
{
    std::size_t slots = 8;
    double decodeMs = 20; ///< time per token of a single request
    double batchSlowdown = 0.03; ///< relative increase of the decode time per additional request
    double prefillMsPerToken = 0.2;
    double quality = 0.9; ///< mean confidence of its answers
    std::size_t cachedPrefixes = 64;
    milliseconds loadTime{50}; ///< time to load a version
    bool checksFence = true; ///< reject orders with a stale fence
};

/// Simulates a model engine with continuous batching.
class engine_role : public standin_role
{
public:
    engine_role(standin_context &context, engine_options options)
        : standin_role(context)
        , m_options(options)
    {
    }
    bool handle(const exchange_ptr &exchange) override;

private:
    struct job
    {
        std::uint64_t id = 0;
        exchange_ptr exchange;
        std::string requestId;
        std::string model;
        bool stream = false;
        int priority = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::uint64_t requestedTokens = 0;
        std::uint64_t generatedTokens = 0;
        double remainingPrefillMs = 0;
        double confidence = 0;
        bool good = true;
        std::string text;
    };

    void onChat(const exchange_ptr &exchange);
    void onOrder(const exchange_ptr &exchange);
    void onLoad(const exchange_ptr &exchange);
    void drawQuality(job &item);
    std::uint64_t lookUpPrefix(const std::string &body, std::uint64_t tokens);
    void admit();
    void scheduleStep();
    void step();
    void generateToken(job &item);
    void finish(job &item);
    void cancel(std::uint64_t id);

    engine_options m_options;
    std::deque<job> m_waiting;
    std::list<job> m_running;
    std::list<std::string> m_cachedPrefixes;
    std::set<std::string> m_loaded;
    std::uint64_t m_highestFence = 0;
    std::uint64_t m_lastJob = 0;
    bool m_stepScheduled = false;
};

} // namespace laurelcroft

#endif
