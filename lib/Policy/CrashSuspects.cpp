//===-- CrashSuspects.cpp - requests that crash endpoints -----------------===//
//
// Only consecutive ends count: several runs that were in progress at the same time count as one.
// Otherwise a harmless request that all callers send would be withheld within 0.4 s while eight of
// 24 endpoints end per second.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/CrashSuspects.h"

#include "laurelcroft/Support/Crypto.h"

#include <algorithm>
#include <iterator>

using namespace laurelcroft;

namespace {

/// Runs that overlap by no more than this count as consecutive. A request is sent to another
/// endpoint as soon as one ends, and entries report the same end at times that differ by the
/// latency of a datagram plus a connection check.
constexpr milliseconds overlapTolerance{20};
/// Number of attributed ends kept; other entries report the same end within milliseconds.
constexpr std::size_t maxExplained = 256;
/// Number of ends kept per request.
constexpr std::size_t maxEndsKept = 8;
/// Number of versions kept per withheld request, the latest ones; a service runs one or two.
constexpr std::size_t maxVersionsKept = 8;

} // namespace

/// Removes from \p keys all that are not in \p others.
/// \returns true if it removed any.
static bool keepCommon(std::vector<std::uint64_t> &keys, std::span<const std::uint64_t> others)
{
    return std::erase_if(keys,
                         [others](std::uint64_t key) {
                             return std::find(others.begin(), others.end(), key) == others.end();
                         })
            > 0;
}

unsigned crash_suspects::endsOf(std::uint64_t key) const
{
    const auto it = m_suspects.find(key);
    return it == m_suspects.end() ? 0 : static_cast<unsigned>(it->second.ends.size());
}

std::vector<std::uint64_t> crash_suspects::suspect::endpoints() const
{
    std::vector<std::uint64_t> hashes;
    for (const counted_end &end : ends)
        hashes.push_back(end.endpoint);
    return hashes;
}

bool crash_suspects::isCleared(std::uint64_t key, std::string_view version, time_point now) const
{
    if (m_proven.contains(key, version))
        return true;
    const auto it = m_cleared.find(key);
    return it != m_cleared.end() && now < it->second.until
            && it->second.version == stableHash(version);
}

bool crash_suspects::isExplained(std::uint64_t endpoint) const
{
    return std::find(m_explained.begin(), m_explained.end(), endpoint) != m_explained.end();
}

void crash_suspects::markExplained(std::uint64_t endpoint, std::span<const std::uint64_t> byKeys)
{
    if (!isExplained(endpoint))
        m_explained.push_back(endpoint);
    if (m_explained.size() > maxExplained)
        m_explained.pop_front();
    std::erase_if(m_unexplained,
                  [endpoint](const endpoint_end &end) { return end.endpoint == endpoint; });
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        const bool isToBlame = std::find(byKeys.begin(), byKeys.end(), it->first) != byKeys.end();
        if (!isToBlame)
            std::erase_if(it->second.ends,
                          [endpoint](const counted_end &end) { return end.endpoint == endpoint; });
        it = it->second.ends.empty() ? m_suspects.erase(it) : std::next(it);
    }
}

bool crash_suspects::addEnd(const endpoint_end &end, const recent_request &request)
{
    if (isCleared(request.key, end.version, end.at))
        return false;
    suspect &item = m_suspects[request.key];
    const counted_end added{end.endpoint, request.sentAt, request.leftAt};
    const bool isNew
            = std::none_of(item.ends.begin(), item.ends.end(), [&](const counted_end &known) {
                  return known.endpoint == added.endpoint
                          || (known.sentAt + overlapTolerance < added.leftAt
                              && added.sentAt + overlapTolerance < known.leftAt);
              });
    if (!isNew)
        return false;
    if (item.ends.size() < maxEndsKept)
        item.ends.push_back(added);
    item.lastAt = end.at;
    return true;
}

bool crash_suspects::hasEnoughEnds(std::uint64_t key, time_point now)
{
    std::erase_if(m_unexplained,
                  [now](const endpoint_end &end) { return now - end.at > unexplainedEndsWindow; });
    // Already withheld for another version: one end suffices for this version.
    if (m_withheld.count(key) != 0)
        return true;
    const bool isUnstable = m_unexplained.size() >= minUnexplainedEnds;
    return endsOf(key) >= (isUnstable ? endsToWithholdUnstable : endsToWithhold);
}

unsigned crash_suspects::priorEnds(const endpoint_end &end, const recent_request &request) const
{
    if (isCleared(request.key, end.version, end.at))
        return 0;
    if (m_withheld.count(request.key) != 0)
        return endsToWithhold;
    const unsigned reported = request.ends > 0 ? request.ends - 1 : 0;
    return std::max(endsOf(request.key), reported);
}

std::vector<std::uint64_t> crash_suspects::endpointsOf(std::uint64_t key) const
{
    const auto it = m_suspects.find(key);
    return it == m_suspects.end() ? std::vector<std::uint64_t>() : it->second.endpoints();
}

void crash_suspects::addReportedEnds(std::uint64_t key, std::span<const std::uint64_t> endpoints,
                                     time_point now)
{
    if (endpoints.empty() || m_cleared.count(key) != 0)
        return;
    suspect &item = m_suspects[key];
    const std::vector<std::uint64_t> known = item.endpoints();
    for (const std::uint64_t endpoint : endpoints) {
        const bool isNew = std::find(known.begin(), known.end(), endpoint) == known.end();
        // The reporting entry has counted these ends as consecutive, all before any later one.
        if (isNew && item.ends.size() < maxEndsKept)
            item.ends.push_back({endpoint, {}, {}});
    }
    item.lastAt = now;
}

bool crash_suspects::attributeEnd(const endpoint_end &end, recent_request &request)
{
    if (isCleared(request.key, end.version, end.at))
        return false;
    std::erase(request.earlier, end.endpoint);
    addReportedEnds(request.key, request.earlier, end.at);
    const bool isNew = addEnd(end, request);
    request.ends = std::max(request.ends, endsOf(request.key));
    return isNew && !isWithheld(request.key, end.version, end.at)
            && hasEnoughEnds(request.key, end.at);
}

std::vector<std::uint64_t> crash_suspects::attributeToStrongest(const endpoint_end &end,
                                                                std::span<recent_request> recent,
                                                                unsigned minPriorEnds)
{
    std::vector<std::uint64_t> blamed;
    std::vector<std::uint64_t> found;
    for (recent_request &request : recent) {
        if (priorEnds(end, request) < minPriorEnds)
            continue;
        blamed.push_back(request.key);
        widenFinding(request.key, recent);
        if (attributeEnd(end, request))
            found.push_back(request.key);
    }
    explainEarlierEnds(blamed);
    if (minPriorEnds > 0)
        markExplained(end.endpoint, blamed);
    return found;
}

void crash_suspects::explainEarlierEnds(std::span<const std::uint64_t> keys)
{
    unsigned most = 0;
    for (const std::uint64_t key : keys)
        most = std::max(most, endsOf(key));
    if (most < minEndsToExplain)
        return;
    // The earlier ends were caused by these requests too; clear the others.
    std::vector<std::uint64_t> strongest;
    std::vector<std::uint64_t> endpoints;
    for (const std::uint64_t key : keys) {
        if (endsOf(key) < most)
            continue;
        strongest.push_back(key);
        const std::vector<std::uint64_t> ended = endpointsOf(key);
        endpoints.insert(endpoints.end(), ended.begin(), ended.end());
    }
    for (const std::uint64_t endpoint : endpoints)
        markExplained(endpoint, strongest);
}

void crash_suspects::keepOneRequest(std::vector<std::uint64_t> &found) const
{
    // With the same ends, one of two requests may be harmless: they are sent separately next time.
    const auto isRequest = [](std::uint64_t key) { return !isPartKey(key); };
    const auto requests = std::count_if(found.begin(), found.end(), isRequest);
    if (requests > 1 && endsOf(found.front()) < endsToWithholdUnstable)
        std::erase_if(found, isRequest);
}

std::vector<std::uint64_t> crash_suspects::recordEnd(const endpoint_end &end,
                                                     std::span<recent_request> recent)
{
    expire(end.at);
    // A request with earlier ends is to blame for this one too, and no other request is.
    unsigned most = 0;
    for (const recent_request &request : recent)
        most = std::max(most, priorEnds(end, request));
    const bool isExplainedHere = most >= minEndsToExplain;
    if (!isExplainedHere && isExplained(end.endpoint))
        return {};
    std::vector<std::uint64_t> found
            = attributeToStrongest(end, recent, isExplainedHere ? most : 0);
    addUnexplained(end);
    // Copied before the first request is withheld, which removes its ends from all others.
    std::vector<withheld_request> findings;
    findings.reserve(found.size());
    const std::vector<std::uint64_t> tied = found;
    keepOneRequest(found);
    for (const std::uint64_t key : found) {
        withheld_request finding{
                end.service, {end.version}, endpointsOf(key), end.at + withheldFor, {}, {}};
        if (isPartKey(key))
            finding.with = tied;
        std::erase(finding.with, key);
        findings.push_back(std::move(finding));
    }
    for (std::size_t i = 0; i < found.size(); ++i)
        withhold(found[i], findings[i], end.at);
    return found;
}

void crash_suspects::addUnexplained(const endpoint_end &end)
{
    // Every entry with recent requests at the endpoint reports the same end.
    const bool isKnown = std::any_of(
            m_unexplained.begin(), m_unexplained.end(),
            [&](const endpoint_end &known) { return known.endpoint == end.endpoint; });
    if (isKnown || isExplained(end.endpoint) || m_unexplained.size() >= maxExplained)
        return;
    m_unexplained.push_back(end);
}

bool crash_suspects::clear(std::uint64_t key, std::string_view version, time_point now)
{
    const bool isStrong = endsOf(key) >= minEndsToExplain || isWithheld(key, version, now);
    const bool isKnown = m_suspects.erase(key) != 0 || m_withheld.count(key) != 0;
    if (!isKnown)
        return false;
    for (auto &[withheldKey, request] : m_withheld)
        std::erase(request.with, key);
    if (const auto it = m_withheld.find(key); it != m_withheld.end()) {
        std::erase(it->second.versions, version);
        if (it->second.versions.empty())
            m_withheld.erase(it);
    }
    if (m_cleared.size() >= maxCleared) {
        const auto oldest = std::min_element(
                m_cleared.begin(), m_cleared.end(),
                [](const auto &a, const auto &b) { return a.second.until < b.second.until; });
        m_cleared.erase(oldest);
    }
    m_cleared[key] = {stableHash(version), now + clearedFor};
    return isStrong;
}

void crash_suspects::prove(key_span parts, std::string_view version, time_point now)
{
    for (const std::uint64_t part : parts)
        m_proven.add(part, version, now);
}

bool crash_suspects::holdsAll(key_span keys, const withheld_request &request)
{
    return std::all_of(request.with.begin(), request.with.end(), [keys](std::uint64_t other) {
        return std::find(keys.begin(), keys.end(), other) != keys.end();
    });
}

bool crash_suspects::isWithheldBy(std::uint64_t key, key_span keys, time_point now) const
{
    const auto it = m_withheld.find(key);
    return it != m_withheld.end() && now < it->second.until && holdsAll(keys, it->second);
}

std::optional<std::uint64_t> crash_suspects::withholdingKey(key_span keys, std::string_view version,
                                                            time_point now) const
{
    const auto key = std::find_if(keys.begin(), keys.end(), [&](std::uint64_t item) {
        return isWithheldBy(item, keys, now) && isWithheld(item, version, now);
    });
    return key == keys.end() ? std::nullopt : std::optional(*key);
}

bool crash_suspects::isUnconfirmed(key_span keys, time_point now) const
{
    return std::any_of(keys.begin(), keys.end(), [&](std::uint64_t key) {
        return isWithheldBy(key, keys, now) && isUnconfirmed(key, now);
    });
}

void crash_suspects::widenFinding(std::uint64_t key, std::span<const recent_request> recent)
{
    const auto it = m_withheld.find(key);
    if (it == m_withheld.end())
        return;
    const std::size_t removed = std::erase_if(it->second.with, [&](std::uint64_t other) {
        return std::none_of(recent.begin(), recent.end(), [other](const recent_request &request) {
            return request.key == other;
        });
    });
    if (removed > 0)
        m_widened.push_back(key);
}

bool crash_suspects::isUnconfirmed(std::uint64_t key, time_point now) const
{
    const auto it = m_withheld.find(key);
    return it != m_withheld.end() && now < it->second.until && now < it->second.confirmedAt;
}

suspicion crash_suspects::suspicionOf(std::uint64_t key, time_point now) const
{
    const auto finding = m_withheld.find(key);
    if (finding != m_withheld.end() && now < finding->second.until)
        return suspicion::strong;
    const auto it = m_suspects.find(key);
    if (it == m_suspects.end() || now - it->second.lastAt > suspicionLifetime)
        return suspicion::none;
    return it->second.ends.size() > 1 ? suspicion::strong : suspicion::weak;
}

suspicion crash_suspects::suspicionOf(key_span keys, time_point now) const
{
    suspicion strongest = suspicion::none;
    for (const std::uint64_t key : keys)
        strongest = std::max(strongest, suspicionOf(key, now));
    return strongest;
}

std::vector<std::uint64_t> crash_suspects::suspectedOf(key_span keys, time_point now) const
{
    std::vector<std::uint64_t> suspected;
    std::copy_if(keys.begin(), keys.end(), std::back_inserter(suspected),
                 [&](std::uint64_t key) { return suspicionOf(key, now) != suspicion::none; });
    return suspected;
}

bool crash_suspects::isWithheld(std::uint64_t key, std::string_view version, time_point now) const
{
    const auto it = m_withheld.find(key);
    if (it == m_withheld.end() || now >= it->second.until)
        return false;
    const std::vector<std::string> &versions = it->second.versions;
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

std::optional<time_point> crash_suspects::withheldUntil(key_span keys, time_point now) const
{
    std::optional<time_point> until;
    for (const std::uint64_t key : keys) {
        if (!isWithheldBy(key, keys, now))
            continue;
        const time_point end = m_withheld.at(key).until;
        until = until ? std::max(*until, end) : end;
    }
    return until;
}

bool crash_suspects::withhold(std::uint64_t key, const withheld_request &request, time_point now)
{
    if (now >= request.until)
        return false;
    if (m_withheld.size() >= maxWithheld && m_withheld.count(key) == 0)
        return false;
    const bool isClearedAtAll
            = std::all_of(request.versions.begin(), request.versions.end(),
                          [&](const std::string &version) { return isCleared(key, version, now); });
    if (isClearedAtAll)
        return false;
    withheld_request &known = m_withheld[key];
    bool isNew = known.versions.empty();
    // What another entry has seen endpoints end without is not part of the cause.
    if (isNew)
        known.with.assign(request.with.begin(),
                          request.with.begin()
                                  + std::ptrdiff_t(std::min(request.with.size(), maxKeysWith)));
    else if (keepCommon(known.with, request.with))
        isNew = true;
    known.service = request.service;
    known.until = std::max(known.until, request.until);
    for (const std::string &version : request.versions) {
        if (std::find(known.versions.begin(), known.versions.end(), version)
            != known.versions.end())
            continue;
        if (known.versions.size() >= maxVersionsKept)
            known.versions.erase(known.versions.begin());
        known.versions.push_back(version);
        known.confirmedAt = now + confirmationDelay;
        isNew = true;
    }
    for (const std::uint64_t endpoint : request.ended) {
        if (std::find(known.ended.begin(), known.ended.end(), endpoint) == known.ended.end()
            && known.ended.size() < maxEndsKept)
            known.ended.push_back(endpoint);
        markExplained(endpoint, std::span(&key, 1));
    }
    return isNew;
}

void crash_suspects::release(std::uint64_t key)
{
    m_withheld.erase(key);
    m_suspects.erase(key);
}

void crash_suspects::probeFinished(std::uint64_t key)
{
    const auto it = m_probes.find(key);
    if (it != m_probes.end() && --it->second == 0)
        m_probes.erase(it);
}

bool crash_suspects::isProbing(key_span keys) const
{
    return std::any_of(keys.begin(), keys.end(),
                       [this](std::uint64_t key) { return isProbing(key); });
}

void crash_suspects::expire(time_point now)
{
    m_proven.expire(now);
    std::erase_if(m_suspects,
                  [now](const auto &item) { return now - item.second.lastAt > suspicionLifetime; });
    std::erase_if(m_cleared, [now](const auto &item) { return now >= item.second.until; });
    std::erase_if(m_withheld, [now](const auto &item) { return now >= item.second.until; });
    // Evict those with the fewest ends first, among equals the oldest.
    while (m_suspects.size() > maxSuspects) {
        const auto least = std::min_element(
                m_suspects.begin(), m_suspects.end(), [](const auto &a, const auto &b) {
                    return std::pair(a.second.ends.size(), a.second.lastAt)
                            < std::pair(b.second.ends.size(), b.second.lastAt);
                });
        m_suspects.erase(least);
    }
}
