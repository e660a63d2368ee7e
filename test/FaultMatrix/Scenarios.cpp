//===-- Scenarios.cpp - caller scenarios and cells of the matrix -------------===//
//
// Callers retry as client libraries do: after a lost connection, or an error answer that
// permits a retry, they send the same idempotency key to the next entry.
//
//===----------------------------------------------------------------------===//
#include "Scenarios.h"

#include "laurelcroft/Support/Crypto.h"

using namespace laurelcroft;
using namespace laurelcroft::testing;

namespace {

constexpr duration maxAnswerWait = seconds(90);
constexpr duration settleTime = seconds(100);
/// The pause between two requests of a session.
constexpr duration turnPause = seconds(4);
constexpr duration retryWait = milliseconds(700);
constexpr int maxTries = 40;
constexpr const char *callerKey = "key-school";

/// One logical request with its retries.
struct logical_request
{
    caller_request request;
    std::string group;
    caller_id last = 0;
    int tries = 0;
    bool done = false;
};

/// Runs the callers of one scenario.
class scenario_run
{
public:
    scenario_run(const std::string &name, simulated_site &site)
        : m_name(name)
        , m_site(site)
    {
    }

    bool run();

private:
    caller_request makeRequest(const std::string &target, const std::string &key, bool stream);
    bool sendUntilServed(logical_request &item);
    void send(logical_request &item);
    void sendDuplicateIfInjected(const logical_request &item);
    std::string liveEntry(int turn);
    bool runSession(const std::string &name);

    std::string m_name;
    simulated_site &m_site;
    bool m_duplicateSent = false;
};

} // namespace

bundle laurelcroft::testing::testBundle()
{
    bundle rules;
    rules.site = "bench";
    rules.pools = {{"cheap", pool_kind::engine, true},
                   {"costly", pool_kind::engine, true},
                   {"plain", pool_kind::service, true}};
    const std::vector<model_version> versions
            = {{"1", version_state::settled, "w1"}, {"2", version_state::settled, "w2"}};
    rules.models = {{"small", "cheap", 0.1, 0.5, versions}, {"large", "costly", 2, 10, versions}};
    rules.services = {{"publish", "plain", false, 1}};
    rules.cascades = {{"plan", {"small", "large"}, 0.9, 0.8, 8000, true},
                      {"rebuild", {"small", "large"}, 0.97, 0.9, 60000, false}};
    customer school;
    school.name = "school";
    school.keySha256 = sha256Hex(callerKey);
    school.group = "officers";
    school.allowed = {"small", "large", "plan", "rebuild", "publish"};
    school.requestsPerSecond = 1000;
    school.burst = 1000;
    school.maxConcurrent = 100;
    rules.customers = {school};
    return rules;
}

const std::vector<std::string> &laurelcroft::testing::scenarioNames()
{
    static const std::vector<std::string> names
            = {"whole", "stream", "cascade", "rebuild", "service", "session-token", "session-name"};
    return names;
}

caller_request scenario_run::makeRequest(const std::string &target, const std::string &key,
                                         bool stream)
{
    caller_request request;
    request.key = callerKey;
    request.target = target;
    request.idempotencyKey = key;
    request.stream = stream;
    request.body = "{\"messages\":[{\"role\":\"user\",\"content\":\"" + key + "\"}]}";
    return request;
}

std::string scenario_run::liveEntry(int turn)
{
    std::vector<std::string> ids;
    for (const fake_instance *item : m_site.instances()) {
        const bool takesWork = m_site.findEntry(item->id) != nullptr && !item->leaving;
        if (takesWork && !item->runtime.isDead())
            ids.push_back(item->id);
    }
    return ids.empty() ? "none" : ids[static_cast<std::size_t>(turn) % ids.size()];
}

void scenario_run::send(logical_request &item)
{
    item.last = m_site.send(liveEntry(item.tries), item.request);
    item.tries += 1;
    caller_record &record = m_site.caller(item.last);
    record.group = item.group;
    if (!item.request.idempotencyKey.empty())
        record.requestId = keyedRequestId("school", item.request.idempotencyKey);
}

/// Sends a duplicate of \p item to the next entry once if the callerRepeats fault was injected.
void scenario_run::sendDuplicateIfInjected(const logical_request &item)
{
    if (m_duplicateSent || !m_site.wasInjected(fault_kind::callerRepeats))
        return;
    m_duplicateSent = true;
    logical_request duplicate = item;
    send(duplicate);
}

/// Sends the request and retries it while that is permitted.
/// \returns true once it has a complete answer.
bool scenario_run::sendUntilServed(logical_request &item)
{
    send(item);
    while (item.tries < maxTries) {
        m_site.runUntil(
                [&] {
                    sendDuplicateIfInjected(item);
                    return m_site.caller(item.last).ended;
                },
                maxAnswerWait);
        const caller_record record = m_site.caller(item.last);
        if (record.complete())
            return true;
        const bool mayRetry = !item.request.idempotencyKey.empty()
                && (record.connectionLost || record.executed == "no"
                    || record.code == "already_running")
                && record.code != "version_withdrawn";
        if (!record.ended || !mayRetry)
            return false;
        m_site.clock.advance(retryWait);
        send(item);
    }
    return false;
}

bool scenario_run::runSession(const std::string &name)
{
    std::string session = name;
    std::string group = "draft";
    int begun = 0;
    for (int turn = 0; turn < 3; ++turn) {
        logical_request item;
        item.request = makeRequest("plan", "turn-" + std::to_string(turn), turn == 1);
        item.request.session = session;
        // Without a session name, the caller has no session before its first answer, and a
        // retry may open another one.
        item.group = session.empty() ? "" : group;
        const bool served = sendUntilServed(item);
        const bool isWithdrawn = m_site.caller(item.last).code == "version_withdrawn";
        if (!served && !isWithdrawn)
            return false;
        if (name.empty() && served)
            session = m_site.caller(item.last).header("X-Laurelcroft-Session");
        if (isWithdrawn) {
            // The error asks the caller to open a new session.
            begun += 1;
            session = name.empty() ? "" : name + std::to_string(begun);
            group = "draft-" + std::to_string(begun);
        }
        m_site.clock.advance(turnPause);
    }
    return true;
}

bool scenario_run::run()
{
    logical_request item;
    if (m_name == "whole")
        item.request = makeRequest("small", "", false);
    else if (m_name == "stream")
        item.request = makeRequest("large", "stream-1", true);
    else if (m_name == "cascade")
        item.request = makeRequest("plan", "plan-1", true);
    else if (m_name == "rebuild")
        item.request = makeRequest("rebuild", "rebuild-1", false);
    else if (m_name == "service")
        item.request = makeRequest("publish", "publish-1", false);
    else
        return runSession(m_name == "session-name" ? "my-draft" : "");
    if (m_name == "service")
        item.request.kind = wire::work_service;
    return sendUntilServed(item);
}

cell_result laurelcroft::testing::runCell(const std::string &scenario,
                                          const std::vector<fault_point> &faults,
                                          std::uint64_t seed, sabotage activeSabotage)
{
    simulated_site site(seed, faults, activeSabotage);
    site.startSite(testBundle());
    // Steps passed while the site started are not part of the scenario.
    site.stepCounts.clear();
    site.afterCounts.clear();
    cell_result result;
    scenario_run run(scenario, site);
    result.served = run.run();
    const time_point end = site.clock.now() + settleTime;
    site.runUntil([&] { return site.clock.now() >= end; }, settleTime);
    result.violations = audit(site);
    result.allFaultsInjected = site.injectedFaults.size() == faults.size();
    result.steps = site.stepCounts;
    result.afterSteps = site.afterCounts;
    result.decisions = site.decisions;
    for (const auto &[id, record] : site.callers)
        result.callers.push_back(record);
    return result;
}

/// \returns true for steps of background activity, which is independent of the scenario.
static bool isBackgroundStep(const std::string &step)
{
    return step.rfind("bundle", 0) == 0 || step.rfind("none", 0) == 0;
}

/// Adds a cell for each kind of fault at the first and the last passage of each step.
static void addCells(std::vector<cell> &cells, const std::string &scenario,
                     const std::map<std::string, int> &steps, bool after)
{
    for (const auto &[step, count] : steps) {
        if (isBackgroundStep(step))
            continue;
        for (int kind = 1; kind <= lastFaultKind; ++kind) {
            const auto fault = static_cast<fault_kind>(kind);
            cells.push_back({scenario, {{step, 1, after, fault}}});
            if (count > 1)
                cells.push_back({scenario, {{step, count, after, fault}}});
        }
    }
}

std::vector<cell> laurelcroft::testing::allCells()
{
    std::vector<cell> cells;
    for (const std::string &scenario : scenarioNames()) {
        const cell_result plain = runCell(scenario, {}, 1);
        addCells(cells, scenario, plain.steps, false);
        addCells(cells, scenario, plain.afterSteps, true);
    }
    return cells;
}

std::string cell::text() const
{
    std::string all = scenario + ", seed " + std::to_string(seed) + ":";
    for (const fault_point &fault : faults)
        all += " [" + fault.text() + "]";
    return all;
}

std::vector<cell> laurelcroft::testing::samplePairs(const std::vector<cell> &cells,
                                                    std::size_t count, std::uint64_t seed)
{
    random_source random(seed);
    std::vector<cell> pairs;
    while (pairs.size() < count) {
        const cell &first = cells[random.index(cells.size())];
        const cell &second = cells[random.index(cells.size())];
        if (first.scenario != second.scenario)
            continue;
        pairs.push_back(
                {first.scenario, {first.faults[0], second.faults[0]}, 1 + random.index(50)});
    }
    return pairs;
}
