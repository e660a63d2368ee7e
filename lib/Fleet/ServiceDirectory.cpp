//===-- ServiceDirectory.cpp - endpoints without an agent -------------------===//
//
// Inferred state decays over time, so a failed endpoint is tried again without a probe.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/ServiceDirectory.h"

#include "laurelcroft/Support/Crypto.h"
#include "laurelcroft/Support/Decay.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

using namespace laurelcroft;

namespace {

/// Half-life of an answer's weight in the failure rate. Long compared with the time between two
/// answers of one endpoint, short compared with a fault.
constexpr milliseconds failureHalfLife{3000};
/// Half-life of a load report's weight; about the duration of a request.
constexpr milliseconds reportHalfLife{1000};
/// How long an unreachable endpoint is avoided at first, and how often that time may double.
constexpr milliseconds initialAvoidance{500};
constexpr unsigned maxDoublings = 3;
/// How long a full endpoint is avoided; a few steps of its batch.
constexpr milliseconds fullAvoidance{100};
/// Upper bound of ceil(rate) / rate for rates above 1; lower rates need only the latest send.
constexpr seconds maxRateWindow{2};
/// Successes assumed before the first answer, so that one failure does not dominate the rate.
constexpr double priorAnswers = 3;

} // namespace

service_endpoint::service_endpoint(endpoint_record record)
    : m_record(std::move(record))
    , m_idHash(stableHash(m_record.id))
{
}

void service_endpoint::recordLoadReport(const endpoint_load &load, time_point now)
{
    const double total = static_cast<double>(load.running) + load.waiting;
    m_otherCallersLoad = std::max(0.0, total - m_running);
    m_reportedQueue = load.waiting;
    m_reportedAt = now;
    if (load.slowdown)
        m_pace.noteStated(*load.slowdown, now);
}

double service_endpoint::expectedQueue(time_point now) const
{
    return m_reportedQueue * reportWeight(now);
}

double service_endpoint::expectedLoad(time_point now) const
{
    return m_running + m_otherCallersLoad * reportWeight(now);
}

double service_endpoint::reportWeight(time_point now) const
{
    return decayFactor(now - m_reportedAt, reportHalfLife);
}

void service_endpoint::setRateLimit(std::optional<double> perSecond, time_point now)
{
    m_rateLimit = perSecond;
    m_rateLimitReportedAt = now;
}

void service_endpoint::recordSend(time_point now)
{
    while (m_sent.size() > 1 && now - m_sent.front() > maxRateWindow)
        m_sent.pop_front();
    m_sent.push_back(now);
}

time_point service_endpoint::nextSendAllowedAt(double perSecond) const
{
    const double most = std::ceil(perSecond);
    if (static_cast<double>(m_sent.size()) < most)
        return {};
    const std::chrono::duration<double> window(most / perSecond);
    const time_point first = m_sent[m_sent.size() - static_cast<std::size_t>(most)];
    return first + std::chrono::ceil<duration>(window);
}

void service_endpoint::addRemotePrefill(milliseconds prefill, time_point now)
{
    m_remotePrefillUntil = std::max(m_remotePrefillUntil, now) + prefill;
}

double service_endpoint::remotePrefillMs(time_point now) const
{
    const std::chrono::duration<double, std::milli> left = m_remotePrefillUntil - now;
    return std::max(0.0, left.count());
}

void service_endpoint::decay(time_point now)
{
    const double keep = decayFactor(now - m_decayedAt, failureHalfLife);
    m_successWeight *= keep;
    m_failureWeight *= keep;
    m_decayedAt = now;
}

void service_endpoint::recordSuccess(time_point now)
{
    decay(now);
    m_successWeight += 1;
    m_consecutiveUnreachable = 0;
}

void service_endpoint::recordFailure(time_point now)
{
    decay(now);
    m_failureWeight += 1;
}

void service_endpoint::recordUnreachable(time_point now)
{
    const unsigned doublings = std::min(m_consecutiveUnreachable, maxDoublings);
    m_avoidedUntil = now + initialAvoidance * (1U << doublings);
    ++m_consecutiveUnreachable;
}

void service_endpoint::recordFull(time_point now)
{
    m_avoidedUntil = std::max(m_avoidedUntil, now + fullAvoidance);
}

double service_endpoint::failureRate(time_point now) const
{
    const double keep = decayFactor(now - m_decayedAt, failureHalfLife);
    return m_failureWeight * keep / ((m_successWeight + m_failureWeight) * keep + priorAnswers);
}

bool endpoint_record::isEquivalentTo(const endpoint_record &other) const
{
    const auto fields = [](const endpoint_record &item) {
        return std::tie(item.id, item.service, item.host, item.port, item.dataCentre,
                        item.softwareVersion, item.slots, item.leaving, item.startedAt);
    };
    return fields(*this) == fields(other);
}

bool endpoint_record::isLaterIncarnationThan(const endpoint_record &other) const
{
    return startedAt != 0 && other.startedAt != 0 && startedAt > other.startedAt;
}

void service_directory::invalidateUsable()
{
    m_usable.clear();
    ++m_revision;
}

bool service_directory::claimAddress(const endpoint_record &record)
{
    if (record.port == 0 || record.rowVersion == unknownVersion)
        return true;
    const address place{record.host, record.port};
    const auto holder = m_idByAddress.find(place);
    if (holder != m_idByAddress.end() && holder->second != record.id) {
        const std::string other = holder->second;
        if (m_endpoints.at(other)->record().rowVersion > record.rowVersion)
            return false;
        drop(other);
    }
    m_idByAddress[place] = record.id;
    return true;
}

bool service_directory::hasDeparted(const endpoint_record &record) const
{
    const auto departed = m_departed.find(record.id);
    if (departed == m_departed.end())
        return false;
    endpoint_record before;
    before.startedAt = departed->second;
    return !record.isLaterIncarnationThan(before);
}

bool service_directory::mayBeFromCopy(const endpoint_record &record, time_point now) const
{
    return now < m_copyDoubtedUntil && record.rowVersion.era == m_returnVersion.era
            && record.rowVersion <= m_returnVersion;
}

bool service_directory::isDoubted(const endpoint_record &record, time_point now)
{
    const auto removed = m_removedIn.find(record.id);
    const bool isDoubtful = removed != m_removedIn.end() && removed->second < record.rowVersion.era
            && mayBeFromCopy(record, now);
    if (isDoubtful)
        m_doubted[record.id] = record;
    return isDoubtful;
}

void service_directory::apply(endpoint_record record, time_point now, bool claimsAddress)
{
    // Ignore a late heartbeat of an endpoint that has left.
    if (hasDeparted(record) || isDoubted(record, now))
        return;
    if (const auto known = m_endpoints.find(record.id); known != m_endpoints.end()) {
        if (known->second->record().isLaterIncarnationThan(record))
            return;
        // After a restart, nothing that was inferred for the endpoint holds.
        if (record.isLaterIncarnationThan(known->second->record()))
            drop(record.id);
    }
    m_departed.erase(record.id);
    m_lapsed.erase(record.id);
    m_removedIn.erase(record.id);
    m_doubted.erase(record.id);
    const auto it = m_endpoints.find(record.id);
    if (it != m_endpoints.end()) {
        if (!record.isEquivalentTo(it->second->record()))
            invalidateUsable();
        // Once an endpoint is leaving, it stays so until it restarts.
        record.leaving = record.leaving || it->second->record().leaving;
        const bool isWarmer = now + record.coldLeft < it->second->coldUntil();
        if (!isWarmer || !mayBeFromCopy(record, now))
            it->second->setColdFor(record.coldLeft, now);
        it->second->update(std::move(record));
        return;
    }
    if (claimsAddress && !claimAddress(record))
        return;
    add(std::move(record), now);
}

void service_directory::add(endpoint_record &&record, time_point now)
{
    const std::string id = record.id;
    const milliseconds coldLeft = record.coldLeft;
    const auto endpoint = std::make_shared<service_endpoint>(std::move(record));
    endpoint->setColdFor(coldLeft, now);
    m_endpoints.emplace(id, endpoint);
    invalidateUsable();
    expire(now);
}

void service_directory::drop(std::string_view id)
{
    if (const auto lapse = m_lapsed.find(id); lapse != m_lapsed.end())
        m_lapsed.erase(lapse);
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return;
    it->second->setRemoved();
    if (it->second->isLeaving()) {
        if (m_departed.size() >= maxDeparted)
            m_departed.erase(m_departed.begin());
        m_departed.emplace(it->first, it->second->record().startedAt);
    } else {
        if (m_removedIn.size() >= maxDeparted)
            m_removedIn.erase(m_removedIn.begin());
        m_removedIn[it->first] = it->second->record().rowVersion.era;
    }
    const endpoint_record &record = it->second->record();
    const auto place = m_idByAddress.find({record.host, record.port});
    if (place != m_idByAddress.end() && place->second == id)
        m_idByAddress.erase(place);
    m_endpoints.erase(it);
    invalidateUsable();
}

bool service_directory::setLeaving(std::string_view id, std::uint64_t startedAt)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end() || it->second->record().startedAt != startedAt)
        return false;
    if (it->second->isLeaving())
        return false;
    it->second->setStatedLeaving();
    invalidateUsable();
    return true;
}

bool service_directory::remove(std::string_view id, time_point now, store_version version)
{
    if (const auto doubted = m_doubted.find(id); doubted != m_doubted.end())
        m_doubted.erase(doubted);
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return true;
    // The removal is older than the known row: the endpoint has come back since.
    if (version != unknownVersion && version < it->second->record().rowVersion)
        return false;
    if (now >= m_removalsTrustedFrom || it->second->isLeaving()) {
        drop(id);
        return true;
    }
    m_lapsed.emplace(id, m_removalsTrustedFrom);
    return false;
}

void service_directory::replaceAll(std::vector<endpoint_record> records, time_point now)
{
    std::vector<std::string> missing;
    for (const auto &[id, endpoint] : m_endpoints) {
        const bool listed
                = std::any_of(records.begin(), records.end(),
                              [&id = id](const endpoint_record &item) { return item.id == id; });
        if (!listed)
            missing.push_back(id);
    }
    for (const std::string &id : missing)
        remove(id, now);
    for (endpoint_record &record : records)
        apply(std::move(record), now);
}

void service_directory::storeLost(time_point now)
{
    m_isStoreUnavailable = true;
    m_removalsTrustedFrom = now + lapseGrace;
}

void service_directory::storeRegained(time_point now)
{
    if (!m_isStoreUnavailable)
        return;
    m_isStoreUnavailable = false;
    m_removalsTrustedFrom = now + lapseGrace;
    for (auto &[id, until] : m_lapsed)
        until = m_removalsTrustedFrom;
}

void service_directory::deferRemovalsUntil(time_point until)
{
    m_removalsTrustedFrom = std::max(m_removalsTrustedFrom, until);
}

void service_directory::storeReturned(store_version version, time_point now)
{
    m_returnVersion = version;
    m_copyDoubtedUntil = now + copyDoubtTime;
    m_doubted.clear();
    // The records of the copy may be older than the data centre's return.
    for (auto &[place, back] : m_takenBack)
        back.version = {version.era, std::numeric_limits<std::uint64_t>::max()};
}

void service_directory::expire(time_point now)
{
    if (!m_doubted.empty() && now >= m_copyDoubtedUntil) {
        for (auto &[id, record] : std::exchange(m_doubted, {}))
            apply(std::move(record), now);
    }
    if (m_isStoreUnavailable || m_lapsed.empty())
        return;
    std::vector<std::string> due;
    for (const auto &[id, until] : m_lapsed) {
        if (now >= until)
            due.push_back(id);
    }
    for (const std::string &id : due)
        drop(id);
}

void service_directory::setEvacuated(std::set<std::string> dataCentres, time_point now,
                                     store_version version)
{
    for (const std::string &place : m_evacuated) {
        if (dataCentres.count(place) == 0 && version > m_recordsVersion)
            m_takenBack[place] = {version, now + maxAssumedColdTime};
    }
    for (const std::string &place : dataCentres)
        m_takenBack.erase(place);
    for (const auto &[id, endpoint] : m_endpoints) {
        const std::string &place = endpoint->record().dataCentre;
        const bool isTakenBack = m_evacuated.count(place) != 0 && dataCentres.count(place) == 0;
        if (isTakenBack && !endpoint->isCold(now))
            endpoint->setColdFor(assumedColdTime, now);
    }
    m_evacuated = std::move(dataCentres);
    invalidateUsable();
}

void service_directory::setRecordsCurrent(store_version version, time_point currentUntil)
{
    m_recordsVersion = std::max(m_recordsVersion, version);
    m_recordsCurrentUntil = currentUntil;
    std::erase_if(m_takenBack,
                  [&](const auto &item) { return item.second.version <= m_recordsVersion; });
}

cold_state service_directory::coldStateOf(const service_endpoint &endpoint, time_point now) const
{
    if (endpoint.isCold(now))
        return cold_state::cold;
    const auto back = m_takenBack.find(endpoint.record().dataCentre);
    if (back != m_takenBack.end() && now < back->second.until)
        return cold_state::cold;
    const bool isKnown = areRecordsCurrent(now) && !isLapsed(endpoint.record().id);
    return isKnown ? cold_state::warm : cold_state::possible;
}

static bool serves(const service_endpoint &endpoint, std::string_view service)
{
    return endpoint.record().service == service && !endpoint.isLeaving();
}

bool service_directory::isEvacuated(std::string_view service) const
{
    const bool isListed
            = std::any_of(m_endpoints.begin(), m_endpoints.end(),
                          [&](const auto &item) { return serves(*item.second, service); });
    return isListed && usable(service).empty();
}

const std::vector<endpoint_ptr> &service_directory::usable(std::string_view service) const
{
    return usableListOf(service).endpoints;
}

const std::string *service_directory::commonVersion(std::string_view service) const
{
    return usableListOf(service).commonVersion;
}

bool service_directory::mostReportStartTime() const
{
    const auto telling = static_cast<std::size_t>(
            std::count_if(m_endpoints.begin(), m_endpoints.end(),
                          [](const auto &item) { return item.second->record().startedAt != 0; }));
    return telling * 2 > m_endpoints.size();
}

const service_directory::usable_list &
service_directory::usableListOf(std::string_view service) const
{
    if (const auto known = m_usable.find(service); known != m_usable.end())
        return known->second;
    usable_list &list = m_usable[std::string(service)];
    const bool mostStateStart = mostReportStartTime();
    for (const auto &[id, endpoint] : m_endpoints) {
        const endpoint_record &record = endpoint->record();
        const bool isInEvacuatedDataCentre = m_evacuated.count(record.dataCentre) != 0;
        const bool isForeign = mostStateStart && record.startedAt == 0;
        if (serves(*endpoint, service) && !isInEvacuatedDataCentre && !isForeign)
            list.endpoints.push_back(endpoint);
    }
    const auto isAlike = [&](const endpoint_ptr &endpoint) {
        return endpoint->record().softwareVersion
                == list.endpoints.front()->record().softwareVersion;
    };
    if (!list.endpoints.empty()
        && std::all_of(list.endpoints.begin(), list.endpoints.end(), isAlike))
        list.commonVersion = &list.endpoints.front()->record().softwareVersion;
    return list;
}
