//===-- EndpointTrial.cpp - time to first token by choice policy ------------===//
//
// Simulates several entries that send to engines of unequal speed whose load reports are delayed.
// Every policy sees the same arrivals.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Load/Trial.h"
#include "laurelcroft/Policy/EndpointChoice.h"
#include "laurelcroft/Support/Metrics.h"
#include "laurelcroft/Support/Runtime.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>

using namespace laurelcroft;

namespace {

constexpr std::size_t engineCount = 20;
constexpr std::size_t entryCount = 6;
constexpr duration reportPeriod = milliseconds(500);
constexpr duration reportDelay = milliseconds(250);
constexpr double meanOutputTokens = 60;
constexpr double promptTokens = 600;
constexpr double prefillMsPerToken = 0.25;
constexpr std::size_t sessions = 400;
constexpr std::size_t cachedSessions = 30;
/// Number of requests that may be queued per slot. Equals the default of the agent.
constexpr double agentWaitingPerSlot = 0.25;
/// Number of times that a request is offered to an engine before it fails, as in the entry.
constexpr int maxOffers = 4;
/// Time to first token that users expect for 95% of the requests.
constexpr duration firstTokenTarget = milliseconds(1400);

struct trial_job
{
    time_point sentAt{};
    std::size_t session = 0;
    double tokens = 0;
    std::size_t entry = 0;
};

struct trial_engine
{
    std::size_t slots = 8;
    double tokenMs = 20;
    std::size_t running = 0;
    std::deque<trial_job> waiting;
    std::deque<std::size_t> cached;
    double reportedPending = 0;
    double reportedRate = 0;
};

/// The local state of an entry, from which it corrects the reported load.
struct trial_entry
{
    /// Requests that this entry has offered to each engine since the engine's last report.
    std::vector<double> sentSinceReport = std::vector<double>(engineCount, 0);
    /// Unfinished requests of this entry at each engine.
    std::vector<double> ownRunning = std::vector<double>(engineCount, 0);
    /// The engine that last accepted a request of each session; engineCount if none.
    std::vector<std::size_t> lastEngine = std::vector<std::size_t>(sessions, engineCount);
    std::size_t nextEngine = 0;
};

/// Simulates the entries and engines in simulated time.
class endpoint_simulation
{
public:
    using policy
            = std::function<std::size_t(endpoint_simulation &, trial_entry &, const trial_job &)>;

    /// \param load offered load as a fraction of the capacity of all engines.
    /// \param waitingPerSlot number of requests that an engine's agent queues per slot.
    endpoint_simulation(std::uint64_t seed, double load, policy choose, double waitingPerSlot)
        : random(seed)
        , choices(seed + 1)
        , m_choose(std::move(choose))
        , m_waitingPerSlot(waitingPerSlot)
    {
        double capacity = 0;
        for (std::size_t i = 0; i < engineCount; ++i) {
            trial_engine engine;
            // Every third engine is half as fast and every fifth has twice as many slots.
            engine.tokenMs = i % 3 == 0 ? 30 : 15;
            engine.slots = i % 5 == 0 ? 16 : 8;
            engines.push_back(engine);
            const double serviceMs = meanOutputTokens * engine.tokenMs * (1 + 0.03 * engine.slots)
                    + promptTokens * prefillMsPerToken * 0.6;
            capacity += 1000.0 * static_cast<double>(engine.slots) / serviceMs;
        }
        entries.resize(entryCount);
        m_perSecond = capacity * load;
    }

    void run(double durationSeconds)
    {
        m_end = runtime.now() + duration(static_cast<std::int64_t>(durationSeconds * 1e9));
        publishReports();
        scheduleArrival();
        while (runtime.now() < m_end && runtime.runNext()) { }
    }

    manual_runtime runtime;
    random_source random; ///< draws the arrivals, which are the same for every policy
    random_source choices; ///< used by the policies only
    std::vector<trial_engine> engines;
    std::vector<trial_entry> entries;
    latency_histogram firstToken;
    latency_histogram betweenTokens;
    double served = 0;
    double refused = 0;
    double withinTarget = 0; ///< requests with a first token within firstTokenTarget

private:
    void scheduleArrival()
    {
        std::exponential_distribution<double> gap(m_perSecond);
        const duration wait(static_cast<std::int64_t>(gap(random.engine()) * 1e9));
        runtime.after(wait, [this] {
            std::exponential_distribution<double> length(1.0 / meanOutputTokens);
            trial_job job;
            job.sentAt = runtime.now();
            job.session = random.index(sessions);
            job.tokens = std::max(1.0, length(random.engine()));
            job.entry = random.index(entryCount);
            send(job);
            scheduleArrival();
        });
    }

    void send(const trial_job &job)
    {
        trial_entry &entry = entries[job.entry];
        for (int offer = 0; offer < maxOffers; ++offer) {
            const std::size_t chosen = m_choose(*this, entry, job);
            trial_engine &engine = engines[chosen];
            // Refused requests count as well until the next report arrives.
            entry.sentSinceReport[chosen] += 1;
            if (static_cast<double>(engine.waiting.size())
                >= m_waitingPerSlot * static_cast<double>(engine.slots))
                continue;
            entry.ownRunning[chosen] += 1;
            entry.lastEngine[job.session] = chosen;
            engine.waiting.push_back(job);
            admit(chosen);
            return;
        }
        refused += 1;
    }

    void admit(std::size_t number)
    {
        trial_engine &engine = engines[number];
        while (engine.running < engine.slots && !engine.waiting.empty()) {
            const trial_job job = engine.waiting.front();
            engine.waiting.pop_front();
            engine.running += 1;
            const bool hit = std::find(engine.cached.begin(), engine.cached.end(), job.session)
                    != engine.cached.end();
            if (!hit)
                engine.cached.push_back(job.session);
            if (engine.cached.size() > cachedSessions)
                engine.cached.pop_front();
            const double prefill = promptTokens * prefillMsPerToken * (hit ? 0.25 : 1.0);
            const double step = engine.tokenMs * (1 + 0.03 * static_cast<double>(engine.running));
            const duration firstTokenDelay(static_cast<std::int64_t>((prefill + step) * 1e6));
            const duration waited = runtime.now() + firstTokenDelay - job.sentAt;
            firstToken.record(waited);
            withinTarget += waited <= firstTokenTarget ? 1 : 0;
            betweenTokens.record(duration(static_cast<std::int64_t>(step * 1e6)));
            const duration totalTime(
                    static_cast<std::int64_t>((prefill + step * job.tokens) * 1e6));
            runtime.after(totalTime, [this, number, entry = job.entry] {
                engines[number].running -= 1;
                entries[entry].ownRunning[number] -= 1;
                served += 1;
                admit(number);
            });
        }
    }

    /// Samples the load of each engine. The entries see the sample after reportDelay.
    void publishReports()
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            const auto pending
                    = static_cast<double>(engines[i].running + engines[i].waiting.size());
            runtime.after(reportDelay, [this, i, pending] {
                engines[i].reportedPending = pending;
                engines[i].reportedRate = 1000.0 / engines[i].tokenMs;
                for (trial_entry &entry : entries)
                    entry.sentSinceReport[i] = 0;
            });
        }
        runtime.after(reportPeriod, [this] { publishReports(); });
    }

    policy m_choose;
    double m_waitingPerSlot;
    double m_perSecond = 1;
    time_point m_end{};
};

/// \returns the engines as \p entry sees them.
/// \param corrected whether to add the requests that the entry itself has sent.
std::vector<endpoint_view> makeEndpointViews(const endpoint_simulation &simulation,
                                             const trial_entry &entry, const trial_job &job,
                                             bool corrected)
{
    std::vector<endpoint_view> views;
    for (std::size_t i = 0; i < engineCount; ++i) {
        endpoint_view view;
        view.reportedPending = simulation.engines[i].reportedPending;
        view.slots = static_cast<double>(simulation.engines[i].slots);
        view.tokensPerSecond = simulation.engines[i].reportedRate;
        if (corrected) {
            view.sentSinceReport = entry.sentSinceReport[i];
            view.ownRunning = entry.ownRunning[i];
            view.holdsPrefix = entry.lastEngine[job.session] == i;
        }
        views.push_back(view);
    }
    return views;
}

std::size_t chooseByExpectedWait(endpoint_simulation &simulation, trial_entry &entry,
                                 const trial_job &job)
{
    const auto views = makeEndpointViews(simulation, entry, job, true);
    return chooseEndpoint(views, {promptTokens, meanOutputTokens}, simulation.choices)->index;
}

std::size_t chooseFromTwo(endpoint_simulation &simulation, trial_entry &, const trial_job &)
{
    const std::size_t a = simulation.choices.index(engineCount);
    const std::size_t b = simulation.choices.index(engineCount);
    return simulation.engines[a].reportedPending <= simulation.engines[b].reportedPending ? a : b;
}

std::size_t chooseLeastLoaded(endpoint_simulation &simulation, trial_entry &, const trial_job &)
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < engineCount; ++i) {
        if (simulation.engines[i].reportedPending < simulation.engines[best].reportedPending)
            best = i;
    }
    return best;
}

std::size_t chooseRoundRobin(endpoint_simulation &, trial_entry &entry, const trial_job &)
{
    return entry.nextEngine++ % engineCount;
}

} // namespace

std::vector<trial_row> laurelcroft::runEndpointTrial(const trial_settings &given)
{
    struct variant_row
    {
        const char *name;
        endpoint_simulation::policy choose;
        double waitingPerSlot;
    };
    const std::vector<variant_row> variants
            = {{"laurelcroft", chooseByExpectedWait, agentWaitingPerSlot},
               {"laurelcroft, long queues", chooseByExpectedWait, 8},
               {"round robin", chooseRoundRobin, agentWaitingPerSlot},
               {"random two, reported load", chooseFromTwo, agentWaitingPerSlot},
               {"least reported load", chooseLeastLoaded, agentWaitingPerSlot}};
    std::vector<trial_row> rows;
    const auto ms = [](std::chrono::nanoseconds value) {
        return std::chrono::duration<double, std::milli>(value).count();
    };
    for (const double load : given.axisValues) {
        for (const auto &[variant, choose, waiting] : variants) {
            endpoint_simulation simulation(given.seed, load, choose, waiting);
            simulation.run(given.runs);
            rows.push_back({given.kind,
                            variant,
                            load,
                            "share of the capacity",
                            {{"first token p50 ms", ms(simulation.firstToken.quantile(0.5))},
                             {"first token p95 ms", ms(simulation.firstToken.quantile(0.95))},
                             {"first token p99 ms", ms(simulation.firstToken.quantile(0.99))},
                             {"between tokens p95 ms", ms(simulation.betweenTokens.quantile(0.95))},
                             {"served/s", simulation.served / given.runs},
                             {"first token in 1.4 s, /s", simulation.withinTarget / given.runs},
                             {"refused share",
                              simulation.refused
                                      / std::max(1.0, simulation.refused + simulation.served)}}});
        }
    }
    return rows;
}
