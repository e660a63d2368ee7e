//===-- CallerServer.h - HTTP server for callers ----------------*- C++ -*-===//
//
// Private to Entry: serves HTTP on a thread of its own, which is connected to the routing thread by
// a bounded channel in each direction.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_ENTRY_CALLERSERVER_H
#define LAURELCROFT_LIB_ENTRY_CALLERSERVER_H

#include "CallerParser.h"
#include "laurelcroft/Http/Server.h"
#include "laurelcroft/Support/Metrics.h"

#include <atomic>
#include <functional>
#include <string>
#include <unordered_map>

namespace laurelcroft {

/// The caller closed its connection.
struct caller_left
{
    caller_id id = 0;
};

/// The caller received data that came over a link.
struct caller_consumed
{
    caller_id id = 0;
    std::size_t linkBytes = 0; ///< flow-control credit to return
};

/// A query for the state of the fleet.
struct fleet_request
{
    caller_id id = 0;
};

using caller_message = std::variant<std::monostate, caller_request, status_request, models_request,
                                    caller_left, caller_consumed, fleet_request>;

/// A part of an answer, for the caller with this id.
struct caller_answer
{
    caller_id id = 0;
    answer_event event;
};

/// Options of the caller server.
struct caller_server_options
{
    http_server_options callers;
    http_server_options admin;
    caller_limits limits;
};

/// Accepts requests of callers and operators, and sends them the answers.
class caller_server
{
public:
    /// \param isReady may be called on any thread.
    /// \param onMessage is called on \p routing.
    caller_server(event_loop_thread &routing, const caller_server_options &options,
                  metric_registry &metrics, std::function<bool()> isReady,
                  std::function<void(caller_message &&)> onMessage);

    /// Opens both ports. \returns an error message, or an empty string on success.
    std::string open();
    std::uint16_t port() const { return m_callers.port(); }
    std::uint16_t adminPort() const { return m_admin.port(); }

    /// Sends a part of an answer. Called on the routing thread.
    void answer(caller_id id, answer_event event)
    {
        m_unsent += 1;
        m_answers.push({id, std::move(event)});
    }

    /// \returns true if every answer was written to its socket. May be called on any thread.
    bool isIdle() const { return m_unsent == 0; }

    void stop() { m_duty.stop(); }

private:
    struct open_exchange
    {
        std::shared_ptr<http_exchange> exchange;
        bool isFirst = true;
    };

    void onExchange(const std::shared_ptr<http_exchange> &exchange);
    void onAdmin(const std::shared_ptr<http_exchange> &exchange);
    /// Answers the health, readiness and metrics paths. \returns false for any other path.
    bool answerProbe(const std::shared_ptr<http_exchange> &exchange);
    void submit(const std::shared_ptr<http_exchange> &exchange, caller_message &&message,
                caller_id id);
    void onAnswer(caller_answer &&answer);
    void onPiece(caller_id id, open_exchange &item, answer_piece &piece);
    void onEnd(open_exchange &item, answer_end &end);

    event_loop_thread m_duty;
    metric_registry &m_metrics;
    std::function<bool()> m_isReady;
    caller_limits m_limits;
    http_server m_callers;
    http_server m_admin;
    channel<caller_message> m_messages;
    channel<caller_answer> m_answers;
    std::unordered_map<caller_id, open_exchange> m_open;
    caller_id m_lastId = 0;
    std::atomic<std::int64_t> m_unsent{0}; ///< parts of answers not yet written to a socket
};

} // namespace laurelcroft

#endif
