//===-- EndpointRuns.cpp - requests in flight by endpoint -------------------===//
//
// Keeps a list for each endpoint. Adding a run removes those that cannot be suspected any more.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/EndpointRuns.h"

#include <algorithm>
#include <utility>

using namespace laurelcroft;

/// \returns true if \p run is finished or was abandoned too long ago to be suspected.
static bool isPast(const endpoint_run &run, time_point now)
{
    return run.isFinished
            || (run.abandonedAt && now - *run.abandonedAt > endpoint_runs::suspectAfterCancel);
}

/// \returns true if \p run has been answered for too long to be suspected of a crash at \p at.
static bool isCleared(const endpoint_run &run, time_point at)
{
    return run.answerBeganAt && at - *run.answerBeganAt > endpoint_runs::clearedAfter;
}

std::shared_ptr<endpoint_run> endpoint_runs::add(const std::string &id,
                                                 std::shared_ptr<const proxy_request> request,
                                                 time_point now)
{
    run_list &runs = m_runs[id];
    std::erase_if(runs, [now](const auto &run) { return isPast(*run, now); });
    auto run = std::make_shared<endpoint_run>();
    run->request = std::move(request);
    run->sentAt = now;
    runs.push_back(run);
    return run;
}

std::vector<std::shared_ptr<endpoint_run>> endpoint_runs::findSuspects(std::string_view id,
                                                                       time_point at) const
{
    std::vector<std::shared_ptr<endpoint_run>> suspects;
    const auto runs = m_runs.find(id);
    if (runs == m_runs.end())
        return suspects;
    std::copy_if(runs->second.begin(), runs->second.end(), std::back_inserter(suspects),
                 [at](const auto &run) {
                     return run->sentAt < at && !isPast(*run, at) && !isCleared(*run, at);
                 });
    return suspects;
}

bool endpoint_runs::hasSuspectRun(std::string_view id, suspicion least) const
{
    const auto runs = m_runs.find(id);
    if (runs == m_runs.end())
        return false;
    return std::any_of(runs->second.begin(), runs->second.end(), [least](const auto &run) {
        return run->suspected >= least && !run->isFinished && !run->abandonedAt;
    });
}

void endpoint_runs::forget(std::string_view id)
{
    const auto runs = m_runs.find(id);
    if (runs != m_runs.end())
        m_runs.erase(runs);
}

void endpoint_runs::sweep(time_point now)
{
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        std::erase_if(it->second, [now](const auto &run) { return isPast(*run, now); });
        it = it->second.empty() ? m_runs.erase(it) : std::next(it);
    }
}
