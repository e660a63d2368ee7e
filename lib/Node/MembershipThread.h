//===-- MembershipThread.h - runs the membership protocol --------*- C++ -*-===//
//
// Private to Node. The UDP socket and the protocol have a thread of their own, so that
// heavy streaming on the routing thread does not delay probes.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_NODE_MEMBERSHIPTHREAD_H
#define LAURELCROFT_LIB_NODE_MEMBERSHIPTHREAD_H

#include "laurelcroft/Fleet/Membership.h"
#include "laurelcroft/Support/EventLoopThread.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace laurelcroft {

/// An event of the membership protocol, passed to the routing thread.
using membership_update = std::variant<wire::member, epoch_observation, wire::version_health>;

/// The membership protocol of this instance, its UDP socket and its thread.
class membership_thread
{
public:
    /// \param onUpdate runs on \p routing.
    membership_thread(event_loop_thread &routing, wire::member self, std::string key,
                      membership_options options,
                      std::function<void(membership_update &&)> onUpdate);
    ~membership_thread();

    /// Binds the socket. \returns an empty string or an error message.
    std::string open(const std::string &host, std::uint16_t port);
    /// \returns the address that the socket is bound to, as host:port.
    std::string address() const;

    /// Starts the thread and the protocol, which announces \p linkAddress to other members.
    void start(const std::string &linkAddress, const std::vector<std::string> &seeds);

    /// Sets the digest that all later datagrams carry.
    /// \param announce also sends it to a few random members at once.
    void setDigest(const epoch_digest &digest, bool announce);
    void addSeeds(const std::vector<std::string> &seeds);
    void gossipVersionHealth(const wire::version_health &health);
    void leave();
    void stop();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
