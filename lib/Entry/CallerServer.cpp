//===-- CallerServer.cpp - HTTP server for callers ------------------------===//
//
// A request is refused at once if the channel to the routing thread is full; nothing of it has run.
//
//===----------------------------------------------------------------------===//
#include "CallerServer.h"

#include "laurelcroft/Entry/EntryErrors.h"

using namespace laurelcroft;

namespace {
constexpr std::size_t messageQueueCapacity = 8192;
constexpr std::size_t answerQueueCapacity = 32768;
} // namespace

caller_server::caller_server(event_loop_thread &routing, const caller_server_options &options,
                             metric_registry &metrics, std::function<bool()> isReady,
                             std::function<void(caller_message &&)> onMessage)
    : m_duty("callers")
    , m_metrics(metrics)
    , m_isReady(std::move(isReady))
    , m_limits(options.limits)
    , m_callers(m_duty, options.callers,
                [this](const std::shared_ptr<http_exchange> &exchange) { onExchange(exchange); })
    , m_admin(m_duty, options.admin,
              [this](const std::shared_ptr<http_exchange> &exchange) { onAdmin(exchange); })
    , m_messages(m_duty, routing, messageQueueCapacity, std::move(onMessage))
    , m_answers(routing, m_duty, answerQueueCapacity,
                [this](caller_answer &&answer) { onAnswer(std::move(answer)); })
{
}

std::string caller_server::open()
{
    m_duty.start();
    const std::string error = m_callers.open();
    return error.empty() ? m_admin.open() : error;
}

static void replyError(const std::shared_ptr<http_exchange> &exchange, const caller_error &error)
{
    const whole_answer answer = errorAnswer(error);
    exchange->reply(answer.status, answer.headers, answer.body);
}

bool caller_server::answerProbe(const std::shared_ptr<http_exchange> &exchange)
{
    const std::string &path = exchange->request().path;
    const http_headers text = {{"Content-Type", "text/plain; version=0.0.4"}};
    if (path == "/healthz")
        exchange->reply(http_status::ok, text, "ok\n");
    else if (path == "/readyz")
        exchange->reply(m_isReady() ? http_status::ok : http_status::unavailable, text,
                        m_isReady() ? "ready\n" : "not ready\n");
    else if (path == "/metrics")
        exchange->reply(http_status::ok, text, m_metrics.prometheusText());
    else
        return false;
    return true;
}

void caller_server::onExchange(const std::shared_ptr<http_exchange> &exchange)
{
    if (answerProbe(exchange))
        return;
    auto parsed = parseCaller(exchange->request(), m_limits);
    if (!parsed) {
        m_metrics.add("refused_requests_total{code=\"" + parsed.error().code + "\"}");
        replyError(exchange, parsed.error());
        return;
    }
    const caller_id id = ++m_lastId;
    std::visit(
            [&](auto &request) {
                request.id = id;
                submit(exchange, std::move(request), id);
            },
            parsed.value());
}

void caller_server::onAdmin(const std::shared_ptr<http_exchange> &exchange)
{
    if (answerProbe(exchange))
        return;
    if (exchange->request().path != "/fleetz") {
        exchange->reply(http_status::notFound, {}, "not found\n");
        return;
    }
    const caller_id id = ++m_lastId;
    submit(exchange, fleet_request{id}, id);
}

void caller_server::submit(const std::shared_ptr<http_exchange> &exchange, caller_message &&message,
                           caller_id id)
{
    if (!m_messages.tryPush(std::move(message))) {
        replyError(exchange, overloaded());
        return;
    }
    m_open[id] = {exchange, true};
    exchange->onPeerClosed([this, id] {
        if (m_open.erase(id) > 0)
            m_messages.push(caller_left{id});
    });
}

void caller_server::onPiece(caller_id id, open_exchange &item, answer_piece &piece)
{
    const std::size_t bytes = piece.linkBytes;
    item.exchange->write(std::move(piece.data), [this, id, bytes] {
        m_unsent -= 1;
        if (bytes > 0)
            m_messages.push(caller_consumed{id, bytes});
    });
}

void caller_server::onEnd(open_exchange &item, answer_end &end)
{
    m_metrics.add(end.complete ? "streams_total{end=\"complete\"}" : "streams_total{end=\"cut\"}");
    if (!end.complete) {
        item.exchange->abort();
        m_unsent -= 1;
        return;
    }
    item.exchange->write(std::move(end.data));
    item.exchange->end([this] { m_unsent -= 1; });
}

void caller_server::onAnswer(caller_answer &&answer)
{
    const auto it = m_open.find(answer.id);
    if (it == m_open.end()) {
        // The caller has disconnected.
        m_unsent -= 1;
        return;
    }
    open_exchange &item = it->second;
    if (auto *begin = std::get_if<answer_begin>(&answer.event)) {
        item.exchange->begin(begin->status, begin->headers);
        m_unsent -= 1;
        return;
    }
    if (auto *piece = std::get_if<answer_piece>(&answer.event)) {
        onPiece(answer.id, item, *piece);
        return;
    }
    if (auto *whole = std::get_if<whole_answer>(&answer.event)) {
        m_metrics.add("answers_total{status=\"" + std::to_string(whole->status) + "\"}");
        item.exchange->reply(whole->status, whole->headers, std::move(whole->body),
                             [this] { m_unsent -= 1; });
    } else {
        onEnd(item, std::get<answer_end>(answer.event));
    }
    m_open.erase(it);
}
