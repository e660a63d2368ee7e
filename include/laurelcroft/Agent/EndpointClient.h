//===-- Agent/EndpointClient.h - HTTP client of one endpoint -----*- C++ -*-===//
//
// Sends work to a model engine or a service over HTTP and reads the answer, whole or
// streamed, with its token usage and the confidence that the engine reports.
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

/// Incremental parser of a stream of server-sent events.
class event_reader
{
public:
    /// Appends \p data and \returns the events that are complete now, to be forwarded. Stores the
    /// usage and score of the last event and removes the `[DONE]` marker.
    std::string feed(std::string_view data);

    /// \returns the size of the incomplete event, in bytes.
    std::size_t heldBytes() const { return m_buffer.size(); }
    bool sawEnd() const { return m_sawEnd; }
    const wire::usage &usage() const { return m_usage; }
    double score() const { return m_score; }

private:
    /// \returns true if \p event is to be forwarded.
    bool handleEvent(std::string_view event);

    std::string m_buffer;
    bool m_sawEnd = false;
    wire::usage m_usage;
    double m_score = 0;
};

/// Reads the token usage and the confidence from a JSON answer.
/// \returns false if \p body is not a JSON object with a \c usage object, or a field has another
/// type.
bool readUsage(std::string_view body, wire::usage &usage, double &score);

/// Callbacks of an endpoint client.
struct endpoint_events
{
    std::function<void(work_id, std::string_view)> onData;
    std::function<void(work_id, const work_result &)> onEnd;
};

/// HTTP client of one endpoint.
class endpoint_client
{
public:
    endpoint_client(http_client &client, std::string url, endpoint_events events);
    ~endpoint_client();

    void start(work_id work, const wire::offer &offer);
    void cancel(work_id work);

    /// Pauses and resumes reading the endpoint's answer while the entry reads too slowly.
    void pause(work_id work);
    void resume(work_id work);

    /// Sends a load or unload order. \param done gets true if the endpoint answered with 200.
    void postOrder(const engine_order &order, std::function<void(bool)> done);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
