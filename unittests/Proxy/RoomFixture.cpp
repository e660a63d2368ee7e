//===-- RoomFixture.cpp - entries before endpoints with a queue -------------===//
//
// Implements the simulated callers, entries and endpoints.
//
//===----------------------------------------------------------------------===//
#include "RoomFixture.h"

#include <algorithm>
#include <random>

using namespace laurelcroft;

namespace {

constexpr milliseconds networkDelay{1};
constexpr milliseconds callerTimeout{8000};

} // namespace

static service_route routeOf()
{
    service_route route = lookupRoute();
    route.objective = milliseconds(1500);
    route.timeout = callerTimeout;
    return route;
}

static routing_bounds boundsOf(feature_mode admission)
{
    routing_bounds bounds;
    bounds.load.admission = admission;
    return bounds;
}

room_entry::room_entry(const room_plan &plan, std::uint64_t seed)
    : routing(boundsOf(plan.admission), {0, 50}, seed)
{
    auto contract = std::make_shared<service_contract>();
    contract->version = 1;
    contract->routes.push_back(routeOf());
    service_description pool;
    pool.name = "pool";
    contract->services.push_back(pool);
    contract->needsKeys = true;
    for (const room_customer &customer : plan.customers) {
        contract->customerIndexByKey[customer.name] = contract->customers.size();
        contract->customers.push_back({customer.name, customer.urgency});
    }
    routing.setContract(contract);
}

manual_runtime &room_environment::runtime()
{
    return fixture->runtime;
}

call_id room_environment::call(const proxy_attempt &attempt, call_events events)
{
    const std::string &id = attempt.endpoint->record().id;
    const std::size_t endpoint = std::stoul(id.substr(1));
    room_work work{attempt.priority, std::move(events)};
    runtime().after(networkDelay, [fixture = fixture, endpoint, work = std::move(work)] {
        fixture->arrive(endpoint, work);
    });
    return 1;
}

void room_environment::reply(int status, const http_headers &headers, std::string_view)
{
    room_outcome &outcome = fixture->outcomes[request];
    outcome.status = status;
    outcome.time = std::chrono::ceil<milliseconds>(runtime().now() - outcome.arrivedAt);
    for (const http_header &header : headers) {
        if (header.name == "Retry-After")
            outcome.retryAfter = std::stod(header.value);
    }
}

void room_environment::finished(const flow_record &record)
{
    fixture->outcomes[request].record = record;
}

room_fixture::room_fixture(room_plan given)
    : plan(std::move(given))
    , route(routeOf())
    , random(plan.seed)
    , begin(runtime.now())
{
    for (std::size_t i = 0; i < plan.endpoints; ++i)
        endpoints.push_back({"p" + std::to_string(i), 0, {}});
    entries.resize(plan.entries);
    for (std::size_t i = 0; i < plan.entries; ++i)
        start(i);
}

void room_fixture::kill(std::size_t entry)
{
    entries[entry].reset();
}

void room_fixture::start(std::size_t entry)
{
    entries[entry] = std::make_unique<room_entry>(plan, random.bits());
    std::vector<std::string> names;
    for (std::size_t i = 0; i < entries.size(); ++i)
        names.push_back("e" + std::to_string(i));
    if (!plan.storeAway)
        entries[entry]->routing.setEntries(names, names[entry]);
    for (const room_endpoint &endpoint : endpoints) {
        endpoint_record record;
        record.id = endpoint.id;
        record.service = "pool";
        record.host = "127.0.0.1";
        record.port = static_cast<std::uint16_t>(1 + std::stoul(endpoint.id.substr(1)));
        record.softwareVersion = "v1";
        record.slots = statedSlots();
        entries[entry]->routing.directory().apply(record, runtime.now());
    }
}

double room_fixture::roomPerSecond() const
{
    const std::chrono::duration<double> work = plan.workTime;
    return double(plan.endpoints * plan.slots) / work.count();
}

std::size_t room_fixture::pickEntry()
{
    // The first entries get up to three times as many requests as the last ones.
    std::vector<double> weights;
    for (std::size_t i = 0; i < entries.size(); ++i)
        weights.push_back(entries[i] ? 3.0 - 2.0 * double(i) / double(entries.size()) : 0.0);
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return pick(random.engine());
}

void room_fixture::simulate(milliseconds time)
{
    const time_point until = runtime.now() + time;
    for (const room_customer &customer : plan.customers)
        scheduleRequest(customer, until);
    runtime.advance(time);
    end = runtime.now();
}

void room_fixture::drain()
{
    runtime.advance(callerTimeout);
}

void room_fixture::scheduleRequest(const room_customer &customer, time_point until)
{
    std::exponential_distribution<double> pause(customer.demand * roomPerSecond());
    const auto delay = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(pause(random.engine())));
    if (runtime.now() + delay >= until)
        return;
    runtime.after(delay, [this, &customer, until] {
        request(customer);
        scheduleRequest(customer, until);
    });
}

void room_fixture::request(const room_customer &customer)
{
    room_entry &entry = *entries[pickEntry()];
    std::erase_if(entry.flows, [](const auto &flow) {
        return std::static_pointer_cast<request_flow<room_environment>>(flow)->isDone();
    });
    auto request = requestFor(route);
    request->id = "r" + std::to_string(outcomes.size());
    request->key = customer.name;
    request->callerTimeout = callerTimeout;
    request->promptTokens = plan.promptTokens;
    const room_environment environment{{}, this, &entry, outcomes.size()};
    outcomes.push_back({customer.name, runtime.now(), 0, milliseconds(0), 0, {}});
    auto flow = std::make_shared<request_flow<room_environment>>(environment, request);
    entry.flows.push_back(flow);
    flow->start();
}

void room_fixture::arrive(std::size_t index, room_work work)
{
    room_endpoint &endpoint = endpoints[index];
    if (endpoint.running >= plan.slots && endpoint.queue.size() >= plan.queue) {
        answer(index, work.events, http_status::unavailable);
        return;
    }
    const int priority = work.priority;
    endpoint.queue.emplace(priority, std::move(work));
    if (endpoint.running < plan.slots)
        runNext(index);
}

void room_fixture::runNext(std::size_t index)
{
    room_endpoint &endpoint = endpoints[index];
    if (endpoint.queue.empty())
        return;
    ++endpoint.running;
    const call_events events = endpoint.queue.begin()->second.events;
    endpoint.queue.erase(endpoint.queue.begin());
    const auto work
            = std::chrono::duration_cast<duration>(plan.workTime * (0.5 + random.uniform()));
    runtime.after(work, [this, index, events] {
        --endpoints[index].running;
        runNext(index);
        answer(index, events, http_status::ok);
    });
}

void room_fixture::answer(std::size_t index, const call_events &events, int status)
{
    const room_endpoint &endpoint = endpoints[index];
    proxy_answer answer;
    answer.status = status;
    answer.signedByEndpoint = true;
    answer.notRun = status == http_status::unavailable;
    answer.load = stated(index, {endpoint.running, unsigned(endpoint.queue.size()), statedSlots()});
    runtime.after(networkDelay, [events, answer] {
        proxy_answer head = answer;
        events.onAnswer(std::move(head));
        events.onEnd(call_end::complete);
    });
}

double room_fixture::inAim(const std::vector<std::string> &customers, milliseconds from) const
{
    double asked = 0;
    double served = 0;
    for (const room_outcome &outcome : outcomes) {
        const bool counts = outcome.arrivedAt - begin >= from
                && std::find(customers.begin(), customers.end(), outcome.customer)
                        != customers.end();
        asked += counts ? 1 : 0;
        served += counts && outcome.status == 200 && outcome.time <= route.objective ? 1 : 0;
    }
    return served / std::max(1.0, asked);
}

double room_fixture::inAimOfRoom(milliseconds from) const
{
    double served = 0;
    for (const room_outcome &outcome : outcomes) {
        const bool inAim = outcome.status == 200 && outcome.time <= route.objective;
        served += inAim && outcome.arrivedAt - begin >= from ? 1 : 0;
    }
    const std::chrono::duration<double> time = end - begin - from;
    return served / (roomPerSecond() * time.count());
}

milliseconds room_fixture::refusalTime() const
{
    std::vector<milliseconds> times;
    for (const room_outcome &outcome : outcomes) {
        if (outcome.status == http_status::unavailable)
            times.push_back(outcome.time);
    }
    std::sort(times.begin(), times.end());
    return times.empty() ? milliseconds(0) : times[times.size() * 95 / 100];
}

std::size_t room_fixture::countOf(const std::string &customer, int status) const
{
    return std::size_t(std::count_if(outcomes.begin(), outcomes.end(), [&](const auto &outcome) {
        return outcome.customer == customer && outcome.status == status;
    }));
}
