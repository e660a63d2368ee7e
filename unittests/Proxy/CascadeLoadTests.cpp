//===-- CascadeLoadTests.cpp - second runs during a load wave ---------------===//
//
// Plays a load wave whose peak asks for more endpoint time than there is, if all doubtful answers
// are run again by the largest model. Thirty entries share the endpoints, each of which reads one
// prompt after the other.
//
//===----------------------------------------------------------------------===//
#include "FleetFlows.h"
#include "FlowFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <numbers>

using namespace laurelcroft;

namespace {

constexpr std::size_t entryCount = 30;
constexpr unsigned endpointCount = 24;
constexpr double usualRequestsPerSecond = 165;
constexpr double swing = 0.55; ///< of the wave, relative to the usual rate
constexpr seconds period{15};
constexpr double smallMsPerToken = 0.005;
constexpr double largeMsPerToken = 0.05;
constexpr milliseconds noticeInterval{500};

/// A kind of request. Prompts are distributed exponentially.
struct request_kind
{
    const char *path;
    double meanTokens;
    milliseconds objective;
    int priority;
    double share; ///< of all requests
};
constexpr request_kind kinds[] = {{"/urgent/", 600, milliseconds(1500), 0, 0.3},
                                  {"/long/", 12'000, milliseconds(4000), 1, 0.3},
                                  {"/brief/", 1'800, milliseconds(2000), 2, 0.4}};
constexpr std::size_t urgent = 0;
constexpr std::size_t longest = 1;

struct play_entry
{
    std::string name;
    routing_state routing;
    std::size_t nextListener = 0;
    bool isCutOff = false; ///< from the other entries
    bool lies = false; ///< about the pressure
};

/// What became of one request.
struct request_outcome
{
    std::size_t kind;
    time_point arrivedAt;
    const play_entry *entry;
    flow_record record;

    bool isInTime() const
    {
        return record.reason == flow_reason::served && record.firstPart
                && *record.firstPart <= kinds[kind].objective;
    }
};

struct wave_play;
using wave_environment = fleet_environment<wave_play, play_entry>;

/// Environment that keeps the record of the request.
struct recording_environment : wave_environment
{
    std::size_t kind;
    void finished(const flow_record &record);
};
using wave_flow = request_flow<recording_environment>;

/// The entries, the endpoints and the callers.
struct wave_play
{
    manual_runtime clock;
    random_source random;
    contract_ptr contract = makeContract();
    load_settings load;
    std::list<play_entry> entries;
    std::map<std::string, time_point> readsUntil; ///< by endpoint
    std::vector<request_outcome> outcomes;
    std::vector<std::shared_ptr<wave_flow>> flows;
    bool losesPressureNotices = false;
    time_point startedAt = clock.now();

    explicit wave_play(std::uint64_t seed, feature_mode cascade = feature_mode::on)
        : random(seed)
    {
        load.cascade = cascade;
        for (std::size_t i = 0; i < entryCount; ++i)
            addEntry();
        clock.after(noticeInterval, [this] { sendNotices(); });
    }

    static contract_ptr makeContract()
    {
        auto contract = std::make_shared<service_contract>();
        contract->version = 1;
        for (const request_kind &kind : kinds) {
            service_route route = draftRoute();
            route.name = kind.path;
            route.pathPrefix = kind.path;
            route.objective = kind.objective;
            route.priority = kind.priority;
            route.timeout = milliseconds(20'000);
            contract->routes.push_back(route);
        }
        service_description pool;
        pool.name = "pool";
        pool.models = {{"small", 1}, {"middle", 3}, {"large", 10}};
        contract->services.push_back(pool);
        return contract;
    }

    play_entry &addEntry()
    {
        routing_bounds bounds;
        bounds.load = load;
        bounds.repeats.ratio = 1;
        const std::string name = "entry" + std::to_string(entries.size());
        entries.push_back({name, routing_state(bounds, {}, entries.size() + 1)});
        play_entry &entry = entries.back();
        entry.routing.setContract(contract);
        for (unsigned i = 0; i < endpointCount; ++i) {
            endpoint_record record;
            record.id = "p" + std::to_string(i);
            record.service = "pool";
            record.slots = 64;
            entry.routing.directory().apply(record, clock.now());
        }
        std::vector<std::string> names;
        for (const play_entry &known : entries)
            names.push_back(known.name);
        for (play_entry &known : entries)
            known.routing.setEntries(names, known.name);
        entry.routing.setSendListener([this, &entry](const service_endpoint &endpoint, double ms,
                                                     std::span<const prompt_prefix>) {
            const milliseconds reading(static_cast<std::int64_t>(ms));
            for (play_entry &other : entries) {
                if (&other != &entry && isHeard(entry, other) && ms >= 30)
                    other.routing.noteSendElsewhere(endpoint.record().id, reading, {}, clock.now());
            }
        });
        return entry;
    }

    bool isHeard(const play_entry &from, const play_entry &to) const
    {
        return !from.isCutOff && !to.isCutOff;
    }

    void sendNotices()
    {
        for (play_entry &entry : entries) {
            for (pressure_notice notice : entry.routing.pressureNotices(clock.now())) {
                if (entry.lies)
                    notice = pressure_notice::from(notice.service, {1e9, 1e9}, 1e9);
                tell(entry, notice);
            }
        }
        clock.after(noticeInterval, [this] { sendNotices(); });
    }

    void tell(play_entry &from, const pressure_notice &notice)
    {
        constexpr std::size_t listeners = 3;
        for (std::size_t i = 0; i < listeners; ++i) {
            play_entry &to
                    = *std::next(entries.begin(),
                                 static_cast<std::ptrdiff_t>(from.nextListener++ % entries.size()));
            if (&to != &from && isHeard(from, to) && !losesPressureNotices)
                to.routing.notePressureElsewhere(notice, clock.now());
        }
    }

    manual_runtime &runtime() { return clock; }
    void onReply(int, const http_headers &) { }

    /// The endpoint reads prompts one after the other, then answers.
    void onCall(const play_entry &, const proxy_attempt &attempt, call_events events)
    {
        const bool isLarge = attempt.model == "large";
        const double ms
                = attempt.request->promptTokens * (isLarge ? largeMsPerToken : smallMsPerToken);
        time_point &until = readsUntil[attempt.endpoint->record().id];
        const auto reading = std::chrono::duration<double, std::milli>(1 + ms);
        until = std::max(until, clock.now()) + std::chrono::duration_cast<duration>(reading);
        const int confidence = isLarge ? 90 : static_cast<int>(random.uniform() * 100);
        clock.after(until - clock.now(), [events = std::move(events), confidence] {
            proxy_answer answer;
            answer.status = 200;
            answer.signedByEndpoint = true;
            answer.confidence = confidence;
            events.onAnswer(std::move(answer));
            events.onData(eventText(1));
            events.onEnd(call_end::complete);
        });
    }

    double requestsPerSecond() const
    {
        const double waves = std::chrono::duration<double>(clock.now() - startedAt)
                / std::chrono::duration<double>(period);
        return usualRequestsPerSecond * (1 - swing * std::cos(2 * std::numbers::pi * waves));
    }

    void sendRequest(play_entry &entry)
    {
        double draw = random.uniform();
        std::size_t kind = 0;
        while (kind + 1 < std::size(kinds) && draw >= kinds[kind].share)
            draw -= kinds[kind++].share;
        auto request = requestFor(contract->routes[kind]);
        const double length = -std::log(1 - random.uniform());
        request->promptTokens
                = static_cast<unsigned>(kinds[kind].meanTokens * std::min(length, 4.5));
        flows.push_back(std::make_shared<wave_flow>(recording_environment{{{}, this, &entry}, kind},
                                                    std::move(request)));
        flows.back()->start();
    }

    /// Sends requests for \p time to entries at random, which gives them uneven shares.
    void simulate(duration time)
    {
        const time_point end = clock.now() + time;
        while (clock.now() < end) {
            const double wait = -std::log(1 - random.uniform()) / requestsPerSecond();
            clock.advance(
                    std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait)));
            std::erase_if(flows, [](const auto &flow) { return flow->isDone(); });
            const double draw = random.uniform();
            sendRequest(*std::next(entries.begin(),
                                   static_cast<std::ptrdiff_t>(draw * draw * entries.size())));
        }
    }

    /// \returns the share of requests for which \p isCounted holds, among those for which \p isOf
    /// holds and that arrived from \p from to \p to seconds after the start.
    template <class Of, class Counted>
    double shareOf(double from, double to, Of isOf, Counted isCounted) const
    {
        unsigned of = 0;
        unsigned counted = 0;
        for (const request_outcome &item : outcomes) {
            const double at = std::chrono::duration<double>(item.arrivedAt - startedAt).count();
            if (at < from || at >= to || !isOf(item))
                continue;
            ++of;
            counted += isCounted(item) ? 1 : 0;
        }
        return of == 0 ? 0 : static_cast<double>(counted) / of;
    }

    double inTime(double from, double to, std::size_t kind) const
    {
        return shareOf(
                from, to, [&](const request_outcome &item) { return item.kind == kind; },
                [](const request_outcome &item) { return item.isInTime(); });
    }

    /// \returns the share of second runs, about half of the requests being doubtful.
    double secondRuns(double from, double to, std::size_t kind) const
    {
        return shareOf(
                from, to, [&](const request_outcome &item) { return item.kind == kind; },
                [](const request_outcome &item) { return item.record.escalations > 0; });
    }
};

void recording_environment::finished(const flow_record &record)
{
    fixture->outcomes.push_back({kind, fixture->clock.now() - record.total, entry, record});
}

} // namespace

namespace {

// Seconds of the play: the wave asks for more endpoint time than there is, is at its lowest, and
// has just fallen again to what there is room for.
constexpr double peakFrom = 5;
constexpr double peakTo = 10;
constexpr double calmFrom = 15;
constexpr double calmTo = 18;
constexpr double fallenFrom = 12;
constexpr double fallenTo = 14;
/// Share of urgent requests that must be in time.
constexpr double urgentInTime = 0.98;

/// What callers of the plays got, as means over the plays.
struct wave_result
{
    double urgentInTime = 0; ///< at the peak
    double urgentRuns = 0; ///< share of second runs, at the peak
    double longRuns = 0; ///< the same of long prompts
    double longRunsLater = 0; ///< the same in the later half of the peak
    double longRunsCalm = 0;
    double longRunsFallen = 0; ///< just after the peak
    std::size_t unserved = 0; ///< requests, in all plays
};

/// Plays the wave several times.
/// \param disturb called with each play before its peak.
template <class Disturb>
wave_result playWaves(feature_mode cascade, Disturb disturb)
{
    constexpr int plays = 6;
    constexpr seconds untilDisturbed{4};
    constexpr seconds rest{15};
    wave_result mean;
    for (int seed = 1; seed <= plays; ++seed) {
        wave_play play(seed, cascade);
        play.simulate(untilDisturbed);
        disturb(play);
        play.simulate(rest);
        const double middle = (peakFrom + peakTo) / 2;
        mean.urgentInTime += play.inTime(peakFrom, peakTo, urgent) / plays;
        mean.urgentRuns += play.secondRuns(peakFrom, peakTo, urgent) / plays;
        mean.longRuns += play.secondRuns(peakFrom, peakTo, longest) / plays;
        mean.longRunsLater += play.secondRuns(middle, peakTo, longest) / plays;
        mean.longRunsCalm += play.secondRuns(calmFrom, calmTo, longest) / plays;
        mean.longRunsFallen += play.secondRuns(fallenFrom, fallenTo, longest) / plays;
        mean.unserved += static_cast<std::size_t>(
                std::count_if(play.outcomes.begin(), play.outcomes.end(), [](const auto &item) {
                    return item.record.reason != flow_reason::served;
                }));
    }
    return mean;
}

wave_result playWaves(feature_mode cascade)
{
    return playWaves(cascade, [](wave_play &) {});
}

/// \returns the result of the standing rule without a failure. A failure must not make it worse.
const wave_result &standingRule()
{
    static const wave_result result = playWaves(feature_mode::off);
    return result;
}

} // namespace

TEST_CASE("urgent answers stay in time at a peak, where second runs of long prompts give way")
{
    const wave_result result = playWaves(feature_mode::on);
    CHECK(result.urgentInTime >= urgentInTime);
    CHECK(result.urgentInTime > standingRule().urgentInTime);
    CHECK(result.unserved == 0);
    // Urgent requests with short prompts keep their second runs.
    CHECK(result.urgentRuns > 1.2 * result.longRuns);
    CHECK(result.urgentRuns > standingRule().urgentRuns);
    CHECK(result.longRuns < 0.8 * result.longRunsCalm);
}

TEST_CASE("second runs return at once when a peak has passed, and do not oscillate in it")
{
    const wave_result result = playWaves(feature_mode::on);
    CHECK(result.longRunsFallen > 0.8 * result.longRunsCalm);
    CHECK(std::abs(result.longRunsLater - result.longRuns) < 0.1);
}

TEST_CASE("lost pressure notices cost worse decisions only")
{
    const wave_result result = playWaves(feature_mode::on,
                                         [](wave_play &play) { play.losesPressureNotices = true; });
    CHECK(result.urgentInTime > standingRule().urgentInTime);
    CHECK(result.unserved == 0);
}

TEST_CASE("an entry that starts into a peak does neither run everything again nor nothing")
{
    double runs = 0;
    double others = 0;
    const wave_result result
            = playWaves(feature_mode::on, [](wave_play &play) { play.addEntry(); });
    CHECK(result.urgentInTime > standingRule().urgentInTime);
    for (int seed = 1; seed <= 6; ++seed) {
        wave_play play(static_cast<std::uint64_t>(seed));
        play.simulate(seconds(4));
        const play_entry &joined = play.addEntry();
        play.simulate(seconds(7));
        const auto isRun = [](const request_outcome &item) { return item.record.escalations > 0; };
        const auto isJoined = [&](const request_outcome &item) { return item.entry == &joined; };
        const auto isOther = [&](const request_outcome &item) { return item.entry != &joined; };
        runs += play.shareOf(peakFrom, peakTo, isJoined, isRun);
        others += play.shareOf(peakFrom, peakTo, isOther, isRun);
    }
    CHECK(runs > 0.5 * others);
    CHECK(runs < 1.5 * others);
}

TEST_CASE("an entry that states a false pressure doesn't stop the second runs of others")
{
    const wave_result result
            = playWaves(feature_mode::on, [](wave_play &play) { play.entries.back().lies = true; });
    CHECK(result.urgentInTime >= urgentInTime);
    CHECK(result.longRunsCalm > 0.7 * standingRule().longRunsCalm);
    CHECK(result.unserved == 0);
}

TEST_CASE("an entry that is cut off from the others decides by what it sees")
{
    const wave_result result = playWaves(
            feature_mode::on, [](wave_play &play) { play.entries.front().isCutOff = true; });
    CHECK(result.urgentInTime > standingRule().urgentInTime);
    CHECK(result.longRunsCalm > 0.7 * standingRule().longRunsCalm);
    CHECK(result.unserved == 0);
}

TEST_CASE("a clock that jumps ahead doesn't disturb the decisions")
{
    const wave_result result = playWaves(feature_mode::on, [](wave_play &play) {
        play.clock.advanceWithoutTimers(seconds(5));
        play.startedAt += seconds(5);
    });
    CHECK(result.urgentInTime > standingRule().urgentInTime);
    CHECK(result.longRunsFallen > 0.7 * standingRule().longRunsCalm);
}
