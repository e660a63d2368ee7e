//===-- Fleet/MembershipImpl.h - templates of Membership.h -------*- C++ -*-===//
//
// Definitions of the member templates. Included by Membership.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_MEMBERSHIPIMPL_H
#define LAURELCROFT_FLEET_MEMBERSHIPIMPL_H

namespace laurelcroft {

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::tick()
{
    const time_point now = m_runtime.now();
    const duration gap = now - m_lastTick;
    m_lastTick = now;
    m_runtime.after(m_options.period, [this] { tick(); });
    // While this process was frozen it could not receive acks: do not suspect the probed member.
    const bool wasFrozen = gap > 2 * m_options.period;
    if (wasFrozen)
        m_probeTarget.clear();
    expireDead(now);
    syncIfDue(now);
    probeNext();
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::probeNext()
{
    const std::string target = nextTarget();
    if (target.empty()) {
        for (const std::string &seed : m_seeds)
            sendSync(seed);
        return;
    }
    m_probeTarget = target;
    const std::uint64_t sequence = ++m_sequence;
    m_probeSequence = sequence;
    sendTo(target, wire::datagram_ping, sequence, "");
    m_runtime.after(m_options.probeTimeout, [this, sequence] { probeIndirectly(sequence); });
    m_runtime.after(m_options.period * 9 / 10, [this, sequence] { endProbe(sequence); });
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::endProbe(std::uint64_t sequence)
{
    if (m_probeTarget.empty() || m_probeSequence != sequence)
        return;
    const auto it = m_members.find(m_probeTarget);
    m_probeTarget.clear();
    if (it == m_members.end() || it->second.state() == wire::member_dead)
        return;
    if (it->second.state() == wire::member_suspect)
        return;
    wire::member suspect = it->second;
    suspect.set_state(wire::member_suspect);
    merge(suspect);
}

template <runtime_like Runtime, class Port>
auto membership<Runtime, Port>::nextTarget() -> std::string
{
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            std::string id = std::move(m_probeOrder.back());
            m_probeOrder.pop_back();
            const auto it = m_members.find(id);
            if (it != m_members.end() && isLive(it->second))
                return id;
        }
        for (const auto &[id, item] : m_members) {
            if (isLive(item))
                m_probeOrder.push_back(id);
        }
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random.engine());
    }
    return {};
}

template <runtime_like Runtime, class Port>
auto membership<Runtime, Port>::pickMembers(std::size_t count, const std::string &except)
        -> std::vector<std::string>
{
    std::vector<std::string> ids;
    for (const auto &[id, item] : m_members) {
        if (isLive(item) && id != except)
            ids.push_back(id);
    }
    std::shuffle(ids.begin(), ids.end(), m_random.engine());
    if (ids.size() > count)
        ids.resize(count);
    return ids;
}

template <runtime_like Runtime, class Port>
auto membership<Runtime, Port>::compose(wire::datagram_kind kind, std::uint64_t sequence) const
        -> wire::datagram
{
    wire::datagram message;
    message.set_kind(kind);
    message.set_sequence(sequence);
    message.set_bundle_epoch(m_digest.epoch);
    *message.mutable_sender() = m_self;
    constexpr std::int64_t neverConfirmed = UINT32_MAX;
    std::int64_t age = neverConfirmed;
    if (m_digest.confirmed)
        age = std::chrono::duration_cast<milliseconds>(m_runtime.now() - m_digest.confirmedAt)
                      .count();
    message.set_confirmed_age_ms(
            static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, neverConfirmed)));
    return message;
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::addUpdates(wire::datagram &message)
{
    // Deaths, suspicions and planned stops precede joins; within each group, the updates with the
    // most transmissions left come first.
    const auto urgency = [](const queued_update &item) {
        const bool isJoin = item.member.state() == wire::member_alive;
        return std::pair(isJoin ? 0 : 1, item.left);
    };
    std::stable_sort(m_updates.begin(), m_updates.end(),
                     [&](const auto &a, const auto &b) { return urgency(a) > urgency(b); });
    std::size_t bytes = 0;
    for (queued_update &item : m_updates) {
        const std::size_t size = item.member.ByteSizeLong();
        if (bytes + size > m_options.maxUpdateBytes)
            break;
        bytes += size;
        *message.add_updates() = item.member;
        item.left -= 1;
    }
    std::erase_if(m_updates, [](const queued_update &item) { return item.left <= 0; });
    for (queued_health &item : m_health) {
        *message.add_health() = item.health;
        item.left -= 1;
    }
    std::erase_if(m_health, [](const queued_health &item) { return item.left <= 0; });
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::sendTo(const std::string &id, wire::datagram_kind kind,
                                       std::uint64_t sequence, const std::string &target)
{
    const auto it = m_members.find(id);
    if (it == m_members.end())
        return;
    wire::datagram message = compose(kind, sequence);
    message.set_target(target);
    addUpdates(message);
    m_port.send(it->second.gossip_address(), sealDatagram(m_key, message));
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::sendMemberList(std::string_view address)
{
    wire::datagram message = compose(wire::datagram_ack, 0);
    for (const auto &[id, item] : m_members) {
        *message.add_updates() = item;
        if (static_cast<std::size_t>(message.updates_size()) < m_options.membersPerSyncDatagram)
            continue;
        m_port.send(std::string(address), sealDatagram(m_key, message));
        message.clear_updates();
    }
    m_port.send(std::string(address), sealDatagram(m_key, message));
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::dispatch(std::string_view from, const wire::datagram &message,
                                         bool isNew)
{
    const std::string &sender = message.sender().id();
    switch (message.kind()) {
    case wire::datagram_ping:
        sendTo(sender, wire::datagram_ack, message.sequence(), "");
        break;
    case wire::datagram_ping_request:
        relay(message);
        break;
    case wire::datagram_ack:
        handleAck(message);
        break;
    case wire::datagram_sync:
        sendMemberList(from);
        break;
    default:
        break;
    }
    // A new member whose ping arrives before its sync request is asked for its member list.
    if (isNew && message.kind() == wire::datagram_ping)
        sendSync(message.sender().gossip_address());
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::notifyAccusedSender(const wire::member &sender)
{
    const auto it = m_members.find(sender.id());
    const bool accused = it != m_members.end() && statePrecedence(it->second.state()) > 0;
    if (!accused || it->second.incarnation() < sender.incarnation())
        return;
    wire::datagram message = compose(wire::datagram_rumor, 0);
    *message.add_updates() = it->second;
    m_port.send(sender.gossip_address(), sealDatagram(m_key, message));
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::handleAck(const wire::datagram &message)
{
    if (message.sequence() == m_probeSequence)
        m_probeTarget.clear();
    const auto it = m_relayed.find(message.sequence());
    if (it == m_relayed.end())
        return;
    sendTo(it->second.origin, wire::datagram_ack, it->second.sequence, "");
    m_relayed.erase(it);
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::handleEpoch(const wire::datagram &message)
{
    if (!m_events.onEpoch)
        return;
    epoch_observation sighting;
    sighting.from = message.sender().id();
    sighting.epoch = message.bundle_epoch();
    sighting.confirmed = message.confirmed_age_ms() != UINT32_MAX;
    sighting.confirmedAge = milliseconds(message.confirmed_age_ms());
    m_events.onEpoch(sighting);
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::merge(const wire::member &received)
{
    if (received.id().empty())
        return;
    if (received.id() == m_self.id()) {
        refute(received);
        return;
    }
    const auto it = m_members.find(received.id());
    if (it == m_members.end() && received.state() == wire::member_dead)
        return;
    if (it != m_members.end() && !isSuperseded(it->second, received))
        return;
    const bool isNew = it == m_members.end();
    // A suspect or dead record carries no address and cannot introduce an unknown member.
    if (isNew && received.gossip_address().empty())
        return;
    wire::member &known = m_members[received.id()];
    const bool visible = isNew || known.state() != received.state()
            || known.incarnation() != received.incarnation();
    if (received.gossip_address().empty()) {
        known.set_state(received.state());
        known.set_incarnation(received.incarnation());
    } else {
        known = received;
    }
    enqueue(known);
    if (known.state() == wire::member_suspect)
        startSuspicion(known);
    if (known.state() == wire::member_dead)
        m_deadSince[known.id()] = m_runtime.now();
    // Forward a planned stop at once, so that the member's endpoint gets no new work.
    if (visible && known.state() == wire::member_leaving)
        gossipToRandomMembers();
    if (visible && m_events.onMember)
        m_events.onMember(wire::member(known));
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::startSuspicion(const wire::member &suspect)
{
    const double periods = m_options.suspicionPeriods
            * std::max(1.0, std::log10(static_cast<double>(m_members.size()) + 1.0));
    const auto wait = duration(
            static_cast<std::int64_t>(periods * static_cast<double>(m_options.period.count())));
    m_runtime.after(wait, [this, id = suspect.id(), life = suspect.incarnation()] {
        const auto it = m_members.find(id);
        if (it == m_members.end() || it->second.incarnation() != life
            || it->second.state() != wire::member_suspect)
            return;
        wire::member dead = it->second;
        dead.set_state(wire::member_dead);
        merge(dead);
    });
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::enqueue(const wire::member &changed)
{
    const wire::member item = gossipRecord(changed);
    for (queued_update &queued : m_updates) {
        if (queued.member.id() != item.id())
            continue;
        queued = {item, retransmissions()};
        return;
    }
    m_updates.push_back({item, retransmissions()});
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::expireDead(time_point now)
{
    for (auto it = m_deadSince.begin(); it != m_deadSince.end();) {
        const auto found = m_members.find(it->first);
        const bool stillDead
                = found != m_members.end() && found->second.state() == wire::member_dead;
        if (stillDead && now - it->second < m_options.deadRetention) {
            ++it;
            continue;
        }
        if (stillDead)
            m_members.erase(found);
        it = m_deadSince.erase(it);
    }
}

template <runtime_like Runtime, class Port>
void membership<Runtime, Port>::syncIfDue(time_point now)
{
    const duration wait = m_options.syncPeriodPerMember * static_cast<int>(m_members.size() + 10);
    if (now - m_lastSync < wait)
        return;
    m_lastSync = now;
    // Also sync with a random seed unless it is known to be alive. This rejoins the halves of a
    // partition that lasted until each declared the other dead. Live seeds are skipped, since
    // otherwise they would get the sync requests of the whole fleet.
    if (!m_seeds.empty()) {
        const std::string &seed = m_seeds[m_random.index(m_seeds.size())];
        if (!isLiveAddress(seed))
            sendSync(seed);
    }
    for (const std::string &id : pickMembers(1, ""))
        sendSync(m_members[id].gossip_address());
}

} // namespace laurelcroft

#endif
