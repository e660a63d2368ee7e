//===-- Fleet/Membership.h - who is alive, leaving or new --------*- C++ -*-===//
//
// Failure detection by probing one member a period, with indirect probes and a
// suspicion that the suspect may refute (the SWIM scheme). Changes ride on the
// probes in a bounded number, so that the cost of a node does not grow with the
// fleet. Every datagram carries the sender's bundle epoch.
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

/// Periods and bounds of the protocol; docs/CAPACITY.md derives them.
struct membership_options
{
    duration period = milliseconds(1000); ///< one probe a period
    duration probeTimeout = milliseconds(300); ///< then indirect probes
    double suspicionPeriods = 3.0; ///< times log10 of the size, at least this many
    std::size_t indirectProbes = 3; ///< indirect probes
    std::size_t fanout = 4; ///< receivers of a rumor at each hop
    std::size_t maxUpdateBytes = 260; ///< of member changes on a datagram
    std::size_t membersPerSyncDatagram = 10; ///< members on a datagram of a full list
    duration deadRetention = seconds(600); ///< how long a death is remembered
    duration syncPeriodPerMember = milliseconds(1500); ///< period of full exchanges, times the size
};

/// What the bundle side tells the membership side to put on datagrams.
struct epoch_digest
{
    std::uint64_t epoch = 0;
    bool confirmed = false;
    time_point confirmedAt{};
};

/// What others are told through \c membership_events.
struct epoch_observation
{
    std::string from; ///< instance
    std::uint64_t epoch = 0;
    bool confirmed = false;
    duration confirmedAge{}; ///< since somebody read the table's row
};

struct membership_events
{
    std::function<void(const wire::member &)> onMember; ///< new, or changed state or incarnation
    std::function<void(const epoch_observation &)> onEpoch;
    std::function<void(const wire::version_health &)> onHealth; ///< another's stop of a version
};

/// Adds a short MAC in front, so that only the site's own processes are heard.
std::string sealDatagram(std::string_view key, const wire::datagram &message);

/// \returns nothing for a datagram that is malformed or not of this site.
std::optional<wire::datagram> openDatagram(std::string_view key, std::string_view bytes);

/// Largest datagram that is sent or read, in bytes; fits one Ethernet frame.
inline constexpr std::size_t maxDatagramBytes = 1400;

/// The protocol of one instance. \p Runtime gives clock and timers, \p Port sends:
/// `port.send(address, bytes)`.
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

    /// Begins to probe and asks each of \p seeds for its member list.
    void start(const std::vector<std::string> &seeds)
    {
        m_seeds = seeds;
        for (const std::string &seed : m_seeds)
            sendSync(seed);
        m_lastTick = m_runtime.now();
        // Full exchanges fall at random times as well.
        const double phase = m_random.uniform() * 10.0;
        m_lastSync = m_lastTick
                - duration(static_cast<std::int64_t>(
                        phase * static_cast<double>(m_options.syncPeriodPerMember.count())));
        // The first probe falls at a random part of the period: a fleet that starts
        // together must not probe in step.
        const auto first = duration(static_cast<std::int64_t>(
                m_random.uniform() * static_cast<double>(m_options.period.count())));
        m_runtime.after(first, [this] { tick(); });
    }

    /// Asks further instances for their lists, now and whenever nobody is known.
    void addSeeds(const std::vector<std::string> &seeds)
    {
        for (const std::string &seed : seeds) {
            if (std::find(m_seeds.begin(), m_seeds.end(), seed) != m_seeds.end())
                continue;
            m_seeds.push_back(seed);
            sendSync(seed);
        }
    }

    /// Puts \p digest on all datagrams from now on.
    void setDigest(const epoch_digest &digest) { m_digest = digest; }

    /// Tells a few members at once what is new here: an epoch, a stop, a stopped version.
    void gossipToRandomMembers()
    {
        for (const std::string &id : pickMembers(m_options.fanout, ""))
            sendTo(id, wire::datagram_rumor, 0, "");
    }

    /// Spreads that this instance stopped a version.
    void gossipVersionHealth(const wire::version_health &health)
    {
        m_health.push_back({health, retransmissions()});
        gossipToRandomMembers();
    }

    /// Announces that this instance is leaving; it goes on answering probes.
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
        int left = 0;
    };
    struct queued_health
    {
        wire::version_health health;
        int left = 0;
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
        // Asked once more directly: with loss, silence is seldom a death.
        sendTo(m_probeTarget, wire::datagram_ping, sequence, "");
        for (const std::string &helper : pickMembers(m_options.indirectProbes, m_probeTarget))
            sendTo(helper, wire::datagram_ping_request, sequence, m_probeTarget);
    }

    void endProbe(std::uint64_t sequence);
    /// Goes round all members in a random order, so that none waits long for its probe.
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
    /// A member that is taken for dead or suspect but speaks is told so at once, so that
    /// it can refute; the news of its death may have been told to all long ago.
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

    /// Order of news about one life of a member: dead beats suspect beats alive.
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

    static bool isSuperseded(const wire::member &known, const wire::member &heard)
    {
        if (heard.incarnation() != known.incarnation())
            return heard.incarnation() > known.incarnation();
        return statePrecedence(heard.state()) > statePrecedence(known.state());
    }

    void merge(const wire::member &heard);

    void refute(const wire::member &heard)
    {
        const bool accused
                = heard.state() == wire::member_suspect || heard.state() == wire::member_dead;
        if (!accused || heard.incarnation() < m_self.incarnation())
            return;
        m_self.set_incarnation(heard.incarnation() + 1);
        enqueue(m_self);
    }

    void startSuspicion(const wire::member &suspect);
    /// \returns what is told of \p item: of a suspect or dead one only its name and life.
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
