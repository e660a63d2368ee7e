//===-- FlowFixture.h - fixture for request flows ----------------*- C++ -*-===//
//
// A test fixture with endpoints whose answers the test supplies, a caller that records the
// response, and a clock that advances only when the test says so.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_FLOWFIXTURE_H
#define LAURELCROFT_UNITTESTS_PROXY_FLOWFIXTURE_H

#include "laurelcroft/Proxy/RequestFlow.h"

#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laurelcroft {

/// A call that a flow has made.
struct recorded_call
{
    proxy_attempt attempt;
    call_events events;
    bool cancelled = false;
    bool paused = false;
};

/// Test fixture for request flows.
struct flow_fixture
{
    flow_fixture() = default;
    /// Puts \p route in force and lists endpoints with the ids \p endpoints.
    flow_fixture(const service_route &route, std::initializer_list<const char *> endpoints);

    manual_runtime runtime;
    routing_state routing{{}, {0, 50}, 1};
    std::vector<recorded_call> calls;
    std::vector<std::pair<attempt_end, next_step>> steps;
    int status = 0; ///< of the response; 0 if there is none yet
    http_headers headers;
    std::string body;
    bool begun = false;
    bool ended = false;
    bool aborted = false;
    std::optional<std::uint64_t> bodyLength; ///< as stated when a large answer was begun
    bool callerBehind = false;
    bool memoryLeft = true;
    time_point callerProgressAt{};
    std::function<void()> onDrained; ///< set while a flow waits for its caller
    std::optional<flow_record> record;
    std::vector<std::string> probedEndpoints; ///< endpoints probed after a lost connection
    bool room = true; ///< whether endpoints have a free connection
    unsigned candidatesExamined = 0; ///< number of candidates evaluated by choices
    std::vector<std::shared_ptr<void>> flows; ///< keeps the flows alive, as the server does

    void addEndpoint(const std::string &id, const std::string &service = "pool",
                     const std::string &version = "v1");
    void setDataCentre(const std::string &id, const std::string &dataCentre);
    /// Adds a cold endpoint with a limit of one request per second, which \p owner may send.
    void addColdEndpoint(const std::string &id, const std::string &owner);
    /// Counts other requests to \p service, which earn a budget of further sends.
    void earnFurtherSends(const std::string &service);
    /// Puts a contract with this route in force and calls earnFurtherSends() for its services.
    void useRoute(const service_route &route);

    /// Supplies the head of a signed answer of call \p index.
    void answer(std::size_t index, int status, std::optional<int> confidence = std::nullopt);
    /// Supplies the head \p head of the answer of call \p index, and ends the call.
    void answer(std::size_t index, proxy_answer head, call_end how);
    /// Refuses call \p index as not run.
    /// \param misdirected if true, another process than the intended one refuses.
    void refuseNotRun(std::size_t index, bool misdirected = false);
    void data(std::size_t index, const std::string &text) { calls[index].events.onData(text); }
    void end(std::size_t index, call_end how) { calls[index].events.onEnd(how); }
    /// \returns the number of calls that were not cancelled.
    std::size_t openCalls() const;
    std::string endpointOf(std::size_t index) const
    {
        return calls[index].attempt.endpoint->record().id;
    }
};

/// Environment of a flow that connects it to a flow_fixture.
struct fake_environment
{
    flow_fixture *fixture;

    manual_runtime &runtime() { return fixture->runtime; }
    routing_state &routing() { return fixture->routing; }
    bool hasRoomAt(const endpoint_ptr &)
    {
        ++fixture->candidatesExamined;
        return fixture->room;
    }
    call_id call(proxy_attempt attempt, call_events events)
    {
        fixture->calls.push_back({std::move(attempt), std::move(events)});
        return fixture->calls.size();
    }
    void cancel(call_id call)
    {
        if (call > 0)
            fixture->calls[call - 1].cancelled = true;
    }
    void reply(int status, const http_headers &headers, std::string_view body)
    {
        fixture->status = status;
        fixture->headers = headers;
        fixture->body = body;
        fixture->ended = true;
    }
    void begin(int status, const http_headers &headers)
    {
        fixture->begun = true;
        fixture->status = status;
        fixture->headers = headers;
    }
    void write(std::string_view piece) { fixture->body += piece; }
    void end() { fixture->ended = true; }
    void abort() { fixture->aborted = true; }
    void beginWhole(int status, const http_headers &headers, std::optional<std::uint64_t> length)
    {
        begin(status, headers);
        fixture->bodyLength = length;
    }
    bool holdAnswer(std::size_t) { return fixture->memoryLeft; }
    bool isCallerBehind() { return fixture->callerBehind; }
    bool wasCallerCutOff() { return false; }
    bool hasMemoryFor(int) { return fixture->memoryLeft; }
    time_point callerProgressAt() { return fixture->callerProgressAt; }
    void whenCallerDrained(std::function<void()> action) { fixture->onDrained = std::move(action); }
    void pause(call_id call) { fixture->calls[call - 1].paused = true; }
    void resume(call_id call) { fixture->calls[call - 1].paused = false; }
    void finished(const flow_record &record) { fixture->record = record; }
    void escalated(const flow_record &, const std::string &) { }
    void sentFurther(const flow_record &, further_send) { }
    void attemptEnded(const flow_record &, attempt_end end, next_step step)
    {
        fixture->steps.emplace_back(end, step);
    }
    void checkEnded(const endpoint_ptr &endpoint)
    {
        fixture->probedEndpoints.push_back(endpoint->record().id);
    }
};

using fake_flow = request_flow<fake_environment>;

service_route lookupRoute(); ///< repeatable, at most two endpoints
service_route fetchRoute(); ///< at most once
service_route draftRoute(); ///< a resumable stream over three models

/// \returns a contract with one route, and the service "pool" without models.
std::shared_ptr<service_contract> contractFor(const service_route &route, std::uint64_t version);

std::shared_ptr<proxy_request> requestFor(const service_route &route);
std::shared_ptr<fake_flow> startFlow(flow_fixture &fixture, std::shared_ptr<proxy_request> request);
std::string eventText(unsigned id);
/// Makes the entry see \p ends endpoints crash one after the other while they run \p request.
void crashEndpoints(flow_fixture &fixture, const std::shared_ptr<proxy_request> &request,
                    unsigned ends);

} // namespace laurelcroft

#endif
