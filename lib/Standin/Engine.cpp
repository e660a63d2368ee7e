//===-- Engine.cpp - simulated model engine ---------------------------------===//
//
// Each step generates one token for every running request, and takes longer the more requests run.
// An answer is good with a probability equal to its confidence, unless a fault degrades it. Its
// last word, "checked" or "unchecked", tells the simulated rating service whether it is good.
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
constexpr std::uint64_t maxTokens = 100000;
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
    m_context.reply(exchange, http_status::ok,
                    {{"running", m_running.size()},
                     {"queued", m_waiting.size()},
                     {"slots", m_options.slots},
                     {"loaded", m_loaded}});
}

void engine_role::onOrder(const exchange_ptr &exchange)
{
    const json order = json::parse(exchange->request().body, nullptr, false);
    if (!order.is_object()) {
        m_context.reply(exchange, http_status::badRequest, {{"error", "bad order"}});
        return;
    }
    const std::uint64_t fence = order.value("fence", std::uint64_t{0});
    const std::string version = order.value("version", "");
    const bool isLoad = order.value("action", "") == "load";
    const bool stale = m_options.checksFence && fence < m_highestFence;
    m_context.log.add({{"kind", "order"},
                       {"action", isLoad ? "load" : "unload"},
                       {"version", version},
                       {"fence", fence},
                       {"done", !stale}});
    if (stale) {
        m_context.reply(exchange, http_status::conflict, {{"error", "stale fence"}});
        return;
    }
    m_highestFence = std::max(m_highestFence, fence);
    if (!isLoad) {
        m_loaded.erase(version);
        m_context.reply(exchange, http_status::ok, {{"done", true}});
        return;
    }
    m_context.runtime.after(m_options.loadTime, [this, exchange, version] {
        m_loaded.insert(version);
        m_context.reply(exchange, http_status::ok, {{"done", true}});
    });
}

/// Looks up the prompt's prefix in the cache and adds it as the most recently used one.
/// \returns the number of prompt tokens served from the cache.
std::uint64_t engine_role::lookUpPrefix(const std::string &body, std::uint64_t tokens)
{
    const std::size_t at = body.find("\"messages\"");
    const std::string prefix = body.substr(at == std::string::npos ? 0 : at, prefixBytes);
    const auto found = std::find(m_cachedPrefixes.begin(), m_cachedPrefixes.end(), prefix);
    const bool isCached = found != m_cachedPrefixes.end();
    if (isCached)
        m_cachedPrefixes.erase(found);
    m_cachedPrefixes.push_front(prefix);
    if (m_cachedPrefixes.size() > m_options.cachedPrefixes)
        m_cachedPrefixes.pop_back();
    return isCached ? tokens * 3 / 4 : 0;
}

void engine_role::drawQuality(job &item)
{
    std::normal_distribution<double> spread(m_options.quality, confidenceSpread);
    item.confidence = std::clamp(spread(m_context.random.engine()), 0.01, 0.99);
    double goodShare = item.confidence;
    const bool isDegraded = item.model == m_context.fault.badVersion;
    if (isDegraded)
        goodShare *= 1.0 - m_context.fault.badShare;
    item.good = m_context.random.chance(goodShare);
}

void engine_role::onChat(const exchange_ptr &exchange)
{
    const http_request &request = exchange->request();
    const json body = json::parse(request.body, nullptr, false);
    job item;
    item.requestId = findHeader(request.headers, "X-Request-Id");
    if (!body.is_object() || m_context.fault.down
        || m_context.random.chance(m_context.fault.errorShare)) {
        m_context.log.add({{"kind", "error"}, {"request_id", item.requestId}});
        m_context.reply(exchange, http_status::unavailable, {{"error", "engine fault"}});
        return;
    }
    item.id = ++m_lastJob;
    item.exchange = exchange;
    item.model = body.value("model", "");
    item.stream = body.value("stream", false);
    item.priority = std::atoi(std::string(findHeader(request.headers, "X-Priority")).c_str());
    item.promptTokens = request.body.size() / bytesPerToken;
    item.cachedTokens = lookUpPrefix(request.body, item.promptTokens);
    item.requestedTokens
            = std::clamp<std::uint64_t>(body.value("max_tokens", defaultTokens), 1, maxTokens);
    item.remainingPrefillMs = static_cast<double>(item.promptTokens - item.cachedTokens)
            * m_options.prefillMsPerToken;
    drawQuality(item);
    m_context.log.add({{"kind", "started"}, {"request_id", item.requestId}, {"model", item.model}});
    exchange->onPeerClosed([this, id = item.id] { cancel(id); });
    const auto position = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const job &other) {
        return other.priority > item.priority;
    });
    m_waiting.insert(position, std::move(item));
    scheduleStep();
}

void engine_role::cancel(std::uint64_t id)
{
    const auto drop = [&](const job &item) {
        if (item.id != id)
            return false;
        m_context.log.add({{"kind", "cancelled"},
                           {"request_id", item.requestId},
                           {"tokens", item.generatedTokens}});
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
    if (m_stepScheduled)
        return;
    m_stepScheduled = true;
    admit();
    const auto others = static_cast<double>(m_running.empty() ? 0 : m_running.size() - 1);
    double stepMs = m_options.decodeMs * (1.0 + m_options.batchSlowdown * others);
    // The prefills of newly admitted requests run one after the other before the step and delay it
    // for all running requests.
    double prefillMs = 0;
    for (job &item : m_running) {
        prefillMs += item.remainingPrefillMs;
        item.remainingPrefillMs = 0;
    }
    stepMs += prefillMs + static_cast<double>(m_context.fault.extraDelay.count());
    m_context.runtime.after(duration(static_cast<std::int64_t>(stepMs * 1e6)), [this] { step(); });
}

void engine_role::step()
{
    m_stepScheduled = false;
    for (auto it = m_running.begin(); it != m_running.end();) {
        generateToken(*it);
        if (it->generatedTokens < it->requestedTokens) {
            ++it;
            continue;
        }
        finish(*it);
        it = m_running.erase(it);
    }
    if (!m_running.empty() || !m_waiting.empty())
        scheduleStep();
}

void engine_role::generateToken(job &item)
{
    item.generatedTokens += 1;
    std::string word = "w" + std::to_string(item.generatedTokens) + " ";
    if (item.generatedTokens == item.requestedTokens)
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
    m_context.log.add({{"kind", "finished"},
                       {"request_id", item.requestId},
                       {"model", item.model},
                       {"tokens", item.generatedTokens},
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
                     {"completion_tokens", item.generatedTokens},
                     {"prompt_tokens_details", {{"cached_tokens", item.cachedTokens}}}};
    body["confidence"] = std::round(item.confidence * 1000) / 1000;
    if (!item.stream) {
        item.exchange->reply(http_status::ok, {{"Content-Type", "application/json"}}, body.dump());
        return;
    }
    item.exchange->write("data: " + body.dump() + "\n\ndata: [DONE]\n\n");
    item.exchange->end();
}
