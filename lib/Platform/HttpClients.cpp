//===-- HttpClients.cpp - clients of the platform ---------------------------===//
//
// Sends JSON over HTTP and maps errors of the HTTP layer to the errors of each service.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Platform/HttpClients.h"

#include <nlohmann/json.hpp>

using namespace laurelcroft;
using nlohmann::json;

namespace {
constexpr int serverErrors = 500;
constexpr milliseconds defaultRetry{1000};
} // namespace

std::string_view laurelcroft::textOf(table_failure failure)
{
    switch (failure) {
    case table_failure::notSent:
        return "the table cannot be reached";
    case table_failure::rateLimited:
        return "the table's rate is used up";
    case table_failure::unknown:
        return "the table did not answer";
    }
    return "unknown";
}

static milliseconds retryAfterOf(const http_reply &reply)
{
    const std::string text(findHeader(reply.headers, "Retry-After"));
    if (text.empty())
        return defaultRetry;
    return milliseconds(static_cast<std::int64_t>(std::strtod(text.c_str(), nullptr) * 1000));
}

/// \returns the parsed body; a discarded value, which is not an object, if it is not valid JSON.
static json parseBody(const std::string &body)
{
    return json::parse(body, nullptr, false);
}

/// Sends a call if \p limiter allows it. Otherwise \p done is called with notSent, not from within
/// this function but from the runtime.
static void sendLimited(asio_runtime &runtime, http_client &client, service_limiter &limiter,
                        http_call call, std::function<void(outcome<http_reply, http_error>)> done)
{
    if (!limiter.pass(runtime.now())) {
        runtime.after(duration(0),
                      [done = std::move(done)] { done(failure(http_error::notSent)); });
        return;
    }
    client.fetch(
            std::move(call),
            [&runtime, &limiter, done = std::move(done)](outcome<http_reply, http_error> result) {
                const bool failed = !result || result.value().status >= serverErrors;
                if (failed)
                    limiter.failed(runtime.now());
                else
                    limiter.succeeded();
                done(std::move(result));
            });
}

http_table::http_table(asio_runtime &runtime, http_client &client, platform_options options)
    : m_runtime(runtime)
    , m_client(client)
    , m_options(std::move(options))
    , m_limiter(m_options.callsPerSecond, m_options.burst)
{
}

static outcome<json, table_error> readTableReply(const outcome<http_reply, http_error> &result,
                                                 milliseconds retryAfter)
{
    if (!result) {
        const bool notSent = result.error() == http_error::notSent;
        return failure(
                table_error{notSent ? table_failure::notSent : table_failure::unknown, retryAfter});
    }
    const http_reply &reply = result.value();
    if (reply.status == http_status::tooManyRequests)
        return failure(table_error{table_failure::rateLimited, retryAfterOf(reply)});
    json body = parseBody(reply.body);
    if (reply.status != http_status::ok || !body.is_object())
        return failure(table_error{table_failure::unknown, retryAfter});
    return body;
}

void http_table::call(http_call call, std::function<void(outcome<json, table_error>)> done)
{
    call.timeout = m_options.timeout;
    call.connectTimeout = m_options.timeout;
    sendLimited(m_runtime, m_client, m_limiter, std::move(call),
                [this, done = std::move(done)](outcome<http_reply, http_error> result) {
                    done(readTableReply(result, m_limiter.retryAfter(m_runtime.now())));
                });
}

void http_table::transact(const json &operations,
                          std::function<void(outcome<json, table_error>)> done)
{
    http_call request;
    request.method = "POST";
    request.url = m_options.url + "/v1/table/transact";
    request.body = json{{"operations", operations}}.dump();
    call(std::move(request), std::move(done));
}

static write_result readWrite(const json &item)
{
    write_result result;
    result.done = item.value("status", "") == "done";
    result.row.value = item.value("value", "");
    result.row.version = item.value("version", std::uint64_t{0});
    return result;
}

/// Extracts the results of a transaction of \p count operations.
static outcome<std::vector<json>, table_error> readResults(const outcome<json, table_error> &reply,
                                                           std::size_t count)
{
    if (!reply)
        return failure(reply.error());
    const json &body = reply.value();
    const auto results = body.find("results");
    if (results == body.end() || !results->is_array() || results->size() != count)
        return failure(table_error{table_failure::unknown, defaultRetry});
    return std::vector<json>(results->begin(), results->end());
}

static void deliverWrite(const outcome<json, table_error> &reply,
                         const table_callback<write_result> &done)
{
    const auto results = readResults(reply, 1);
    if (!results)
        done(failure(results.error()));
    else
        done(readWrite(results.value().front()));
}

void http_table::read(const std::string &key, table_callback<std::optional<table_row>> done)
{
    transact(json::array({{{"op", "read"}, {"key", key}}}),
             [done = std::move(done)](const outcome<json, table_error> &reply) {
                 const auto results = readResults(reply, 1);
                 if (!results) {
                     done(failure(results.error()));
                     return;
                 }
                 const json &item = results.value().front();
                 if (item.value("status", "") == "missing")
                     done(std::optional<table_row>());
                 else
                     done(std::optional<table_row>(readWrite(item).row));
             });
}

void http_table::insert(const std::string &key, const std::string &value,
                        table_callback<write_result> done)
{
    transact(json::array({{{"op", "insert"}, {"key", key}, {"value", value}}}),
             [done = std::move(done)](const outcome<json, table_error> &reply) {
                 deliverWrite(reply, done);
             });
}

void http_table::compareAndSet(const std::string &key, std::uint64_t version,
                               const std::string &value, table_callback<write_result> done)
{
    transact(json::array({{{"op", "compare_and_set"},
                           {"key", key},
                           {"version", version},
                           {"value", value}}}),
             [done = std::move(done)](const outcome<json, table_error> &reply) {
                 deliverWrite(reply, done);
             });
}

void http_table::insertAll(const std::vector<new_row> &rows,
                           table_callback<std::vector<write_result>> done)
{
    json operations = json::array();
    for (const new_row &row : rows)
        operations.push_back({{"op", "insert"}, {"key", row.key}, {"value", row.value}});
    transact(
            operations,
            [done = std::move(done), count = rows.size()](const outcome<json, table_error> &reply) {
                const auto results = readResults(reply, count);
                if (!results) {
                    done(failure(results.error()));
                    return;
                }
                std::vector<write_result> writes;
                for (const json &item : results.value())
                    writes.push_back(readWrite(item));
                done(std::move(writes));
            });
}

void http_table::scan(const std::string &prefix, table_callback<std::vector<new_row>> done)
{
    http_call request;
    request.url = m_options.url + "/v1/table/scan?prefix=" + prefix;
    call(std::move(request), [done = std::move(done)](const outcome<json, table_error> &reply) {
        if (!reply) {
            done(failure(reply.error()));
            return;
        }
        std::vector<new_row> rows;
        for (const json &item : reply.value().value("rows", json::array()))
            rows.push_back({item.value("key", ""), item.value("value", "")});
        done(std::move(rows));
    });
}

http_object_store::http_object_store(asio_runtime &runtime, http_client &client,
                                     platform_options options)
    : m_runtime(runtime)
    , m_client(client)
    , m_options(std::move(options))
    , m_limiter(m_options.callsPerSecond, m_options.burst)
{
}

void http_object_store::get(const std::string &key,
                            std::function<void(outcome<std::string, object_error>)> done)
{
    http_call request;
    request.url = m_options.url + "/v1/objects/" + key;
    request.timeout = m_options.timeout;
    sendLimited(m_runtime, m_client, m_limiter, std::move(request),
                [done = std::move(done)](outcome<http_reply, http_error> result) {
                    if (!result) {
                        done(failure(object_error::unavailable));
                        return;
                    }
                    http_reply &reply = result.value();
                    if (reply.status == http_status::ok)
                        done(std::move(reply.body));
                    else if (reply.status == http_status::notFound)
                        done(failure(object_error::missing));
                    else
                        done(failure(object_error::unavailable));
                });
}

void http_object_store::put(const std::string &key, const std::string &body,
                            std::function<void(outcome<void, object_error>)> done)
{
    http_call request;
    request.method = "PUT";
    request.url = m_options.url + "/v1/objects/" + key;
    request.body = body;
    request.timeout = m_options.timeout;
    sendLimited(m_runtime, m_client, m_limiter, std::move(request),
                [done = std::move(done)](const outcome<http_reply, http_error> &result) {
                    if (result && result.value().status == http_status::ok)
                        done(success());
                    else
                        done(failure(object_error::unavailable));
                });
}

http_rating_service::http_rating_service(asio_runtime &runtime, http_client &client,
                                         platform_options options)
    : m_runtime(runtime)
    , m_client(client)
    , m_options(std::move(options))
    , m_limiter(m_options.callsPerSecond, m_options.burst)
{
}

void http_rating_service::rate(const rating_sample &sample,
                               std::function<void(std::optional<double>)> done)
{
    http_call request;
    request.method = "POST";
    request.url = m_options.url + "/v1/ratings";
    request.timeout = m_options.timeout;
    request.body = json{{"request_id", sample.requestId}, {"model", sample.model},
                        {"version", sample.version},      {"group", sample.group},
                        {"prompt", sample.prompt},        {"answer", sample.answer}}
                           .dump(-1, ' ', false, json::error_handler_t::replace);
    sendLimited(m_runtime, m_client, m_limiter, std::move(request),
                [done = std::move(done)](const outcome<http_reply, http_error> &result) {
                    if (!result || result.value().status != http_status::ok) {
                        done(std::nullopt);
                        return;
                    }
                    const json body = parseBody(result.value().body);
                    if (body.is_object() && body.contains("rating") && body["rating"].is_number())
                        done(body["rating"].get<double>());
                    else
                        done(std::nullopt);
                });
}

http_instance_list::http_instance_list(asio_runtime &runtime, http_client &client,
                                       platform_options options)
    : m_runtime(runtime)
    , m_client(client)
    , m_options(std::move(options))
    , m_limiter(m_options.callsPerSecond, m_options.burst)
{
}

void http_instance_list::list(std::function<void(std::optional<std::vector<listed_instance>>)> done)
{
    http_call request;
    request.url = m_options.url + "/v1/instances";
    request.timeout = m_options.timeout;
    sendLimited(m_runtime, m_client, m_limiter, std::move(request),
                [done = std::move(done)](const outcome<http_reply, http_error> &result) {
                    const json body = result ? parseBody(result.value().body) : json();
                    if (!body.is_object() || !body.contains("instances")) {
                        done(std::nullopt);
                        return;
                    }
                    std::vector<listed_instance> items;
                    for (const json &item : body["instances"])
                        items.push_back({item.value("id", ""), item.value("gossip", ""),
                                         item.value("state", "") == "leaving"});
                    done(std::move(items));
                });
}
