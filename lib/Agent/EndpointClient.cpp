//===-- EndpointClient.cpp - HTTP client of one endpoint --------------------===//
//
// Requests that are not repeatable use a new connection each: the HTTP library would
// send a request again if a reused connection turned out to be closed. The agent runs
// next to its endpoint, so that connections are cheap.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Agent/EndpointClient.h"

#include <nlohmann/json.hpp>

#include <unordered_map>

using namespace laurelcroft;
using nlohmann::json;

namespace {
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data: ";
constexpr std::string_view endMark = "[DONE]";
constexpr milliseconds orderTimeout{5000};
/// Largest event of a stream, in bytes. An incomplete event is held back.
constexpr std::size_t maxEventBytes = 1U << 20;
} // namespace

bool laurelcroft::readUsage(std::string_view body, wire::usage &usage, double &score)
try {
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("usage") || !object["usage"].is_object())
        return false;
    const json &used = object["usage"];
    usage.set_prompt_tokens(used.value("prompt_tokens", std::uint64_t{0}));
    usage.set_generated_tokens(used.value("completion_tokens", std::uint64_t{0}));
    if (used.contains("prompt_tokens_details") && used["prompt_tokens_details"].is_object())
        usage.set_cached_tokens(
                used["prompt_tokens_details"].value("cached_tokens", std::uint64_t{0}));
    score = object.value("confidence", 0.0);
    return true;
} catch (const json::type_error &) {
    return false;
}

bool event_reader::handleEvent(std::string_view event)
{
    if (event.substr(0, dataField.size()) != dataField)
        return true;
    const std::string_view data = event.substr(dataField.size());
    if (data == endMark) {
        m_sawEnd = true;
        return false;
    }
    // Only the last event has usage data; searching for the key avoids parsing every event.
    if (data.find("\"usage\"") != std::string_view::npos)
        readUsage(data, m_usage, m_score);
    return true;
}

std::string event_reader::feed(std::string_view data)
{
    m_buffer += data;
    std::string forwarded;
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = m_buffer.find(eventEnd, begin);
        if (end == std::string::npos)
            break;
        const std::string_view event = std::string_view(m_buffer).substr(begin, end - begin);
        if (handleEvent(event))
            forwarded.append(event).append(eventEnd);
        begin = end + eventEnd.size();
    }
    m_buffer.erase(0, begin);
    return forwarded;
}

struct endpoint_client::state
{
    struct job
    {
        http_call_id call = 0;
        bool streamed = false;
        bool anyData = false;
        int status = 0;
        std::string contentType;
        event_reader events;
        std::string body;
    };

    http_client &client;
    std::string url;
    endpoint_events events;
    std::unordered_map<work_id, job> jobs = {};

    void begin(work_id work, int status, const http_headers &headers);
    void data(work_id work, std::string_view data);
    /// Cancels a call whose answer is too large to be held.
    void abandon(work_id work);
    void end(work_id work, const outcome<int, http_error> &result);
};

endpoint_client::endpoint_client(http_client &client, std::string url, endpoint_events events)
    : m_state(new state{client, std::move(url), std::move(events)})
{
}

endpoint_client::~endpoint_client() = default;

static http_call makeCall(const std::string &url, const wire::offer &offer)
{
    http_call call;
    call.method = "POST";
    call.timeout = milliseconds(offer.deadline_ms());
    call.freshConnection = !offer.repeatable();
    call.headers = {{"Content-Type", "application/json"},
                    {"X-Request-Id", offer.request_id()},
                    {"X-Priority", std::to_string(offer.priority())}};
    call.body = offer.body();
    if (offer.kind() == wire::work_service) {
        call.url = url + "/" + offer.target();
        return call;
    }
    call.url = url + "/v1/chat/completions";
    // The caller may have requested a cascade; the engine needs the chosen model and version.
    json body = json::parse(offer.body(), nullptr, false);
    if (body.is_object()) {
        body["model"] = offer.target() + "@" + offer.version();
        body["stream"] = offer.stream();
        call.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    return call;
}

void endpoint_client::start(work_id work, const wire::offer &offer)
{
    state *const inner = m_state.get();
    http_call_events events;
    events.onBegin = [inner, work](int status, const http_headers &headers) {
        inner->begin(work, status, headers);
    };
    events.onData = [inner, work](std::string_view data) { inner->data(work, data); };
    events.onEnd
            = [inner, work](const outcome<int, http_error> &result) { inner->end(work, result); };
    inner->jobs[work].call = inner->client.start(makeCall(inner->url, offer), std::move(events));
}

void endpoint_client::cancel(work_id work)
{
    const auto node = m_state->jobs.extract(work);
    if (!node.empty())
        m_state->client.cancel(node.mapped().call);
}

void endpoint_client::pause(work_id work)
{
    const auto it = m_state->jobs.find(work);
    if (it != m_state->jobs.end())
        m_state->client.pause(it->second.call);
}

void endpoint_client::resume(work_id work)
{
    const auto it = m_state->jobs.find(work);
    if (it != m_state->jobs.end())
        m_state->client.resume(it->second.call);
}

void endpoint_client::state::begin(work_id work, int status, const http_headers &headers)
{
    job &item = jobs[work];
    item.status = status;
    item.contentType = findHeader(headers, "Content-Type");
    item.streamed = item.contentType.rfind("text/event-stream", 0) == 0;
}

void endpoint_client::state::data(work_id work, std::string_view data)
{
    job &item = jobs[work];
    item.anyData = true;
    if (!item.streamed) {
        item.body += data;
        if (item.body.size() > http_client::maxFetchedBytes)
            abandon(work);
        return;
    }
    const std::string forwarded = item.events.feed(data);
    const bool isTooLarge = item.events.heldBytes() > maxEventBytes;
    if (!forwarded.empty())
        events.onData(work, forwarded);
    if (isTooLarge)
        abandon(work);
}

void endpoint_client::state::abandon(work_id work)
{
    const auto node = jobs.extract(work);
    if (node.empty())
        return;
    client.cancel(node.mapped().call);
    work_result done;
    done.status = node.mapped().status;
    done.contentType = node.mapped().contentType;
    done.failed = true;
    done.message = "the answer is too large";
    done.executed = wire::execution_yes;
    done.usage = node.mapped().events.usage();
    events.onEnd(work, done);
}

void endpoint_client::state::end(work_id work, const outcome<int, http_error> &result)
{
    auto node = jobs.extract(work);
    if (node.empty())
        return;
    job &item = node.mapped();
    work_result done;
    done.status = item.status;
    done.contentType = item.contentType;
    if (!result) {
        done.failed = true;
        done.message = textOf(result.error());
        done.executed = wire::execution_unknown;
        if (item.anyData)
            done.executed = wire::execution_yes;
        if (result.error() == http_error::notSent)
            done.executed = wire::execution_no;
    } else if (item.streamed && !item.events.sawEnd()) {
        done.failed = true;
        done.message = "the stream ended early";
        done.executed = wire::execution_yes;
    } else if (item.streamed) {
        done.usage = item.events.usage();
        done.score = item.events.score();
    } else {
        readUsage(item.body, done.usage, done.score);
        if (!item.body.empty())
            events.onData(work, item.body);
    }
    if (item.streamed)
        done.usage = item.events.usage();
    events.onEnd(work, done);
}

void endpoint_client::postOrder(const engine_order &order, std::function<void(bool)> done)
{
    http_call call;
    call.method = "POST";
    call.url = m_state->url + "/orders";
    call.timeout = orderTimeout;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = json{{"action", order.action == order_action::load ? "load" : "unload"},
                     {"version", order.version},
                     {"fence", order.fence}}
                        .dump();
    m_state->client.fetch(std::move(call),
                          [done = std::move(done)](const outcome<http_reply, http_error> &result) {
                              done(result && result.value().status == http_status::ok);
                          });
}
