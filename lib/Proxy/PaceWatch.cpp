//===-- PaceWatch.cpp - learned pace of endpoints ---------------------------===//
//
// Observed times are averaged per endpoint between two notices.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PaceWatch.h"

#include "laurelcroft/Support/Log.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

constexpr double percent = 100;
/// A stated slowdown that differs by this factor from what the others were told is told at once,
/// since most such moments are over within a second. The others are told at intervals.
constexpr double notableChange = 1.5;
constexpr seconds tellInterval{10};

} // namespace

static unsigned toPercent(double factor)
{
    return static_cast<unsigned>(
            std::lround(std::clamp(factor * percent, 1.0, double(pace_notice::maxPercent))));
}

pace_report &pace_watch::reportOn(const service_endpoint &endpoint)
{
    pace_report &report = m_reports[endpoint.record().id];
    report.endpoint = endpoint.record().id;
    return report;
}

void pace_watch::noteChange(std::string_view endpoint, unsigned before, unsigned after,
                            time_point now)
{
    ++m_changes;
    if (m_logLimiter.allows(now))
        logInfo(log_part::fleet, "endpoint states another pace",
                {{"endpoint", endpoint},
                 {"before_percent", std::int64_t(before)},
                 {"slowdown_percent", std::int64_t(after)}});
}

void pace_watch::noteStated(const service_endpoint &endpoint, time_point now)
{
    const std::string &id = endpoint.record().id;
    const unsigned stated = toPercent(endpoint.pace().lastStated());
    told_pace &told = m_told[id];
    const double change = std::abs(std::log(double(stated) / std::max(1U, told.percent)));
    const bool isNotable = told.percent > 0 && change >= std::log(notableChange);
    if (!isNotable && told.percent > 0 && now - told.at < tellInterval)
        return;
    if (isNotable)
        noteChange(id, told.percent, stated, now);
    told = {stated, now};
    // Bounds the memory when endpoints are replaced.
    if (m_told.size() > maxTold)
        m_told.clear();
    if (isNotable && m_listener)
        m_listener({{{id, stated, 0, 0}}, true});
    else
        reportOn(endpoint).statedPercent = stated;
}

void pace_watch::observe(service_endpoint &endpoint, std::string_view work, duration time,
                         time_point now)
{
    auto usual = m_usual.find(work);
    if (usual == m_usual.end()) {
        if (m_usual.size() >= maxKinds)
            return;
        usual = m_usual.emplace(work, usual_time()).first;
    }
    const std::optional<double> ratio
            = usual->second.add(atUsualPace(time, endpoint.pace().statedUsual(now)));
    if (!ratio)
        return;
    endpoint.pace().addObservation(*ratio, 1, now);
    // Others trust what the endpoint states as well.
    if (endpoint.pace().isStated())
        return;
    pace_report &report = reportOn(endpoint);
    if (report.samples >= pace_notice::maxSamples)
        return;
    const double sum = report.observedPercent * double(report.samples) + toPercent(*ratio);
    ++report.samples;
    report.observedPercent = static_cast<unsigned>(std::lround(sum / report.samples));
}

mean_work &pace_watch::workOf(std::string_view service)
{
    const auto known = m_work.find(service);
    return known != m_work.end() ? known->second
                                 : m_work.emplace(service, mean_work()).first->second;
}

std::optional<pace_notice> pace_watch::takeNotice()
{
    pace_notice notice;
    // What doesn't fit stays for the next notice, which begins with it.
    while (!m_reports.empty() && notice.reports.size() < pace_notice::maxReports) {
        auto next = m_reports.upper_bound(m_lastReported);
        if (next == m_reports.end())
            next = m_reports.begin();
        m_lastReported = next->first;
        notice.reports.push_back(std::move(next->second));
        m_reports.erase(next);
    }
    if (notice.reports.empty())
        return std::nullopt;
    return notice;
}

void pace_watch::applyNotice(const service_directory &directory, const pace_notice &notice,
                             time_point now)
{
    for (const pace_report &report : notice.reports) {
        const auto it = directory.all().find(report.endpoint);
        if (it == directory.all().end())
            continue;
        endpoint_pace &pace = it->second->pace();
        if (report.statedPercent > 0) {
            const double slowdown = report.statedPercent / percent;
            notice.tellsChanges ? pace.noteMoment(slowdown, now) : pace.noteStated(slowdown, now);
            m_told[report.endpoint] = {report.statedPercent, now};
        }
        pace.addObservation(report.observedPercent / percent, remoteWeight * report.samples, now);
    }
}

std::size_t pace_watch::slowEndpoints(const service_directory &directory, time_point now)
{
    const auto &all = directory.all();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [now](const auto &item) {
        return item.second->pace().usual(now) >= slowFactor;
    }));
}
