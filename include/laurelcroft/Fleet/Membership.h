//===-- Fleet/Membership.h - SWIM membership protocol ------------*- C++ -*-===//
//
// Failure detection after SWIM: an instance probes one member per period, first
// directly and then through other members. A member that does not answer becomes
// suspect and is declared dead unless it refutes that in time. Updates are
// piggybacked on the probes in a bounded number, so that the cost per instance does
// not grow with the fleet. Every datagram carries the sender's bundle epoch.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_MEMBERSHIP_H
#define LAURELCROFT_FLEET_MEMBERSHIP_H

#include "laurelcroft.pb.h"
#include "laurelcroft/Support/Crypto.h"
#include "laurelcroft/Support/Random.h"
#include "laurelcroft/Support/Runtime.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laurelcroft {

/// Protocol parameters; docs/CAPACITY.md derives the values.
struct membership_options
{
    duration period = milliseconds(1000); ///< interval between probes
    duration probeTimeout = milliseconds(300); ///< wait for a direct ack before the indirect probes
    double suspicionPeriods = 3.0; ///< suspicion timeout; times max(1, log10(members + 1))
    std::size_t indirectProbes = 3; ///< members asked to probe a target that did not answer
    std::size_t fanout = 4; ///< members that urgent updates are sent to at once
    std::size_t maxUpdateBytes = 260; ///< size of the member updates on one datagram
    std::size_t membersPerSyncDatagram = 10; ///< for the full member list
    duration deadRetention = seconds(600); ///< time until a dead member is forgotten
    duration syncPeriodPerMember = milliseconds(1500); ///< sync interval; times (members + 10)
};

/// The bundle epoch of this instance and its last confirmation; sent on every datagram.
struct epoch_digest
{
    std::uint64_t epoch = 0;
    bool confirmed = false;
    time_point confirmedAt{};
};

/// The bundle epoch of another instance, as received on a datagram.
struct epoch_observation
{
    std::string from; ///< instance id of the sender
    std::uint64_t epoch = 0;
    bool confirmed = false;
    duration confirmedAge{}; ///< time since an instance last read this epoch from the table
};

/// Callbacks of the protocol; unset ones are skipped.
struct membership_events
{
    std::function<void(const wire::member &)> onMember; ///< new member, or new state or incarnation
    std::function<void(const epoch_observation &)> onEpoch;
    std::function<void(const wire::version_health &)> onHealth; ///< first report of a version stop
};

/// Serializes \p message and prepends a truncated HMAC, so that receivers can reject datagrams that
/// were not sent by a process of the site.
std::string sealDatagram(std::string_view key, const wire::datagram &message);

/// \returns the message, or nothing when it is malformed or its HMAC does not match \p key.
std::optional<wire::datagram> openDatagram(std::string_view key, std::string_view bytes);

/// Size limit of a sent datagram in bytes, so that it fits one Ethernet frame. Receivers accept up
/// to twice this size.
inline constexpr std::size_t maxDatagramBytes = 1400;

/// Membership protocol of one instance. \p Runtime provides the clock and timers, \p Port sends
/// datagrams by `port.send(address, bytes)`.
template <runtime_like Runtime, class Port>
class membership
{
public:
    membership(Runtime &runtime, Port &port, random_source &random, wire::member self,
               std::string key, membership_options options, membership_events events)
        : m_runtime(runtime)
        , m_port(port)
        , m_random(random)
        , m_self(std::move(self))
        , m_key(std::move(key))
        , m_options(options)
        , m_events(std::move(events))
    {
    }

    /// Starts probing and requests the member list of each of \p seeds.
    void start(const std::vector<std::string> &seeds)
    {
        m_seeds = seeds;
        for (const std::string &seed : m_seeds)
            sendSync(seed);
        m_lastTick = m_runtime.now();
        // A random phase keeps instances that start together from syncing at the same time.
        const double phase = m_random.uniform() * 10.0;
        m_lastSync = m_lastTick
                - duration(static_cast<std::int64_t>(
                        phase * static_cast<double>(m_options.syncPeriodPerMember.count())));
        // The first probe is sent at a random time within the period, so that instances that
        // start together do not probe in lockstep.
        const auto first = duration(static_cast<std::int64_t>(
                m_random.uniform() * static_cast<double>(m_options.period.count())));
        m_runtime.after(first, [this] { tick(); });
    }

    /// Adds seeds and requests their member lists, now and whenever no live member is known.
    void addSeeds(const std::vector<std::string> &seeds)
    {
        for (const std::string &seed : seeds) {
            if (std::find(m_seeds.begin(), m_seeds.end(), seed) != m_seeds.end())
                continue;
            m_seeds.push_back(seed);
            sendSync(seed);
        }
    }

    /// Sets the digest that all later datagrams carry.
    void setDigest(const epoch_digest &digest) { m_digest = digest; }

    /// Sends the current epoch and queued updates to \c fanout random members without waiting for
    /// the next probe.
    void gossipToRandomMembers()
    {
        for (const std::string &id : pickMembers(m_options.fanout, ""))
            sendTo(id, wire::datagram_rumor, 0, "");
    }

    /// Gossips that this instance stopped a version.
    void gossipVersionHealth(const wire::version_health &health)
    {
        m_health.push_back({health, retransmissions()});
        gossipToRandomMembers();
    }

    /// Announces that this instance is leaving. It continues to answer probes.
    void leave()
    {
        m_self.set_state(wire::member_leaving);
        m_self.set_incarnation(m_self.incarnation() + 1);
        enqueue(m_self);
        gossipToRandomMembers();
    }

    /// Handles one received datagram.
    void receive(std::string_view from, std::string_view bytes)
    {
        const auto message = openDatagram(m_key, bytes);
        if (!message || message->sender().id() == m_self.id())
            return;
        const bool isNew = m_members.count(message->sender().id()) == 0;
        merge(message->sender());
        for (const wire::member &update : message->updates())
            merge(update);
        handleEpoch(*message);
        for (const wire::version_health &health : message->health())
            handleVersionHealth(health);
        dispatch(from, *message, isNew);
        notifyAccusedSender(message->sender());
    }

    const std::map<std::string, wire::member> &members() const { return m_members; }
    const wire::member &self() const { return m_self; }

private:
    struct queued_update
    {
        wire::member member;
        int left = 0; ///< transmissions
    };
    struct queued_health
    {
        wire::version_health health;
        int left = 0; ///< transmissions
    };
    struct relayed_probe
    {
        std::string origin;
        std::uint64_t sequence = 0;
    };

    static bool isLive(const wire::member &item) { return item.state() != wire::member_dead; }

    double logSize() const { return std::log2(static_cast<double>(m_members.size()) + 2.0); }
    int retransmissions() const { return static_cast<int>(std::ceil(1.5 * logSize())); }

    void tick();
    void probeNext();

    void probeIndirectly(std::uint64_t sequence)
    {
        if (m_probeTarget.empty() || m_probeSequence != sequence)
            return;
        // Also probe directly once more: with packet loss, a missing ack seldom means a death.
        sendTo(m_probeTarget, wire::datagram_ping, sequence, "");
        for (const std::string &helper : pickMembers(m_options.indirectProbes, m_probeTarget))
            sendTo(helper, wire::datagram_ping_request, sequence, m_probeTarget);
    }

    void endProbe(std::uint64_t sequence);
    /// \returns the next member to probe, or nothing when no live member is known. Visits all live
    /// members in shuffled rounds, so that none waits long for its probe.
    std::string nextTarget();
    std::vector<std::string> pickMembers(std::size_t count, const std::string &except);
    wire::datagram compose(wire::datagram_kind kind, std::uint64_t sequence) const;
    void addUpdates(wire::datagram &message);
    void sendTo(const std::string &id, wire::datagram_kind kind, std::uint64_t sequence,
                const std::string &target);

    void sendSync(const std::string &address)
    {
        m_port.send(address, sealDatagram(m_key, compose(wire::datagram_sync, 0)));
    }

    void sendMemberList(std::string_view address);
    void dispatch(std::string_view from, const wire::datagram &message, bool isNew);
    /// If \p sender is recorded as suspect or dead, tells it so at once, so that it can refute.
    /// Gossip about its death may have ended long ago and would not reach it.
    void notifyAccusedSender(const wire::member &sender);

    void relay(const wire::datagram &message)
    {
        const std::uint64_t sequence = ++m_sequence;
        m_relayed[sequence] = {message.sender().id(), message.sequence()};
        if (m_relayed.size() > maxRelayedProbes)
            m_relayed.erase(m_relayed.begin());
        sendTo(message.target(), wire::datagram_ping, sequence, "");
    }

    void handleAck(const wire::datagram &message);
    void handleEpoch(const wire::datagram &message);

    void handleVersionHealth(const wire::version_health &health)
    {
        const std::string key = health.model() + "@" + health.version();
        if (!m_knownStoppedVersions.emplace(key, m_digest.epoch).second)
            return;
        m_health.push_back({health, retransmissions()});
        if (m_events.onHealth)
            m_events.onHealth(health);
    }

    /// Precedence of updates within one incarnation: dead over suspect over alive or leaving.
    static int statePrecedence(wire::member_state state)
    {
        switch (state) {
        case wire::member_alive:
        case wire::member_leaving:
            return 0;
        case wire::member_suspect:
            return 1;
        default:
            return 2;
        }
    }

    /// \returns true when \p received replaces \p known.
    static bool isSuperseded(const wire::member &known, const wire::member &received)
    {
        if (received.incarnation() != known.incarnation())
            return received.incarnation() > known.incarnation();
        return statePrecedence(received.state()) > statePrecedence(known.state());
    }

    void merge(const wire::member &received);

    void refute(const wire::member &received)
    {
        const bool accused
                = received.state() == wire::member_suspect || received.state() == wire::member_dead;
        if (!accused || received.incarnation() < m_self.incarnation())
            return;
        m_self.set_incarnation(received.incarnation() + 1);
        enqueue(m_self);
    }

    void startSuspicion(const wire::member &suspect);
    /// \returns the record to gossip: for a suspect or dead member only id, incarnation and state.
    static wire::member gossipRecord(const wire::member &item)
    {
        if (statePrecedence(item.state()) == 0)
            return item;
        wire::member brief;
        brief.set_id(item.id());
        brief.set_incarnation(item.incarnation());
        brief.set_state(item.state());
        return brief;
    }

    void enqueue(const wire::member &changed);
    void expireDead(time_point now);

    bool isLiveAddress(const std::string &address) const
    {
        return std::any_of(m_members.begin(), m_members.end(), [&](const auto &item) {
            return isLive(item.second) && item.second.gossip_address() == address;
        });
    }

    void syncIfDue(time_point now);
    static constexpr std::size_t maxRelayedProbes = 256;

    Runtime &m_runtime;
    Port &m_port;
    random_source &m_random;
    wire::member m_self;
    std::string m_key;
    membership_options m_options;
    membership_events m_events;
    epoch_digest m_digest;
    std::vector<std::string> m_seeds;
    std::map<std::string, wire::member> m_members;
    std::unordered_map<std::string, time_point> m_deadSince;
    std::vector<queued_update> m_updates;
    std::vector<queued_health> m_health;
    std::map<std::string, std::uint64_t> m_knownStoppedVersions;
    std::vector<std::string> m_probeOrder;
    std::map<std::uint64_t, relayed_probe> m_relayed;
    std::string m_probeTarget;
    std::uint64_t m_probeSequence = 0;
    std::uint64_t m_sequence = 0;
    time_point m_lastTick{};
    time_point m_lastSync{};
};

} // namespace laurelcroft

#include "laurelcroft/Fleet/MembershipImpl.h"

#endif
