//===-- CrashWatch.cpp - crash attribution to requests ----------------------===//
//
// Request keys are computed only for the recent requests of endpoints that exited, not for every
// request.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/CrashWatch.h"

#include "laurelcroft/Proxy/PromptPartKeys.h"
#include "laurelcroft/Support/Crypto.h"
#include "laurelcroft/Support/Log.h"

#include <algorithm>
#include <map>

using namespace laurelcroft;

namespace {

/// Maximum number of request keys in a log line: the requests of one entry in a full batch.
constexpr std::size_t maxKeysLogged = 16;

/// The distinct recent requests of an endpoint that exited, and a run of each at the same index.
struct recent_runs
{
    std::vector<recent_request> requests;
    std::vector<std::shared_ptr<endpoint_run>> runs;
};

} // namespace

/// \returns a hash of the endpoint's id and start time, which is the same at all entries.
static std::uint64_t hashOf(const endpoint_record &record)
{
    return stableHash(record.id, record.startedAt);
}

/// \returns the keys of \p requests as text.
static std::string textOfRequests(std::span<const recent_request> requests)
{
    std::vector<request_key> keys;
    keys.reserve(requests.size());
    for (const recent_request &request : requests)
        keys.push_back(request.key);
    return textOfKeys(keys, maxKeysLogged);
}

/// \returns the keys of the prompt parts of \p runs, those in most runs first, with the numbers of
/// runs: "key:count,key:count".
static std::string textOfParts(std::span<const std::shared_ptr<endpoint_run>> runs)
{
    std::map<request_key, std::size_t> counts;
    for (const std::shared_ptr<endpoint_run> &run : runs) {
        for (const request_key key : run->partKeys)
            ++counts[key];
    }
    std::vector<std::pair<std::size_t, request_key>> ranked;
    for (const auto &[key, count] : counts)
        ranked.emplace_back(count, key);
    std::sort(ranked.rbegin(), ranked.rend());
    std::string text;
    for (std::size_t i = 0; i < std::min(ranked.size(), maxKeysLogged); ++i) {
        text += i == 0 ? "" : ",";
        text += textOf(ranked[i].second) + ":" + std::to_string(ranked[i].first);
    }
    return text;
}

/// Merges the runs of the same request.
/// \param at end time for runs that were not abandoned.
static recent_runs recentRunsOf(std::span<const std::shared_ptr<endpoint_run>> runs, time_point at)
{
    recent_runs young;
    for (const std::shared_ptr<endpoint_run> &run : runs) {
        const recent_request request{
                keyOf(*run->request), run->sentAt, run->abandonedAt.value_or(at), 0, {}};
        const auto known
                = std::find_if(young.requests.begin(), young.requests.end(),
                               [&](const recent_request &item) { return item.key == request.key; });
        if (known == young.requests.end()) {
            young.requests.push_back(request);
            young.runs.push_back(run);
        } else if (run->sentAt > known->sentAt) {
            *known = request;
        }
    }
    return young;
}

void crash_watch::endpointEnded(const service_endpoint &endpoint, time_point at)
{
    const endpoint_record &record = endpoint.record();
    auto [young, runs] = recentRunsOf(m_runs.findSuspects(record.id, at), at);
    m_runs.forget(record.id);
    const bool isPlanned = endpoint.isLeaving() || endpoint.isRemoved();
    logInfo(log_part::fleet, "endpoint ended",
            {{"endpoint", record.id},
             {"service", record.service},
             {"version", record.softwareVersion},
             {"planned", isPlanned ? "yes" : "no"},
             {"young_requests", std::int64_t(young.size())},
             {"request_keys", textOfRequests(young)},
             {"part_keys", textOfParts(runs)}});
    if (isPlanned || young.empty())
        return;
    const endpoint_end end{hashOf(record), record.service, record.softwareVersion, at};
    const std::vector<request_key> found = m_suspects.recordEnd(end, young);
    crash_notice notice{end.endpoint, end.service, end.version, {}};
    for (const recent_request &request : young) {
        const auto age = std::chrono::duration_cast<milliseconds>(at - request.sentAt);
        const auto runTime
                = std::chrono::duration_cast<milliseconds>(request.leftAt - request.sentAt);
        if (request.ends > 0)
            notice.requests.push_back(
                    {request.key, age, runTime, request.ends, otherEndpoints(request.key, end)});
    }
    if (m_senders.sendCrashNotice && !notice.requests.empty())
        m_senders.sendCrashNotice(notice);
    for (std::size_t i = 0; i < young.size(); ++i) {
        const request_key key = young[i].key;
        if (young[i].ends < crash_suspects::minEndsToExplain)
            continue;
        enqueue(key, *runs[i], end.service);
        if (std::find(found.begin(), found.end(), key) != found.end())
            reportWithheld(key, *runs[i], end);
    }
}

void crash_watch::enqueue(request_key key, const endpoint_run &run, const std::string &service)
{
    markWritten(key);
    if (m_unwritten.size() >= maxUnwritten)
        return;
    unwritten_finding finding;
    finding.key = key;
    finding.row.service = service;
    finding.row.route = run.route;
    finding.row.customer = run.customer;
    m_unwritten.push_back(std::move(finding));
}

std::vector<std::uint64_t> crash_watch::otherEndpoints(request_key key,
                                                       const endpoint_end &end) const
{
    std::vector<std::uint64_t> earlier = m_suspects.endpointsOf(key);
    std::erase(earlier, end.endpoint);
    return earlier;
}

void crash_watch::reportWithheld(request_key key, const endpoint_run &run, const endpoint_end &end)
{
    ++m_newlyWithheld;
    logWarning(log_part::routing, "request withheld",
               {{"request_key", textOf(key)},
                {"request", run.request->id},
                {"route", run.route},
                {"customer", run.customer},
                {"service", end.service},
                {"version", end.version},
                {"endpoints_ended", std::int64_t(m_suspects.withheld().at(key).ended.size())},
                {"told_by", "own"}});
    sendWithheldFinding(key, end.at);
}

void crash_watch::sendWithheldFinding(request_key key, time_point now)
{
    const auto it = m_suspects.withheld().find(key);
    if (it == m_suspects.withheld().end() || !m_senders.sendWithheldNotice)
        return;
    const withheld_request &known = it->second;
    const auto left = std::chrono::duration_cast<milliseconds>(known.until - now);
    m_senders.sendWithheldNotice({key, known.service, known.versions, known.ended, left});
}

void crash_watch::applyNotice(const crash_notice &notice, time_point now)
{
    std::vector<recent_request> young;
    young.reserve(notice.requests.size());
    for (const reported_request &request : notice.requests) {
        // The sender may not know that the request is withheld, since it has just started or was
        // disconnected.
        if (m_suspects.isWithheld(request.key, notice.version, now))
            sendWithheldFinding(request.key, now);
        const time_point sentAt = now - request.age;
        young.push_back(
                {request.key, sentAt, sentAt + request.runTime, request.ends, request.earlier});
    }
    const endpoint_end end{notice.endpoint, notice.service, notice.version, now};
    std::vector<unsigned> before;
    before.reserve(young.size());
    for (const recent_request &request : young)
        before.push_back(m_suspects.endsOf(request.key));
    const std::vector<request_key> found = m_suspects.recordEnd(end, young);
    forwardNewCrashes(notice, before);
    for (const request_key key : found) {
        ++m_newlyWithheld;
        logWarning(log_part::routing, "request withheld",
                   {{"request_key", textOf(key)},
                    {"service", notice.service},
                    {"version", notice.version},
                    {"told_by", "entry"}});
    }
}

void crash_watch::forwardNewCrashes(const crash_notice &notice, std::span<const unsigned> before)
{
    // With a hundred entries, the next retry usually arrives at an entry that the first sender has
    // not notified. Without forwarding, 8 endpoints crashed instead of 6 when half of the datagrams
    // were lost.
    crash_notice newNotice{notice.endpoint, notice.service, notice.version, {}};
    for (std::size_t i = 0; i < notice.requests.size(); ++i) {
        const reported_request &request = notice.requests[i];
        if (m_suspects.endsOf(request.key) > before[i])
            newNotice.requests.push_back(request);
    }
    if (m_senders.sendCrashNotice && !newNotice.requests.empty())
        m_senders.sendCrashNotice(newNotice);
}

void crash_watch::applyNotice(const withheld_notice &notice, time_point now)
{
    const withheld_request request{
            notice.service, notice.versions, notice.ended, now + notice.remaining, {}};
    if (!m_suspects.withhold(notice.key, request, now))
        return;
    ++m_newlyWithheld;
    logWarning(log_part::routing, "request withheld",
               {{"request_key", textOf(notice.key)},
                {"service", notice.service},
                {"versions", std::int64_t(notice.versions.size())},
                {"told_by", "entry"}});
    // Each entry forwards a new finding once, so that it reaches all entries in a few steps.
    sendWithheldFinding(notice.key, now);
}

void crash_watch::clear(request_key key, const std::string &version, time_point now)
{
    const bool wasWithheld = m_suspects.isWithheld(key, version, now);
    if (!m_suspects.clear(key, version, now))
        return;
    m_clearedHere.insert(key);
    if (m_clearedHere.size() > maxUnwritten)
        m_clearedHere.erase(m_clearedHere.begin());
    logWarning(log_part::routing, "request cleared",
               {{"request_key", textOf(key)},
                {"version", version},
                {"was_withheld", wasWithheld ? "yes" : "no"}});
    if (m_senders.sendClearedNotice)
        m_senders.sendClearedNotice({key, version});
}

void crash_watch::applyNotice(const cleared_notice &notice, time_point now)
{
    // clear() forwards the notice if it is new here.
    clear(notice.key, notice.version, now);
}

void crash_watch::applyRow(request_key key, const withheld_row &row, time_point until,
                           time_point now)
{
    if (now >= until)
        return;
    m_fromRows.insert(key);
    if (row.versions.empty()) {
        m_suspects.addReportedEnds(key, row.ended, now);
        return;
    }
    if (!m_suspects.withhold(key, {row.service, row.versions, row.ended, until, {}}, now))
        return;
    ++m_newlyWithheld;
    logWarning(log_part::routing, "request withheld",
               {{"request_key", textOf(key)},
                {"service", row.service},
                {"route", row.route},
                {"customer", row.customer},
                {"told_by", "store"}});
}

void crash_watch::removeRow(request_key key)
{
    m_clearedHere.erase(key);
    if (m_fromRows.erase(key) == 0)
        return;
    m_suspects.release(key);
    logWarning(log_part::routing, "nothing speaks against a request any more",
               {{"request_key", textOf(key)}, {"told_by", "store"}});
}

void crash_watch::removeUnlistedRows(const std::vector<request_key> &listed)
{
    const std::set<request_key> known = m_fromRows;
    for (const request_key key : known) {
        if (std::find(listed.begin(), listed.end(), key) == listed.end())
            removeRow(key);
    }
}

bool crash_watch::isFinding(request_key key) const
{
    return m_suspects.withheld().count(key) != 0
            || m_suspects.endsOf(key) >= crash_suspects::minEndsToExplain;
}

void crash_watch::setCrashDetails(withheld_row &row, request_key key) const
{
    const auto known = m_suspects.withheld().find(key);
    const bool isWithheld = known != m_suspects.withheld().end();
    row.ended = isWithheld ? known->second.ended : m_suspects.endpointsOf(key);
    row.versions = isWithheld ? known->second.versions : std::vector<std::string>();
}

std::optional<unwritten_finding> crash_watch::nextUnwrittenFinding(time_point now)
{
    std::erase_if(m_unwritten, [&](const unwritten_finding &item) { return !isFinding(item.key); });
    if (m_unwritten.empty() || m_suspects.isUnconfirmed(m_unwritten.front().key, now))
        return std::nullopt;
    unwritten_finding finding = m_unwritten.front();
    setCrashDetails(finding.row, finding.key);
    const auto known = m_suspects.withheld().find(finding.key);
    finding.remaining = known == m_suspects.withheld().end()
            ? milliseconds(crash_suspects::suspicionLifetime)
            : std::chrono::duration_cast<milliseconds>(known->second.until - now);
    return finding;
}

bool crash_watch::isCoveredBy(request_key key, const withheld_row &row) const
{
    if (!isFinding(key))
        return true;
    withheld_row own;
    setCrashDetails(own, key);
    return row.versions.size() >= own.versions.size() && row.ended.size() >= own.ended.size();
}

std::optional<request_key> crash_watch::findStaleRow() const
{
    const auto it = std::find_if(m_fromRows.begin(), m_fromRows.end(),
                                 [this](request_key key) { return m_clearedHere.count(key) != 0; });
    return it == m_fromRows.end() ? std::nullopt : std::optional(*it);
}

void crash_watch::markWritten(request_key key)
{
    std::erase_if(m_unwritten, [key](const unwritten_finding &item) { return item.key == key; });
}
