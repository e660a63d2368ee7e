//===-- PaceFlowTests.cpp - endpoints of unlike pace under load -------------===//
//
// What callers get from entries in front of endpoints of which half are three times as slow, and
// what a flow does with the pace of an endpoint.
//
//===----------------------------------------------------------------------===//
#include "DefaultEnvironment.h"
#include "FlowFixture.h"

#include <doctest/doctest.h>

#include <array>
#include <cmath>
#include <deque>
#include <list>

using namespace laurelcroft;

namespace {

constexpr unsigned endpoints = 12;
constexpr unsigned entries = 12;
constexpr unsigned slots = 4;
constexpr unsigned eventsPerAnswer = 10;
constexpr milliseconds eventTime{10}; ///< between two events at an endpoint of the usual pace
constexpr double slowFactor = 3;
/// Part of the endpoints' room that callers ask for.
constexpr double demand = 0.85;
/// A caller is served in time if its first event and its last one come within these.
constexpr milliseconds firstInTime{400};
constexpr milliseconds wholeInTime{1500};
constexpr milliseconds networkDelay{1};
constexpr milliseconds noticeInterval{1000};
constexpr std::size_t noticeRecipients = 4;

/// One entry without a store.
struct pace_entry
{
    pace_entry(const routing_bounds &bounds, std::uint64_t seed)
        : routing(bounds, {0, 50}, seed)
    {
    }
    routing_state routing;
};

struct pace_play;

/// Environment of one request in a play.
struct pace_environment : default_environment
{
    pace_play *play;
    pace_entry *entry;
    time_point sentAt;
    std::optional<time_point> firstAt{};

    manual_runtime &runtime();
    routing_state &routing() { return entry->routing; }
    call_id call(const proxy_attempt &attempt, call_events events);
    void cancel(call_id call);
    void begin(int, const http_headers &) { firstAt = runtime().now(); }
    void end();
};

using pace_flow = request_flow<pace_environment>;

/// An endpoint that runs as many requests as it has slots, and queues the others.
struct uneven_endpoint
{
    bool isSlow = false;
    unsigned running = 0;
    std::deque<call_id> queue;
};

/// Parameters of a play.
struct pace_options
{
    bool states = true; ///< the endpoints state their pace
    milliseconds turnInterval{0}; ///< after which the other half becomes slow; 0: never
    feature_mode mode = feature_mode::automatic;
    bool losesNotices = false;
};

/// Entries in front of uneven endpoints, with callers that arrive at random.
struct pace_play
{
    explicit pace_play(const pace_options &options)
        : options(options)
    {
        route = draftRoute();
        route.objective = firstInTime;
        route.models = {"small"};
        routing_bounds bounds;
        bounds.load.pace = options.mode;
        for (unsigned i = 0; i < entries; ++i)
            addEntry(bounds, i);
        for (unsigned i = 0; i < endpoints; ++i)
            simulated.at("p" + std::to_string(i)).isSlow = i % 2 == 0;
        exchange();
        turn();
        for (pace_entry &entry : all)
            entry.routing.pace().setListener([this, &entry](const pace_notice &notice) {
                send(entry, notice, entries - 1);
            });
    }

    void addEntry(const routing_bounds &bounds, unsigned number)
    {
        routing_state &routing = all.emplace_back(bounds, number + 1).routing;
        routing.setContract(contractFor(route, 1));
        for (unsigned i = 0; i < endpoints; ++i) {
            endpoint_record record;
            record.id = "p" + std::to_string(i);
            record.service = "pool";
            record.slots = slots;
            routing.directory().apply(record, runtime.now());
            simulated[record.id];
        }
    }

    /// Sends each entry's notice to a few others, once a second.
    void exchange()
    {
        for (pace_entry &from : all) {
            const std::optional<pace_notice> notice = from.routing.pace().takeNotice();
            if (notice)
                send(from, *notice, noticeRecipients);
        }
        runtime.after(noticeInterval, [this] { exchange(); });
    }

    /// Sends a notice to the next \p recipients entries in turn.
    void send(const pace_entry &from, const pace_notice &notice, std::size_t recipients)
    {
        for (std::size_t i = 0; !options.losesNotices && i < recipients; ++i) {
            pace_entry *to = nullptr;
            while (!to || to == &from)
                to = &*std::next(all.begin(), static_cast<long>(next++ % entries));
            runtime.after(networkDelay, [this, to, notice] {
                to->routing.notePaceElsewhere(notice, runtime.now());
            });
        }
    }

    void turn()
    {
        if (options.turnInterval == milliseconds(0))
            return;
        runtime.after(options.turnInterval, [this] {
            for (auto &[id, endpoint] : simulated)
                endpoint.isSlow = !endpoint.isSlow;
            turn();
        });
    }

    void arrive(const std::string &id, call_id call)
    {
        uneven_endpoint &endpoint = simulated.at(id);
        endpoint.queue.push_back(call);
        startNext(endpoint);
    }

    void startNext(uneven_endpoint &endpoint)
    {
        if (endpoint.running >= slots || endpoint.queue.empty())
            return;
        const call_id call = endpoint.queue.front();
        endpoint.queue.pop_front();
        if (calls.count(call) == 0)
            return startNext(endpoint);
        ++endpoint.running;
        sendEvent(endpoint, call, 1);
    }

    void endRun(uneven_endpoint &endpoint)
    {
        --endpoint.running;
        startNext(endpoint);
    }

    /// A cancelled call frees its slot at its next event.
    void sendEvent(uneven_endpoint &endpoint, call_id call, unsigned number)
    {
        const duration pause = endpoint.isSlow ? eventTime * int(slowFactor) : eventTime;
        runtime.after(pause, [this, &endpoint, call, number] {
            const auto known = calls.find(call);
            if (known == calls.end())
                return endRun(endpoint);
            const call_events events = known->second;
            if (number == 1)
                events.onAnswer(headOf(endpoint));
            events.onData(eventText(number));
            if (number < eventsPerAnswer)
                return sendEvent(endpoint, call, number + 1);
            calls.erase(call);
            events.onEnd(call_end::complete);
            endRun(endpoint);
        });
    }

    proxy_answer headOf(const uneven_endpoint &endpoint) const
    {
        proxy_answer head;
        head.status = http_status::ok;
        head.signedByEndpoint = true;
        head.load = {endpoint.running, static_cast<unsigned>(endpoint.queue.size()), slots};
        if (options.states)
            head.load->slowdown = endpoint.isSlow ? slowFactor : 1;
        return head;
    }

    /// Lets callers arrive for \p time.
    void simulate(duration time)
    {
        const double atUsualPace
                = slots / std::chrono::duration<double>(eventTime * eventsPerAnswer).count();
        const double room = endpoints / 2.0 * atUsualPace * (1 + 1 / slowFactor);
        const time_point end = runtime.now() + time;
        while (runtime.now() < end) {
            const double wait = -std::log(1 - random.uniform()) / (demand * room);
            runtime.advance(
                    std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait)));
            std::erase_if(flows, [](const auto &flow) { return flow->isDone(); });
            pace_entry &entry = *std::next(all.begin(), static_cast<long>(random.bits() % entries));
            entry.routing.repeats("pool").countRequest(runtime.now(), 1.0 / entries);
            flows.push_back(std::make_shared<pace_flow>(
                    pace_environment{{}, this, &entry, runtime.now()}, requestFor(route)));
            flows.back()->start();
            ++asked;
        }
    }

    double shareInTime() const { return double(inTime) / asked; }

    pace_options options;
    service_route route;
    manual_runtime runtime;
    random_source random{7};
    std::map<std::string, uneven_endpoint> simulated;
    std::list<pace_entry> all;
    std::map<call_id, call_events> calls; ///< not cancelled
    call_id lastCall = 0;
    std::vector<std::shared_ptr<pace_flow>> flows;
    std::size_t next = 0;
    unsigned asked = 0;
    unsigned inTime = 0;
};

manual_runtime &pace_environment::runtime()
{
    return play->runtime;
}

call_id pace_environment::call(const proxy_attempt &attempt, call_events events)
{
    const call_id call = ++play->lastCall;
    play->calls[call] = std::move(events);
    runtime().after(networkDelay, [play = play, call, id = attempt.endpoint->record().id] {
        play->arrive(id, call);
    });
    return call;
}

void pace_environment::cancel(call_id call)
{
    play->calls.erase(call);
}

void pace_environment::end()
{
    const bool isInTime = firstAt && *firstAt - sentAt <= firstInTime
            && runtime().now() - sentAt <= wholeInTime;
    play->inTime += isInTime ? 1 : 0;
}

/// \returns the share of callers served in time.
double playWith(const pace_options &options)
{
    pace_play play(options);
    play.simulate(seconds(10));
    play.asked = 0;
    play.inTime = 0;
    play.simulate(seconds(30));
    return play.shareInTime();
}

} // namespace

TEST_CASE("half of the endpoints are three times as slow: callers are served in time")
{
    const double share = playWith({});
    MESSAGE("in time: ", share);
    CHECK(share >= 0.97);
}

TEST_CASE("the slow half changes each 1.5 s and the endpoints state it")
{
    const double share = playWith({true, milliseconds(1500)});
    MESSAGE("in time: ", share);
    CHECK(share >= 0.90);
}

TEST_CASE("half of the endpoints are slow, which is only observed")
{
    const double share = playWith({false, milliseconds(0), feature_mode::on});
    MESSAGE("in time: ", share);
    CHECK(share >= 0.93);
}

TEST_CASE("half of the endpoints are slow, which is only observed, and notices are lost")
{
    const double share = playWith({false, milliseconds(0), feature_mode::on, true});
    MESSAGE("in time: ", share);
    CHECK(share >= 0.93);
}

TEST_CASE("a flow prefers an endpoint that states to be faster, and tells the others")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    for (int i = 0; i < 8; ++i) {
        startFlow(fixture, requestFor(lookupRoute()));
        proxy_answer head;
        head.status = http_status::ok;
        head.signedByEndpoint = true;
        head.load = {0, 0, 4};
        head.load->slowdown = fixture.endpointOf(fixture.calls.size() - 1) == "e1" ? 3 : 1;
        // Another request keeps running at each endpoint, so that the costs differ.
        if (i == 0)
            for (const auto &[id, endpoint] : fixture.routing.directory().all())
                endpoint->requestStarted();
        fixture.answer(fixture.calls.size() - 1, std::move(head), call_end::complete);
    }
    CHECK(fixture.routing.usesPace("pool"));
    CHECK(fixture.endpointOf(fixture.calls.size() - 1) == "e2");
    const auto notice = fixture.routing.pace().takeNotice();
    REQUIRE(notice);
    CHECK(notice->reports.front().statedPercent > 0);
}

TEST_CASE("the pace that another process at the address states does not count for the endpoint")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    proxy_answer answer;
    answer.status = 421;
    answer.notRun = true;
    answer.misdirected = true;
    answer.load = {0, 0, 4};
    answer.load->slowdown = 5;
    fixture.answer(0, std::move(answer), call_end::complete);
    CHECK_FALSE(fixture.routing.usesPace("pool"));
    CHECK_FALSE(fixture.routing.directory().all().at("e1")->pace().isStated());
}

/// \returns the number of calls that a request with a long prompt has made after \p time, when no
/// endpoint answers and all state \p slowdown.
static std::size_t callsAfter(milliseconds time, double slowdown)
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    for (const auto &[id, endpoint] : fixture.routing.directory().all()) {
        for (int i = 0; i < 2; ++i)
            endpoint->pace().noteStated(slowdown, fixture.runtime.now());
        fixture.routing.notePaceStated(*endpoint, fixture.runtime.now());
    }
    const auto request = requestFor(draftRoute());
    request->promptTokens = 20'000;
    startFlow(fixture, request);
    fixture.runtime.advance(time);
    return fixture.calls.size();
}

TEST_CASE("a long prompt at a slow endpoint is given more time before it is sent again")
{
    CHECK(callsAfter(milliseconds(2000), 1) == 2);
    CHECK(callsAfter(milliseconds(2000), 3) == 1);
    // It can't be in time elsewhere any more, so it stays for 0.35 of the route's timeout.
    CHECK(callsAfter(milliseconds(6900), 3) == 1);
    CHECK(callsAfter(milliseconds(7100), 3) == 2);
}
