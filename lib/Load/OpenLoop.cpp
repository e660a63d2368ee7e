//===-- OpenLoop.cpp - open-loop load over HTTP -----------------------------===//
//
// Each thread generates its own Poisson arrivals at an equal share of the total rate.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Load/OpenLoop.h"

#include "laurelcroft/Http/Client.h"
#include "laurelcroft/Support/Random.h"
#include "laurelcroft/Support/Runtime.h"

#include <asio/io_context.hpp>

#include <algorithm>
#include <memory>
#include <thread>

using namespace laurelcroft;

namespace {

/// Maximum wait for outstanding responses after the sending period.
constexpr duration drainTimeout = seconds(20);
constexpr milliseconds callTimeout{60000};

/// Sends the requests of one thread and records their latencies.
class load_worker
{
public:
    load_worker(const load_plan &plan, std::uint32_t number)
        : m_plan(plan)
        , m_runtime(m_context)
        , m_client(m_context)
        , m_random(plan.seed * 1000 + number)
    {
    }

    load_result run();

private:
    /// A request that has been sent and has not ended.
    struct pending_request
    {
        time_point intendedTime{};
        time_point lastDataTime{};
        bool hasData = false;
    };

    void scheduleNext();
    void send(time_point intended);
    void onData(pending_request &item, std::string_view data);
    void onEnd(const pending_request &item, const outcome<int, http_error> &result);
    http_call makeCall();

    const load_plan &m_plan;
    asio::io_context m_context;
    asio_runtime m_runtime;
    http_client m_client;
    random_source m_random;
    load_result m_result;
    time_point m_startTime{};
    time_point m_nextArrival{};
    std::uint64_t m_outstandingRequests = 0;
    bool m_sending = true;
};

} // namespace

load_result load_worker::run()
{
    m_startTime = m_runtime.now();
    m_nextArrival = m_startTime;
    scheduleNext();
    const duration sending(static_cast<std::int64_t>(m_plan.durationSeconds * 1e9));
    m_runtime.after(sending, [this] {
        m_sending = false;
        if (m_outstandingRequests == 0)
            m_context.stop();
    });
    m_runtime.after(sending + drainTimeout, [this] { m_context.stop(); });
    m_context.run();
    m_result.errors["unanswered"] += m_outstandingRequests;
    m_result.elapsedSeconds = std::chrono::duration<double>(m_runtime.now() - m_startTime).count();
    return std::move(m_result);
}

void load_worker::scheduleNext()
{
    if (!m_sending || m_result.sent >= m_plan.maxRequests / m_plan.threads)
        return;
    std::exponential_distribution<double> gap(m_plan.requestsPerSecond / m_plan.threads);
    m_nextArrival += duration(static_cast<std::int64_t>(gap(m_random.engine()) * 1e9));
    m_runtime.after(std::max<duration>(m_nextArrival - m_runtime.now(), duration(0)), [this] {
        // An overdue request is sent without delay; its latency still counts from m_nextArrival,
        // its intended send time.
        send(m_nextArrival);
        scheduleNext();
    });
}

http_call load_worker::makeCall()
{
    const std::uint64_t number
            = m_plan.sessions > 0 ? m_random.index(m_plan.sessions) : m_random.bits();
    std::string prompt = "prompt " + std::to_string(number) + " ";
    prompt.resize(std::max<std::size_t>(prompt.size(), m_plan.promptBytes), 'x');
    http_call call;
    call.method = "POST";
    call.url = m_plan.urls[m_random.index(m_plan.urls.size())] + "/v1/chat/completions";
    call.timeout = callTimeout;
    call.headers = {{"Content-Type", "application/json"}};
    if (!m_plan.key.empty())
        call.headers.push_back({"Authorization", "Bearer " + m_plan.key});
    call.body = "{\"model\":\"" + m_plan.model
            + "\",\"stream\":" + (m_plan.stream ? "true" : "false")
            + ",\"max_tokens\":" + std::to_string(m_plan.outputTokens)
            + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
    return call;
}

void load_worker::send(time_point intended)
{
    const auto item = std::make_shared<pending_request>();
    item->intendedTime = intended;
    m_result.sent += 1;
    m_outstandingRequests += 1;
    http_call_events events;
    events.onData = [this, item](std::string_view data) { onData(*item, data); };
    events.onEnd = [this, item](const outcome<int, http_error> &result) { onEnd(*item, result); };
    m_client.start(makeCall(), std::move(events));
}

void load_worker::onData(pending_request &item, std::string_view data)
{
    const time_point now = m_runtime.now();
    if (!item.hasData)
        m_result.timeToFirstToken.record(now - item.intendedTime);
    else
        m_result.interTokenLatency.record(now - item.lastDataTime);
    item.hasData = true;
    item.lastDataTime = now;
    for (std::size_t at = data.find("\"content\":"); at != std::string_view::npos;
         at = data.find("\"content\":", at + 1))
        m_result.tokens += 1;
}

void load_worker::onEnd(const pending_request &item, const outcome<int, http_error> &result)
{
    m_outstandingRequests -= 1;
    if (!result)
        m_result.errors[std::string(textOf(result.error()))] += 1;
    else if (result.value() >= http_status::badRequest)
        m_result.errors[std::to_string(result.value())] += 1;
    else
        m_result.complete += 1;
    if (result && result.value() < http_status::badRequest)
        m_result.totalLatency.record(m_runtime.now() - item.intendedTime);
    if (!m_sending && m_outstandingRequests == 0)
        m_context.stop();
}

load_result laurelcroft::runLoad(const load_plan &plan)
{
    std::vector<load_result> parts(plan.threads);
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < plan.threads; ++i) {
        threads.emplace_back([&plan, &parts, i] {
            load_worker worker(plan, i);
            parts[i] = worker.run();
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    load_result total;
    for (const load_result &part : parts) {
        total.timeToFirstToken.merge(part.timeToFirstToken);
        total.totalLatency.merge(part.totalLatency);
        total.interTokenLatency.merge(part.interTokenLatency);
        total.sent += part.sent;
        total.complete += part.complete;
        total.tokens += part.tokens;
        total.elapsedSeconds = std::max(total.elapsedSeconds, part.elapsedSeconds);
        for (const auto &[name, count] : part.errors) {
            if (count > 0)
                total.errors[name] += count;
        }
    }
    return total;
}
