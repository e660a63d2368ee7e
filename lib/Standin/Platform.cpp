//===-- Platform.cpp - simulated table, objects, ratings, list, service -----===//
//
// These roles keep their data in memory. All but the list log their actions in the journal.
//
//===----------------------------------------------------------------------===//
#include "Roles.h"

#include <algorithm>

using namespace laurelcroft;
using nlohmann::json;

table_role::table_role(standin_context &context, double perSecond)
    : standin_role(context)
    , m_perSecond(perSecond)
    , m_tokens(perSecond)
    , m_refilledAt(context.runtime.now())
{
}

bool table_role::takeToken()
{
    const time_point now = m_context.runtime.now();
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_perSecond, m_tokens + elapsed * m_perSecond);
    m_refilledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool table_role::handle(const exchange_ptr &exchange)
{
    const std::string &path = exchange->request().path;
    const bool isScan = path == "/v1/table/scan";
    if (!isScan && path != "/v1/table/transact")
        return false;
    if (m_context.fault.down)
        m_context.reply(exchange, http_status::unavailable, {{"error", "down"}});
    else if (!takeToken())
        exchange->reply(http_status::tooManyRequests, {{"Retry-After", "0.2"}}, "{}");
    else if (isScan)
        scan(exchange);
    else
        transact(exchange);
    return true;
}

static json rowJson(const char *status, const std::string &value, std::uint64_t version)
{
    return {{"status", status}, {"value", value}, {"version", version}};
}

json table_role::apply(const json &operation)
{
    const std::string kind = operation.value("op", "");
    const std::string key = operation.value("key", "");
    const auto found = m_rows.find(key);
    if (kind == "read") {
        if (found == m_rows.end())
            return {{"status", "missing"}};
        return rowJson("read", found->second.value, found->second.version);
    }
    const std::string value = operation.value("value", "");
    if (kind == "insert") {
        if (found != m_rows.end())
            return rowJson("exists", found->second.value, found->second.version);
        m_rows[key] = {value, 1};
        m_context.log.add({{"kind", "inserted"}, {"key", key}, {"value", value}});
        return rowJson("done", value, 1);
    }
    const std::uint64_t expectedVersion = operation.value("version", std::uint64_t{0});
    const std::uint64_t currentVersion = found == m_rows.end() ? 0 : found->second.version;
    if (expectedVersion != currentVersion)
        return rowJson("conflict", found == m_rows.end() ? "" : found->second.value,
                       currentVersion);
    m_rows[key] = {value, currentVersion + 1};
    m_context.log.add({{"kind", "set"}, {"key", key}, {"value", value}});
    return rowJson("done", value, currentVersion + 1);
}

void table_role::transact(const exchange_ptr &exchange)
{
    const json body = json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object() || !body.contains("operations")) {
        m_context.reply(exchange, http_status::badRequest, {{"error", "bad transaction"}});
        return;
    }
    json results = json::array();
    for (const json &operation : body["operations"])
        results.push_back(apply(operation));
    m_context.reply(exchange, http_status::ok, {{"results", results}});
}

void table_role::scan(const exchange_ptr &exchange)
{
    const std::string prefix = queryValue(exchange->request().query, "prefix");
    json rows = json::array();
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end(); ++it) {
        if (it->first.rfind(prefix, 0) != 0)
            break;
        rows.push_back({{"key", it->first}, {"value", it->second.value}});
    }
    m_context.reply(exchange, http_status::ok, {{"rows", rows}});
}

bool object_store_role::handle(const exchange_ptr &exchange)
{
    static constexpr std::string_view prefix = "/v1/objects/";
    const http_request &request = exchange->request();
    if (request.path.rfind(prefix, 0) != 0)
        return false;
    const std::string key = request.path.substr(prefix.size());
    if (m_context.fault.down) {
        m_context.reply(exchange, http_status::unavailable, {{"error", "down"}});
        return true;
    }
    if (request.method == "PUT") {
        m_objects[key] = request.body;
        m_context.log.add({{"kind", "stored"}, {"key", key}, {"bytes", request.body.size()}});
        m_context.reply(exchange, http_status::ok, {{"stored", true}});
        return true;
    }
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        m_context.reply(exchange, http_status::notFound, {{"error", "no such object"}});
    else
        exchange->reply(http_status::ok, {}, found->second);
    return true;
}

bool ratings_role::handle(const exchange_ptr &exchange)
{
    if (exchange->request().path != "/v1/ratings")
        return false;
    if (m_context.fault.down) {
        m_context.reply(exchange, http_status::unavailable, {{"error", "down"}});
        return true;
    }
    const json body = json::parse(exchange->request().body, nullptr, false);
    const std::string answer = body.is_object() ? body.value("answer", "") : "";
    // The engine stand-in marks a bad answer by "unchecked" as its last word.
    const bool good = answer.find("unchecked") == std::string::npos;
    const double rating = good ? 0.9 : 0.1;
    m_context.log.add({{"kind", "rated"},
                       {"request_id", body.is_object() ? body.value("request_id", "") : ""},
                       {"rating", rating}});
    m_context.runtime.after(m_delay, [this, exchange, rating] {
        m_context.reply(exchange, http_status::ok, {{"rating", rating}});
    });
    return true;
}

bool instance_list_role::handle(const exchange_ptr &exchange)
{
    const http_request &request = exchange->request();
    if (request.path != "/v1/instances")
        return false;
    if (request.method == "PUT") {
        const json body = json::parse(request.body, nullptr, false);
        m_context.runtime.after(m_lag, [this, body] {
            if (body.is_object() && body.contains("instances"))
                m_visibleInstances = body["instances"];
        });
        m_context.reply(exchange, http_status::ok, {{"taken", true}});
        return true;
    }
    m_context.reply(exchange, http_status::ok, {{"instances", m_visibleInstances}});
    return true;
}

bool service_role::handle(const exchange_ptr &exchange)
{
    const http_request &request = exchange->request();
    const std::string id(findHeader(request.headers, "X-Request-Id"));
    if (m_context.fault.down) {
        m_context.reply(exchange, http_status::unavailable, {{"error", "down"}});
        return true;
    }
    m_context.log.add({{"kind", "started"}, {"request_id", id}, {"path", request.path}});
    m_context.runtime.after(m_processingTime + m_context.fault.extraDelay, [this, exchange, id] {
        m_context.log.add({{"kind", "finished"}, {"request_id", id}});
        exchange->reply(http_status::ok, {{"Content-Type", "application/json"}},
                        json{{"done", true}, {"request_id", id}}.dump());
    });
    return true;
}
