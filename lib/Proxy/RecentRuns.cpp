//===-- RecentRuns.cpp - recent requests of a crashed endpoint --------------===//
//
// Request keys are computed only here, for endpoints that exited, not for every request.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RecentRuns.h"

#include "laurelcroft/Proxy/PromptPartKeys.h"

#include <algorithm>
#include <map>
#include <utility>

using namespace laurelcroft;

namespace {

/// Runs under which endpoints crash within this time count once against a prompt part. Harmless
/// parts are held by many requests, so that several endpoints that are lost together for one
/// other reason all run requests with them.
constexpr milliseconds samePartWindow{100};

} // namespace

std::string laurelcroft::textOfRequests(std::span<const recent_request> requests)
{
    std::vector<request_key> keys;
    keys.reserve(requests.size());
    for (const recent_request &request : requests)
        keys.push_back(request.key);
    return textOfKeys(keys, maxKeysLogged);
}

std::string laurelcroft::textOfParts(std::span<const std::shared_ptr<endpoint_run>> runs)
{
    std::map<request_key, std::size_t> counts;
    for (const std::shared_ptr<endpoint_run> &run : runs) {
        for (const request_key key : run->partKeys)
            ++counts[key];
    }
    std::vector<std::pair<std::size_t, request_key>> ranked;
    ranked.reserve(counts.size());
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

void recent_runs::add(const recent_request &request, const std::shared_ptr<endpoint_run> &run)
{
    const auto known = std::find_if(
            requests.begin(), requests.end(),
            [&request](const recent_request &item) { return item.key == request.key; });
    if (known == requests.end()) {
        requests.push_back(request);
        runs.push_back(run);
    } else if (request.sentAt > known->sentAt) {
        *known = request;
    }
}

recent_runs laurelcroft::recentRunsOf(std::span<const std::shared_ptr<endpoint_run>> runs,
                                      time_point at)
{
    recent_runs young;
    for (const std::shared_ptr<endpoint_run> &run : runs) {
        const time_point leftAt = run->abandonedAt.value_or(at);
        const time_point sentAt = std::max(run->sentAt, leftAt - samePartWindow);
        for (const request_key part : run->partKeys)
            young.add({part, sentAt, leftAt, 0, {}}, run);
    }
    const std::size_t parts = young.requests.size();
    for (const std::shared_ptr<endpoint_run> &run : runs) {
        const time_point leftAt = run->abandonedAt.value_or(at);
        young.add({keyOf(*run->request), run->sentAt, leftAt, 0, {}}, run);
    }
    young.requestCount = young.requests.size() - parts;
    return young;
}
