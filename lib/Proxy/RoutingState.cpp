//===-- RoutingState.cpp - state that routing uses ------------------------===//
//
// The roll-outs and budgets of a service are created on first use.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RoutingState.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

/// Number of services whose pressure is reported to other entries.
constexpr std::size_t maxPressureNotices = 4;

} // namespace

bool routing_state::setContract(contract_ptr contract)
{
    if (m_contract && m_contract->version >= contract->version)
        return false;
    m_coldShares.clear();
    m_contract = std::move(contract);
    return true;
}

/// \returns the item of \p name, constructed from \p arguments on first use.
template <class T, class... Args>
static T &findOrCreate(std::map<std::string, T, std::less<>> &items, std::string_view name,
                       const Args &...arguments)
{
    const auto it = items.find(name);
    return it != items.end() ? it->second : items.emplace(name, T(arguments...)).first->second;
}

rollout_tracker &routing_state::rollouts(std::string_view service)
{
    return findOrCreate(m_rollouts, service, m_bounds.rolloutExposure);
}

send_budget &routing_state::repeats(std::string_view service)
{
    return findOrCreate(m_repeats, service, m_bounds.repeats, m_roundingRandom.uniform());
}

void routing_state::creditBudgets(time_point now)
{
    if (!m_contract)
        return;
    for (const service_description &service : m_contract->services)
        repeats(service.name).credit(now, m_share);
}

void routing_state::noteBorrowRequest(const borrow_request &request, time_point now)
{
    const auto known = m_repeats.find(request.service);
    send_budget *budget = known == m_repeats.end() ? nullptr : &known->second;
    m_borrowing.applyRequest(request, budget, m_share, now);
}

failure_streak &routing_state::outlook(std::string_view service)
{
    return findOrCreate(m_outlooks, service);
}

recent_wait &routing_state::waits(std::string_view service)
{
    return findOrCreate(m_waits, service);
}

void routing_state::noteSendElsewhere(std::string_view endpoint, milliseconds reading,
                                      std::span<const prompt_prefix> prefixes, time_point now)
{
    const auto it = m_directory.all().find(endpoint);
    if (it == m_directory.all().end())
        return;
    service_endpoint &there = *it->second;
    const double slowdown = usesPace(there.record().service) ? there.pace().usual(now) : 1;
    there.addRemotePrefill(std::chrono::duration_cast<milliseconds>(reading * slowdown), now);
    there.prefixCache().insert(prefixes);
}

void routing_state::noteRateLimitElsewhere(const rate_limit_notice &notice, time_point now)
{
    const auto it = m_directory.all().find(notice.endpoint);
    if (it != m_directory.all().end())
        m_rateLimits.applyNotice(*it->second, notice, now);
}

void routing_state::setEntries(std::vector<std::string> names, std::string own,
                               std::map<std::string, std::string> dataCentres)
{
    // Entries that start rewrite their rows, which changes no share. Ranking a hundred entries
    // again for each of a thousand cold endpoints would take a tenth of a second on a small
    // instance each time.
    if (names == m_entries && own == m_own && dataCentres == m_dataCentres)
        return;
    m_dataCentres = std::move(dataCentres);
    m_entries = std::move(names);
    m_own = std::move(own);
    const bool isListed = std::find(m_entries.begin(), m_entries.end(), m_own) != m_entries.end();
    m_share = isListed ? 1.0 / static_cast<double>(m_entries.size()) : 0;
    m_coldShares.clear();
    m_limitShares.clear();
    m_borrowing.setEntries(m_entries, m_own);
}

std::vector<sampled_endpoint>
routing_state::sampledOf(std::span<const endpoint_ptr> endpoints) const
{
    std::vector<sampled_endpoint> items;
    items.reserve(endpoints.size());
    for (const endpoint_ptr &endpoint : endpoints)
        items.push_back({endpoint->idHash(), endpoint->record().dataCentre == dataCentre()});
    return items;
}

const std::vector<sampled_endpoint> &routing_state::sampled(std::string_view service)
{
    sample_list &list = findOrCreate(m_sampled, service);
    const std::vector<endpoint_ptr> &usable = m_directory.usable(service);
    const bool isCurrent
            = list.revision == m_directory.revision() && list.items.size() == usable.size();
    if (!isCurrent)
        list = {m_directory.revision(), sampledOf(usable)};
    return list.items;
}

std::optional<double> routing_state::coldShare(const service_endpoint &endpoint, time_point now)
{
    const cold_state state = m_directory.coldStateOf(endpoint, now);
    if (state == cold_state::warm || !m_contract)
        return std::nullopt;
    const service_description *service = m_contract->findService(endpoint.record().service);
    if (!service || service->coldRequestsPerSecond <= 0)
        return std::nullopt;
    const std::string &id = endpoint.record().id;
    const double limit = service->coldRequestsPerSecond;
    auto share = m_coldShares.find(id);
    if (share == m_coldShares.end()) {
        const cold_share own{coldShareOf(id, limit, m_entries, m_own),
                             possiblyColdShareOf(id, limit, m_entries, m_own)};
        share = m_coldShares.emplace(id, own).first;
    }
    return state == cold_state::cold ? share->second.ifCold : share->second.ifPossible;
}

/// \returns the \p entries in \p dataCentre, or all of them if none is there.
static std::vector<std::string>
nearestEntries(std::span<const std::string> entries,
               const std::map<std::string, std::string> &dataCentres, const std::string &dataCentre)
{
    std::vector<std::string> near;
    for (const std::string &entry : entries) {
        const auto place = dataCentres.find(entry);
        if (place != dataCentres.end() && place->second == dataCentre)
            near.push_back(entry);
    }
    return near.empty() ? std::vector<std::string>(entries.begin(), entries.end()) : near;
}

const routing_state::limit_share &routing_state::limitShareAt(const service_endpoint &endpoint)
{
    const double limit = endpoint.rateLimit().value_or(0);
    const endpoint_record &record = endpoint.record();
    const auto known = m_limitShares.find(record.id);
    if (known != m_limitShares.end() && known->second.limit == limit)
        return known->second;
    // Mostly entries in the endpoint's data centre send to it; other owners would leave their
    // shares unused.
    const double share = limitShareOf(
            record.id, limit, nearestEntries(m_entries, m_dataCentres, record.dataCentre), m_own);
    // Bounds the cache when endpoints are replaced.
    if (m_limitShares.size() > m_directory.all().size())
        m_limitShares.clear();
    const limit_check_delays check = limitCheckDelaysOf(record.id, limit, m_entries.size(), m_own);
    const limit_share item{limit, share, check};
    return m_limitShares.insert_or_assign(record.id, item).first->second;
}

double routing_state::limitShare(const service_endpoint &endpoint)
{
    return limitShareAt(endpoint).share;
}

std::optional<time_point> routing_state::earliestBackoffEnd(std::string_view service,
                                                            time_point now) const
{
    std::optional<time_point> earliest;
    for (const endpoint_ptr &endpoint : m_directory.usable(service)) {
        if (!endpoint->isInBackoff(now))
            return std::nullopt;
        earliest = earliest ? std::min(*earliest, endpoint->backoffUntil())
                            : endpoint->backoffUntil();
    }
    return earliest;
}

bool routing_state::isLimitCheckDue(const service_endpoint &endpoint, time_point now)
{
    // The interval depends on the number of entries, which does not include an unlisted one.
    if (m_share <= 0)
        return false;
    const limit_check_delays &delays = limitShareAt(endpoint).check;
    return now - endpoint.rateLimitReportedAt() >= delays.sinceReport
            && now - endpoint.lastSentAt() >= delays.sinceSend;
}

service_pressure &routing_state::pressure(std::string_view service)
{
    return findOrCreate(m_pressures, service);
}

service_demand &routing_state::demand(std::string_view service)
{
    return findOrCreate(m_demands, service);
}

double routing_state::requestsPerEndpoint(std::string_view service, time_point now)
{
    const std::size_t endpoints = std::max<std::size_t>(1, m_directory.usable(service).size());
    return demand(service).answersPerSecond(now) * static_cast<double>(entries())
            / static_cast<double>(endpoints);
}

std::vector<pressure_notice> routing_state::pressureNotices(time_point now) const
{
    std::vector<pressure_notice> notices;
    for (const auto &[service, demand] : m_demands) {
        const auto pressure = m_pressures.find(service);
        if (pressure == m_pressures.end() || notices.size() >= maxPressureNotices)
            continue;
        pressure_notice notice = pressure_notice::from(service, pressure->second.own(now),
                                                       demand.ownAnswersPerSecond(now));
        if (notice.samples > 0)
            notices.push_back(std::move(notice));
    }
    return notices;
}

void routing_state::notePressureElsewhere(const pressure_notice &notice, time_point now)
{
    const auto own = m_demands.find(notice.service);
    if (own == m_demands.end())
        return;
    pressure(notice.service).addReport(notice.report(), now);
    own->second.addReportedRate(notice.answersPerSecond, now);
}

service_room &routing_state::room(std::string_view service)
{
    return findOrCreate(m_rooms, service);
}

void routing_state::notePaceStated(const service_endpoint &endpoint, time_point now)
{
    const std::string &service = endpoint.record().service;
    if (m_statingPace.find(service) == m_statingPace.end())
        m_statingPace.emplace(service);
    if (usesPace(service))
        m_pace.noteStated(endpoint, now);
}

void routing_state::notePaceElsewhere(const pace_notice &notice, time_point now)
{
    m_pace.applyNotice(m_directory, notice, now);
}

bool routing_state::usesPace(std::string_view service) const
{
    return load_settings::isInUse(m_bounds.load.pace, m_statingPace.count(service) != 0);
}

bool routing_state::managesRoom(std::string_view service) const
{
    return load_settings::isInUse(m_bounds.load.admission, hasHardLoad(service));
}

bool routing_state::usesPressureInCascade(std::string_view service) const
{
    return load_settings::isInUse(m_bounds.load.cascade, hasHardLoad(service));
}

prefill_rate &routing_state::promptRate(std::string_view model)
{
    return findOrCreate(m_promptRates, model);
}
