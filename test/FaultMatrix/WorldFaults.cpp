//===-- WorldFaults.cpp - effects of the injected faults --------------------===//
//
// step() decides when a fault is due; injectFault() carries it out.
//
//===----------------------------------------------------------------------===//
#include "World.h"

using namespace laurelcroft;
using namespace laurelcroft::testing;

namespace {

constexpr duration pingTimeout = seconds(4);
constexpr duration cutLength = seconds(6);
constexpr duration freezeLength = seconds(5);
constexpr duration tableOutage = seconds(20);
constexpr duration tableSlowness = seconds(10);
constexpr duration poolOutage = seconds(2);
constexpr duration stopPeriod = milliseconds(100);
constexpr duration minStopDuration = milliseconds(500);

} // namespace

void simulated_site::beginPlannedStop(fake_instance &victim)
{
    if (victim.leaving || !victim.runtime.isRunning())
        return;
    if (activeSabotage == sabotage::cutOnStop) {
        stoppedAt[victim.id] = clock.now();
        kill(victim);
        return;
    }
    victim.leaving = true;
    victim.stopBeganAt = clock.now();
    stoppedAt[victim.id] = clock.now();
    if (fake_entry *const entry = findEntry(victim.id))
        entry->core->drain();
    fake_agent *const agent = findAgent(victim.id);
    if (agent != nullptr && activeSabotage != sabotage::leavingWork)
        agent->core->drain();
    if (activeSabotage != sabotage::leavingWork)
        announceMember(victim, wire::member_leaving, milliseconds(300));
}

/// Ends draining processes once they are idle, as the real programs do.
void simulated_site::stopTick()
{
    for (fake_instance *item : instances()) {
        const bool minTimePassed = clock.now() - item->stopBeganAt >= minStopDuration;
        const bool ignoresStop = activeSabotage == sabotage::leavingWork;
        if (item->leaving && minTimePassed && !ignoresStop && item->runtime.isRunning()
            && item->isIdle())
            kill(*item, true);
    }
    clock.after(stopPeriod, [this] { stopTick(); });
}

void simulated_site::kill(fake_instance &victim, bool asPlanned)
{
    if (victim.runtime.isDead())
        return;
    victim.runtime.kill();
    m_deadIds.insert(victim.id);
    if (!asPlanned)
        killed.insert(victim.id);
    announceMember(victim, wire::member_dead, membershipDelay);
    std::vector<std::uint64_t> brokenStreams;
    for (const auto &[id, stream] : streams) {
        if (stream.entry == victim.id || stream.agent == victim.id)
            brokenStreams.push_back(id);
    }
    const std::string id = victim.id;
    if (auto node = m_agents.extract(id); !node.empty()) {
        node.mapped()->runningWork.clear();
        m_stoppedInstances.push_back(std::move(node.mapped()));
        for (auto &[entryId, entry] : m_entries)
            entry->runtime.run(
                    [raw = entry.get(), id] { raw->core->directory().onUnreachable(id); });
    }
    if (auto node = m_entries.extract(id); !node.empty())
        m_stoppedInstances.push_back(std::move(node.mapped()));
    for (auto &[callerId, record] : callers) {
        if (record.entry != id || record.ended)
            continue;
        record.ended = true;
        record.connectionLost = true;
        record.answeredAt = clock.now();
    }
    for (const std::uint64_t stream : brokenStreams)
        breakStream(stream);
}

void simulated_site::freeze(fake_instance &victim, duration length)
{
    if (!victim.runtime.isRunning())
        return;
    victim.runtime.freeze();
    const std::string id = victim.id;
    announceMember(victim, wire::member_dead, membershipDelay);
    clock.after(pingTimeout, [this, id] {
        fake_instance *const frozen = find(id);
        if (frozen == nullptr || !frozen->runtime.isFrozen())
            return;
        std::vector<std::uint64_t> brokenStreams;
        for (const auto &[streamId, stream] : streams) {
            if (stream.entry == id || stream.agent == id)
                brokenStreams.push_back(streamId);
        }
        for (const std::uint64_t stream : brokenStreams)
            breakStream(stream);
    });
    clock.after(length, [this, id] {
        fake_instance *const frozen = find(id);
        if (frozen == nullptr)
            return;
        frozen->runtime.thaw();
        announceMember(*frozen, wire::member_alive, milliseconds(500));
    });
}

bool simulated_site::isCut(const std::string &a, const std::string &b) const
{
    return cuts.count({a, b}) != 0 || cuts.count({b, a}) != 0;
}

void simulated_site::cutPair(const std::string &a, const std::string &b, duration length)
{
    cuts.insert({a, b});
    clock.after(pingTimeout, [this, a, b] {
        if (!isCut(a, b))
            return;
        std::vector<std::uint64_t> brokenStreams;
        for (const auto &[id, stream] : streams) {
            if (stream.entry == a && stream.agent == b)
                brokenStreams.push_back(id);
        }
        for (const std::uint64_t id : brokenStreams)
            breakStream(id);
        if (fake_entry *const entry = findEntry(a))
            entry->runtime.run([entry, b] { entry->core->directory().onUnreachable(b); });
    });
    clock.after(length, [this, a, b] {
        cuts.erase({a, b});
        for (auto &[id, stream] : streams) {
            if (stream.entry != a || stream.agent != b)
                continue;
            auto held = std::move(stream.held);
            stream.held.clear();
            for (auto &action : held)
                clock.after(latency, std::move(action));
        }
    });
}

void simulated_site::step(const std::string &name, bool after, fake_entry *entry, fake_agent *agent)
{
    auto &counts = after ? afterCounts : stepCounts;
    const int passed = ++counts[name];
    for (fault_point &fault : faults) {
        const bool here = fault.kind != fault_kind::none && name == fault.step
                && after == fault.after && passed == fault.occurrence;
        if (!here)
            continue;
        const fault_kind kind = std::exchange(fault.kind, fault_kind::none);
        injectedFaults.push_back(kind);
        injectFault(kind, entry, agent);
    }
}

bool simulated_site::wasInjected(fault_kind kind) const
{
    return std::find(injectedFaults.begin(), injectedFaults.end(), kind) != injectedFaults.end();
}

void simulated_site::injectFault(fault_kind kind, fake_entry *entry, fake_agent *agent)
{
    const time_point now = clock.now();
    switch (kind) {
    case fault_kind::none:
    case fault_kind::callerRepeats: // carried out by the scenario
        break;
    case fault_kind::killEntry:
        if (entry != nullptr)
            kill(*entry);
        break;
    case fault_kind::killAgent:
        if (agent != nullptr)
            kill(*agent);
        break;
    case fault_kind::freezeEntry:
        if (entry != nullptr)
            freeze(*entry, freezeLength);
        break;
    case fault_kind::freezeAgent:
        if (agent != nullptr)
            freeze(*agent, freezeLength);
        break;
    case fault_kind::resetLink: {
        std::vector<std::uint64_t> all;
        for (const auto &[id, stream] : streams)
            all.push_back(id);
        for (const std::uint64_t id : all)
            breakStream(id);
        break;
    }
    case fault_kind::cutLink:
        if (entry != nullptr && agent != nullptr)
            cutPair(entry->id, agent->id, cutLength);
        break;
    case fault_kind::tableDown:
        store.downUntil = now + tableOutage;
        break;
    case fault_kind::tableSlow:
        store.slowUntil = now + tableSlowness;
        break;
    case fault_kind::loseAnswer:
        store.loseNextAnswer = true;
        break;
    case fault_kind::loseRequest:
        store.loseNextRequest = true;
        break;
    case fault_kind::engineFails:
        failNextWork = true;
        break;
    case fault_kind::poolFull:
        for (auto &[id, item] : m_agents)
            item->core->setMaxAttempts(0);
        clock.after(poolOutage, [this] {
            for (auto &[id, item] : m_agents)
                item->core->setMaxAttempts(64);
        });
        break;
    case fault_kind::stopEntry:
        if (entry != nullptr)
            beginPlannedStop(*entry);
        break;
    case fault_kind::stopAgent:
        if (agent != nullptr)
            beginPlannedStop(*agent);
        break;
    case fault_kind::replaceAll: {
        duration when{0};
        for (fake_instance *item : instances()) {
            clock.after(when, [this, id = item->id] {
                fake_instance *const old = find(id);
                if (old == nullptr)
                    return;
                const std::string newId = id + "n" + std::to_string(++m_replacements);
                if (const fake_agent *const oldAgent = findAgent(id))
                    addAgent(newId, old->dataCentre, oldAgent->pool);
                else
                    addEntry(newId, old->dataCentre);
                beginPlannedStop(*old);
            });
            when += seconds(2);
        }
        break;
    }
    case fault_kind::loseDataCentre:
        for (fake_instance *item : instances()) {
            if (item->dataCentre == "dc1")
                kill(*item);
        }
        break;
    case fault_kind::lateMembership:
        membershipDelay = seconds(10);
        if (agent != nullptr)
            kill(*agent);
        break;
    case fault_kind::withdraw: {
        bundle next = accepted.back();
        for (model &item : next.models) {
            for (model_version &version : item.versions) {
                if (version.name == "2")
                    version.state = version_state::withdrawn;
            }
        }
        acceptBundle(next);
        break;
    }
    }
}
