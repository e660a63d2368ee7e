//===-- Agent/EndpointClient.h - talks to one endpoint -----------*- C++ -*-===//
//
// Runs work at a model engine or a plain service over HTTP and reads what it
// answers: whole or streamed, with usage and the engine's own confidence.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_AGENT_ENDPOINTCLIENT_H
#define LAURELCROFT_AGENT_ENDPOINTCLIENT_H

#include "laurelcroft/Agent/Attempt.h"
#include "laurelcroft/Http/Client.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Reads a stream of server-sent events piece by piece.
class event_reader
{
public:
    /// Takes data and \returns the whole events in it that are to be passed on; the
    /// closing usage is taken out and the end mark noted.
    std::string feed(std::string_view data);

    bool sawEnd() const { return m_sawEnd; }
    const wire::usage &usage() const { return m_usage; }
    double score() const { return m_score; }

private:
    bool handleEvent(std::string_view event);

    std::string m_buffer;
    bool m_sawEnd = false;
    wire::usage m_usage;
    double m_score = 0;
};

/// Reads usage and confidence from a JSON answer.
/// \returns false when \p body is no JSON object with a usage.
bool readUsage(std::string_view body, wire::usage &usage, double &score);

struct endpoint_events
{
    std::function<void(work_id, std::string_view)> onData;
    std::function<void(work_id, const work_result &)> onEnd;
};

/// The client of one endpoint.
class endpoint_client
{
public:
    endpoint_client(http_client &client, std::string url, endpoint_events events);
    ~endpoint_client();

    void start(work_id work, const wire::offer &offer);
    void cancel(work_id work);

    /// Stops and continues reading, for a reader that is slower than the engine.
    void pause(work_id work);
    void resume(work_id work);

    /// Gives an order with its fence. \param done true when the endpoint carried it out.
    void postOrder(const engine_order &order, std::function<void(bool)> done);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
