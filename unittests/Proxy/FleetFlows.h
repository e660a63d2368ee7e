//===-- FleetFlows.h - request flows at entries of a fleet -------*- C++ -*-===//
//
// Environment of request flows at an entry of a simulated fleet. The test simulates the endpoints.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_FLEETFLOWS_H
#define LAURELCROFT_UNITTESTS_PROXY_FLEETFLOWS_H

#include "EntryFleet.h"
#include "ReadingCaller.h"

#include "laurelcroft/Proxy/RequestFlow.h"

#include <string>
#include <string_view>

namespace laurelcroft {

/// Passes the calls of a flow to a simulation.
/// \tparam World provides runtime(), onCall() for each sent attempt and onReply() for each complete
/// answer.
/// \tparam Entry provides the routing state of the entry.
template <class World, class Entry = fleet_entry>
struct fleet_environment : reading_caller
{
    World *fixture;
    Entry *entry;

    manual_runtime &runtime() { return fixture->runtime(); }
    routing_state &routing() { return entry->routing; }
    bool hasRoomAt(const endpoint_ptr &) { return true; }
    call_id call(const proxy_attempt &attempt, call_events events)
    {
        fixture->onCall(*entry, attempt, std::move(events));
        return 1;
    }
    void cancel(call_id) { }
    void reply(int status, const http_headers &headers, std::string_view)
    {
        fixture->onReply(status, headers);
    }
    void begin(int, const http_headers &) { }
    void write(std::string_view) { }
    void end() { }
    void abort() { }
    void finished(const flow_record &) { }
    void escalated(const flow_record &, const std::string &) { }
    void sentFurther(const flow_record &, further_send) { }
    void attemptEnded(const flow_record &, attempt_end, next_step) { }
    void checkEnded(const endpoint_ptr &) { }
};

} // namespace laurelcroft

#endif
