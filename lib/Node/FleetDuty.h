//===-- FleetDuty.h - membership on a thread of its own ----------*- C++ -*-===//
//
// Private to Node: the UDP socket and the protocol, so that heavy streaming on
// the routing duty never delays a heartbeat.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_NODE_FLEETDUTY_H
#define LAURELCROFT_LIB_NODE_FLEETDUTY_H

#include "laurelcroft/Fleet/Membership.h"
#include "laurelcroft/Support/EventLoopThread.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace laurelcroft {

/// News from the fleet duty to the routing duty.
using fleet_news = std::variant<wire::member, epoch_observation, wire::version_health>;

class fleet_duty
{
public:
    /// \param onNews runs on \p routing.
    fleet_duty(event_loop_thread &routing, wire::member self, std::string key,
               membership_options options, std::function<void(fleet_news &&)> onNews);
    ~fleet_duty();

    /// Binds the socket; \returns an empty string or what failed.
    std::string open(const std::string &host, std::uint16_t port);
    std::string address() const;

    /// Begins the protocol with the link address that is known by now.
    void start(const std::string &linkAddress, const std::vector<std::string> &seeds);

    void setDigest(const epoch_digest &digest, bool announce);
    void addSeeds(const std::vector<std::string> &seeds);
    void spreadHealth(const wire::version_health &health);
    void leave();
    void stop();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
