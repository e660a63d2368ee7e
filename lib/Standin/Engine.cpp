//===-- Engine.cpp - a model engine with continuous batching ----------------===//
//
// All running requests make one token a step; a step takes longer the more run.
// Whether an answer is good is drawn so that its confidence is calibrated, and the
// answer's last word tells it to the rating service.
//
//===----------------------------------------------------------------------===//
#include "Roles.h"

#include "laurelcroft/Support/Crypto.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;
using nlohmann::json;
using nlohmann::ordered_json;

namespace {
constexpr std::uint64_t defaultTokens = 16;
constexpr std::uint64_t mostTokens = 100000;
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t prefixBytes = 64;
constexpr double confidenceSpread = 0.18;
} // namespace

bool engine_role::handle(const exchange_ptr &exchange)
{
    const std::string &path = exchange->request().path;
    if (path == "/v1/chat/completions")
        onChat(exchange);
    else if (path == "/orders")
        onOrder(exchange);
    else if (path == "/load")
        onLoad(exchange);
    else
        return false;
    return true;
}

void engine_role::onLoad(const exchange_ptr &exchange)
{
    m_base.reply(exchange, http_status::ok,
                 {{"running", m_running.size()},
                  {"queued", m_waiting.size()},
                  {"slots", m_options.slots},
                  {"loaded", m_loaded}});
}

void engine_role::onOrder(const exchange_ptr &exchange)
{
    const json order = json::parse(exchange->request().body, nullptr, false);
    if (!order.is_object()) {
        m_base.reply(exchange, http_status::badRequest, {{"error", "bad order"}});
        return;
    }
    const std::uint64_t fence = order.value("fence", std::uint64_t{0});
    const std::string version = order.value("version", "");
    const bool loads = order.value("action", "") == "load";
    const bool stale = m_options.fenced && fence < m_fence;
    m_base.log.add({{"kind", "order"},
                    {"action", loads ? "load" : "unload"},
                    {"version", version},
                    {"fence", fence},
                    {"done", !stale}});
    if (stale) {
        m_base.reply(exchange, http_status::conflict, {{"error", "stale fence"}});
        return;
    }
    m_fence = std::max(m_fence, fence);
    if (!loads) {
        m_loaded.erase(version);
        m_base.reply(exchange, http_status::ok, {{"done", true}});
        return;
    }
    m_base.runtime.after(m_options.loadTime, [this, exchange, version] {
        m_loaded.insert(version);
        m_base.reply(exchange, http_status::ok, {{"done", true}});
    });
}

/// \returns the prompt tokens that an earlier request left in the cache.
std::uint64_t engine_role::useCache(const std::string &body, std::uint64_t tokens)
{
    const std::size_t at = body.find("\"messages\"");
    const std::string prefix = body.substr(at == std::string::npos ? 0 : at, prefixBytes);
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    const bool known = found != m_prefixes.end();
    if (known)
        m_prefixes.erase(found);
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > m_options.cachedPrefixes)
        m_prefixes.pop_back();
    return known ? tokens * 3 / 4 : 0;
}

void engine_role::drawQuality(job &item)
{
    std::normal_distribution<double> spread(m_options.quality, confidenceSpread);
    item.confidence = std::clamp(spread(m_base.random.engine()), 0.01, 0.99);
    double goodShare = item.confidence;
    const bool turnedBad = item.model == m_base.fault.badVersion;
    if (turnedBad)
        goodShare *= 1.0 - m_base.fault.badShare;
    item.good = m_base.random.chance(goodShare);
}

void engine_role::onChat(const exchange_ptr &exchange)
{
    const http_request &request = exchange->request();
    const json body = json::parse(request.body, nullptr, false);
    job item;
    item.requestId = findHeader(request.headers, "X-Request-Id");
    if (!body.is_object() || m_base.fault.down || m_base.random.chance(m_base.fault.errorShare)) {
        m_base.log.add({{"kind", "error"}, {"request_id", item.requestId}});
        m_base.reply(exchange, http_status::unavailable, {{"error", "engine fault"}});
        return;
    }
    item.id = ++m_lastJob;
    item.exchange = exchange;
    item.model = body.value("model", "");
    item.stream = body.value("stream", false);
    item.priority = std::atoi(std::string(findHeader(request.headers, "X-Priority")).c_str());
    item.promptTokens = request.body.size() / bytesPerToken;
    item.cachedTokens = useCache(request.body, item.promptTokens);
    item.wanted = std::clamp<std::uint64_t>(body.value("max_tokens", defaultTokens), 1, mostTokens);
    item.prefillLeftMs = static_cast<double>(item.promptTokens - item.cachedTokens)
            * m_options.prefillMsPerToken;
    drawQuality(item);
    m_base.log.add({{"kind", "started"}, {"request_id", item.requestId}, {"model", item.model}});
    exchange->onPeerClosed([this, id = item.id] { cancel(id); });
    const auto place = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const job &other) {
        return other.priority > item.priority;
    });
    m_waiting.insert(place, std::move(item));
    scheduleStep();
}

void engine_role::cancel(std::uint64_t id)
{
    const auto drop = [&](const job &item) {
        if (item.id != id)
            return false;
        m_base.log.add(
                {{"kind", "cancelled"}, {"request_id", item.requestId}, {"tokens", item.made}});
        return true;
    };
    std::erase_if(m_waiting, drop);
    m_running.remove_if(drop);
}

void engine_role::admit()
{
    while (m_running.size() < m_options.slots && !m_waiting.empty()) {
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
        job &item = m_running.back();
        if (item.stream)
            item.exchange->begin(http_status::ok, {{"Content-Type", "text/event-stream"}});
    }
}

void engine_role::scheduleStep()
{
    if (m_stepping)
        return;
    m_stepping = true;
    admit();
    const auto others = static_cast<double>(m_running.empty() ? 0 : m_running.size() - 1);
    double stepMs = m_options.decodeMs * (1.0 + m_options.batchSlowdown * others);
    // Prefill runs before the step; requests that are being prefilled share it.
    double prefillMs = 0;
    for (job &item : m_running) {
        prefillMs += item.prefillLeftMs;
        item.prefillLeftMs = 0;
    }
    stepMs += prefillMs + static_cast<double>(m_base.fault.slow.count());
    m_base.runtime.after(duration(static_cast<std::int64_t>(stepMs * 1e6)), [this] { step(); });
}

void engine_role::step()
{
    m_stepping = false;
    for (auto it = m_running.begin(); it != m_running.end();) {
        makeToken(*it);
        if (it->made < it->wanted) {
            ++it;
            continue;
        }
        finish(*it);
        it = m_running.erase(it);
    }
    if (!m_running.empty() || !m_waiting.empty())
        scheduleStep();
}

void engine_role::makeToken(job &item)
{
    item.made += 1;
    std::string word = "w" + std::to_string(item.made) + " ";
    if (item.made == item.wanted)
        word = item.good ? "checked" : "unchecked";
    item.text += word;
    if (!item.stream)
        return;
    ordered_json event;
    event["object"] = "chat.completion.chunk";
    event["model"] = item.model;
    event["choices"] = {{{"index", 0}, {"delta", {{"content", word}}}}};
    item.exchange->write("data: " + event.dump() + "\n\n");
}

void engine_role::finish(job &item)
{
    m_base.log.add({{"kind", "finished"},
                    {"request_id", item.requestId},
                    {"model", item.model},
                    {"tokens", item.made},
                    {"good", item.good}});
    ordered_json body;
    body["object"] = item.stream ? "chat.completion.chunk" : "chat.completion";
    body["model"] = item.model;
    ordered_json choice = {{"index", 0}, {"finish_reason", "stop"}};
    if (!item.stream)
        choice["message"] = {{"role", "assistant"}, {"content", item.text}};
    else
        choice["delta"] = json::object();
    body["choices"] = {choice};
    body["usage"] = {{"prompt_tokens", item.promptTokens},
                     {"completion_tokens", item.made},
                     {"prompt_tokens_details", {{"cached_tokens", item.cachedTokens}}}};
    body["confidence"] = std::round(item.confidence * 1000) / 1000;
    if (!item.stream) {
        item.exchange->reply(http_status::ok, {{"Content-Type", "application/json"}}, body.dump());
        return;
    }
    item.exchange->write("data: " + body.dump() + "\n\ndata: [DONE]\n\n");
    item.exchange->end();
}
