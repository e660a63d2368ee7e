//===-- Platform/HttpClients.h - clients of the platform ---------*- C++ -*-===//
//
// HTTP clients of the table, the object store, the rating service and the instance
// list. Each call has a timeout, is subject to the rate limit and circuit breaker
// of its service, and reports failures in the error type of that service.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PLATFORM_HTTPCLIENTS_H
#define LAURELCROFT_PLATFORM_HTTPCLIENTS_H

#include "laurelcroft/Http/Client.h"
#include "laurelcroft/Platform/ServiceLimiter.h"
#include "laurelcroft/Platform/Table.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>

namespace laurelcroft {

/// Address, timeout and client-side rate limit of one external service.
struct platform_options
{
    std::string url; ///< "http://10.0.0.1:8000"
    milliseconds timeout{1000}; ///< for a whole call, including the connect
    double callsPerSecond = 50; ///< limit for this process
    double burst = 50;
};

/// HTTP client of the table service.
class http_table
{
public:
    http_table(asio_runtime &runtime, http_client &client, platform_options options);

    void read(const std::string &key, table_callback<std::optional<table_row>> done);
    void insert(const std::string &key, const std::string &value,
                table_callback<write_result> done);
    void compareAndSet(const std::string &key, std::uint64_t version, const std::string &value,
                       table_callback<write_result> done);
    void insertAll(const std::vector<new_row> &rows,
                   table_callback<std::vector<write_result>> done);

    /// Reads all rows whose key begins with \p prefix. Used by operator commands only.
    void scan(const std::string &prefix, table_callback<std::vector<new_row>> done);

    /// \returns true while the circuit breaker refuses calls.
    bool isBreakerOpen() const { return m_limiter.isBreakerOpen(); }

private:
    void transact(const nlohmann::json &operations,
                  std::function<void(outcome<nlohmann::json, table_error>)> done);
    void call(http_call call, std::function<void(outcome<nlohmann::json, table_error>)> done);

    asio_runtime &m_runtime;
    http_client &m_client;
    platform_options m_options;
    service_limiter m_limiter;
};

static_assert(table_like<http_table>);

/// Why a call to the object store failed.
enum class object_error { unavailable, missing };

/// HTTP client of the object store, which holds immutable objects keyed by their hash.
class http_object_store
{
public:
    http_object_store(asio_runtime &runtime, http_client &client, platform_options options);

    void get(const std::string &key, std::function<void(outcome<std::string, object_error>)> done);
    void put(const std::string &key, const std::string &body,
             std::function<void(outcome<void, object_error>)> done);

private:
    asio_runtime &m_runtime;
    http_client &m_client;
    platform_options m_options;
    service_limiter m_limiter;
};

/// An answer to be rated, with the request that it answers.
struct rating_sample
{
    std::string requestId;
    std::string model;
    std::string version;
    std::string group;
    std::string prompt;
    std::string answer;
};

/// HTTP client of the rating service, which is slow and rate-limited. Samples above the rate limit
/// are dropped.
class http_rating_service
{
public:
    http_rating_service(asio_runtime &runtime, http_client &client, platform_options options);

    /// \param done receives the rating in [0, 1], or nothing if the call failed.
    void rate(const rating_sample &sample, std::function<void(std::optional<double>)> done);

private:
    asio_runtime &m_runtime;
    http_client &m_client;
    platform_options m_options;
    service_limiter m_limiter;
};

/// One item of the platform's instance list, which may be out of date.
struct listed_instance
{
    std::string id;
    std::string gossipAddress;
    bool leaving = false;
};

/// HTTP client of the list of live and leaving instances. Used only to find the first peers.
class http_instance_list
{
public:
    http_instance_list(asio_runtime &runtime, http_client &client, platform_options options);

    void list(std::function<void(std::optional<std::vector<listed_instance>>)> done);

private:
    asio_runtime &m_runtime;
    http_client &m_client;
    platform_options m_options;
    service_limiter m_limiter;
};

} // namespace laurelcroft

#endif
