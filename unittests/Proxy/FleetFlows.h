//===-- FleetFlows.h - request flows at entries of a fleet -------*- C++ -*-===//
//
// Environment of request flows at an entry of a simulated fleet. The test simulates the endpoints.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_FLEETFLOWS_H
#define LAURELCROFT_UNITTESTS_PROXY_FLEETFLOWS_H

#include "DefaultEnvironment.h"
#include "EntryFleet.h"

#include "laurelcroft/Proxy/RequestFlow.h"

#include <string>
#include <string_view>

namespace laurelcroft {

/// Passes the calls of a flow to a simulation.
/// \tparam World provides runtime(), onCall() for each sent attempt and onReply() for each complete
/// answer.
/// \tparam Entry provides the routing state of the entry.
template <class World, class Entry = fleet_entry>
struct fleet_environment : default_environment
{
    World *fixture;
    Entry *entry;

    manual_runtime &runtime() { return fixture->runtime(); }
    routing_state &routing() { return entry->routing; }
    call_id call(const proxy_attempt &attempt, call_events events)
    {
        fixture->onCall(*entry, attempt, std::move(events));
        return 1;
    }
    void reply(int status, const http_headers &headers, std::string_view)
    {
        fixture->onReply(status, headers);
    }
};

} // namespace laurelcroft

#endif
