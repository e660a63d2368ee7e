//===-- CrashWatch.cpp - crash attribution to requests ----------------------===//
//
// What this entry finds is sent to others once; what it learns from them is forwarded as far as it
// is new.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/CrashWatch.h"

#include "laurelcroft/Proxy/PromptPartKeys.h"
#include "laurelcroft/Proxy/RecentRuns.h"
#include "laurelcroft/Support/Crypto.h"
#include "laurelcroft/Support/Log.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

/// Interval at which other entries are notified that a key is proven, and the number of keys in it.
constexpr milliseconds proofInterval{50};
constexpr std::size_t maxProofsPerInterval = 8;

} // namespace

/// \returns a hash of the endpoint's id and start time, which is the same at all entries.
static std::uint64_t hashOf(const endpoint_record &record)
{
    return stableHash(record.id, record.startedAt);
}

void crash_watch::endpointEnded(const service_endpoint &endpoint, time_point at)
{
    const endpoint_record &record = endpoint.record();
    const std::vector<std::shared_ptr<endpoint_run>> suspects = m_runs.findSuspects(record.id, at);
    auto [young, runs, requestCount] = recentRunsOf(suspects, at);
    m_runs.forget(record.id);
    std::erase_if(m_pending,
                  [&record](const pending_clearance &item) { return item.endpoint == record.id; });
    const bool isPlanned = endpoint.isLeaving() || endpoint.isRemoved();
    logInfo(log_part::fleet, "endpoint ended",
            {{"endpoint", record.id},
             {"service", record.service},
             {"version", record.softwareVersion},
             {"planned", isPlanned ? "yes" : "no"},
             {"young_requests", std::int64_t(requestCount)},
             {"request_keys", textOfRequests(std::span(young).last(requestCount))},
             {"part_keys", textOfParts(suspects)}});
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
    sendFindings(found, at);
    sendWidenedFindings(at);
}

void crash_watch::sendWidenedFindings(time_point now)
{
    const std::vector<request_key> widened = m_suspects.takeWidened();
    for (const request_key key : widened)
        logInfo(log_part::routing, "finding on a request widened",
                {{"request_key", textOf(key)},
                 {"with", textOfKeys(m_suspects.withheld().at(key).with, maxKeysLogged)}});
    sendFindings(widened, now);
}

void crash_watch::sendFindings(std::span<const request_key> keys, time_point now)
{
    std::set<request_key> reported;
    for (const request_key key : keys) {
        const auto finding = m_suspects.withheld().find(key);
        if (finding == m_suspects.withheld().end() || reported.count(key) != 0)
            continue;
        sendWithheldFinding(key, now);
        reported.insert(finding->second.with.begin(), finding->second.with.end());
    }
}

void crash_watch::sendProof(std::span<const request_key> keys, const std::string &version,
                            time_point now)
{
    std::erase_if(m_proofsSent,
                  [now](const auto &sent) { return now - sent.second > proofInterval; });
    std::vector<request_key> due;
    for (const request_key key : keys) {
        const bool isDue = m_proofsSent.size() < maxProofsPerInterval
                && m_suspects.isCleared(key, version, now)
                && m_proofsSent.try_emplace(key, now).second;
        if (isDue)
            due.push_back(key);
    }
    sendCleared(due, version);
}

void crash_watch::clearLater(std::shared_ptr<endpoint_run> run, const service_endpoint &endpoint,
                             time_point now)
{
    const endpoint_record &record = endpoint.record();
    if (m_pending.size() < maxPending)
        m_pending.push_back({std::move(run), record.id, record.softwareVersion, now});
}

void crash_watch::clearPending(time_point now)
{
    while (!m_pending.empty() && now - m_pending.front().at > endpoint_runs::suspectAfterCancel) {
        const pending_clearance item = std::move(m_pending.front());
        m_pending.pop_front();
        item.run->isFinished = true;
        if (!m_suspects.isEmpty())
            clear(keyOf(*item.run->request), item.version, now);
        proveParts(item.run->partKeys, item.version, now);
    }
}

void crash_watch::sendCleared(std::span<const request_key> keys, const std::string &version)
{
    if (keys.empty() || !m_senders.sendClearedNotice)
        return;
    m_senders.sendClearedNotice({keys.front(), version, {keys.begin() + 1, keys.end()}});
}

std::vector<request_key> crash_watch::clearAll(std::span<const request_key> keys,
                                               const std::string &version, time_point now)
{
    std::vector<request_key> cleared;
    if (m_suspects.isEmpty())
        return cleared;
    for (const request_key key : keys) {
        const bool wasWithheld = m_suspects.isWithheld(key, version, now);
        if (!m_suspects.clear(key, version, now))
            continue;
        cleared.push_back(key);
        m_clearedHere.insert(key);
        if (m_clearedHere.size() > maxUnwritten)
            m_clearedHere.erase(m_clearedHere.begin());
        logWarning(log_part::routing, "request cleared",
                   {{"request_key", textOf(key)},
                    {"version", version},
                    {"was_withheld", wasWithheld ? "yes" : "no"}});
    }
    return cleared;
}

void crash_watch::proveParts(std::span<const request_key> parts, const std::string &version,
                             time_point now)
{
    sendCleared(clearAll(parts, version, now), version);
    m_suspects.prove(parts, version, now);
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
                {"suspect", isPartKey(key) ? "prompt_part" : "request"},
                {"with", textOfKeys(m_suspects.withheld().at(key).with, maxKeysLogged)},
                {"endpoints_ended", std::int64_t(m_suspects.withheld().at(key).ended.size())},
                {"told_by", "own"}});
}

void crash_watch::sendWithheldFinding(request_key key, time_point now)
{
    const auto it = m_suspects.withheld().find(key);
    if (it == m_suspects.withheld().end() || !m_senders.sendWithheldNotice)
        return;
    const withheld_request &known = it->second;
    const auto left = std::chrono::duration_cast<milliseconds>(known.until - now);
    m_senders.sendWithheldNotice(
            {key, known.service, known.versions, known.ended, left, known.with});
}

void crash_watch::applyNotice(const crash_notice &notice, time_point now)
{
    std::vector<recent_request> young;
    young.reserve(notice.requests.size());
    std::vector<request_key> withheld;
    std::vector<request_key> proven;
    for (const reported_request &request : notice.requests) {
        // The sender may not know that the request is withheld, since it has just started or was
        // disconnected.
        if (m_suspects.isWithheld(request.key, notice.version, now))
            withheld.push_back(request.key);
        else if (request.ends >= crash_suspects::minEndsToExplain)
            proven.push_back(request.key);
        const time_point sentAt = now - request.age;
        young.push_back(
                {request.key, sentAt, sentAt + request.runTime, request.ends, request.earlier});
    }
    sendFindings(withheld, now);
    sendProof(proven, notice.version, now);
    const endpoint_end end{notice.endpoint, notice.service, notice.version, now};
    std::vector<unsigned> before;
    before.reserve(young.size());
    for (const recent_request &request : young)
        before.push_back(m_suspects.endsOf(request.key));
    const std::vector<request_key> found = m_suspects.recordEnd(end, young);
    forwardNewCrashes(notice, before);
    sendWidenedFindings(now);
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

bool crash_watch::withholdAll(const withheld_notice &notice, time_point now)
{
    std::vector<request_key> keys{notice.key};
    keys.insert(keys.end(), notice.with.begin(), notice.with.end());
    bool isNew = false;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        if (i > 0 && !isPartKey(keys[i]))
            continue;
        withheld_request request{
                notice.service, notice.versions, notice.ended, now + notice.remaining, {}, keys};
        std::erase(request.with, keys[i]);
        isNew = m_suspects.withhold(keys[i], request, now) || isNew;
    }
    return isNew;
}

void crash_watch::applyNotice(const withheld_notice &notice, time_point now)
{
    for (const std::string &version : notice.versions) {
        sendProof(std::span(&notice.key, 1), version, now);
        sendProof(notice.with, version, now);
    }
    if (!withholdAll(notice, now))
        return;
    ++m_newlyWithheld;
    logWarning(log_part::routing, "request withheld",
               {{"request_key", textOf(notice.key)},
                {"service", notice.service},
                {"versions", std::int64_t(notice.versions.size())},
                {"with", textOfKeys(notice.with, maxKeysLogged)},
                {"told_by", "entry"}});
    // Each entry forwards a new finding once, so that it reaches all entries in a few steps.
    sendWithheldFinding(notice.key, now);
}

void crash_watch::clear(request_key key, const std::string &version, time_point now)
{
    sendCleared(clearAll(std::span(&key, 1), version, now), version);
}

void crash_watch::applyNotice(const cleared_notice &notice, time_point now)
{
    std::vector<request_key> keys = notice.others;
    keys.push_back(notice.key);
    // Forwarded as far as it is new here.
    sendCleared(clearAll(keys, notice.version, now), notice.version);
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
    if (!m_suspects.withhold(key, {row.service, row.versions, row.ended, until, {}, row.with}, now))
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
    releaseWith(key);
    m_suspects.release(key);
    logWarning(log_part::routing, "nothing speaks against a request any more",
               {{"request_key", textOf(key)}, {"told_by", "store"}});
}

void crash_watch::releaseWith(request_key key)
{
    const auto finding = m_suspects.withheld().find(key);
    if (finding == m_suspects.withheld().end())
        return;
    // Without the condition that \p key is held, these findings would withhold more requests.
    const std::vector<request_key> others = finding->second.with;
    for (const request_key other : others) {
        m_suspects.release(other);
        if (m_fromRows.count(other) != 0)
            m_clearedHere.insert(other);
    }
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
    row.with = isWithheld ? known->second.with : std::vector<request_key>();
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
    const bool isAsWide = row.versions.empty() || row.with.size() <= own.with.size();
    return row.versions.size() >= own.versions.size() && row.ended.size() >= own.ended.size()
            && isAsWide;
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
