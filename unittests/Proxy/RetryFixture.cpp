//===-- RetryFixture.cpp - simulated entries with retries -------------------===//
//
// Killing a process destroys its flows and state. Requests that it has sent still arrive.
//
//===----------------------------------------------------------------------===//
#include "RetryFixture.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

constexpr milliseconds way{1};
constexpr std::size_t sessions = 100;

contract_ptr contractOf(const service_route &route)
{
    const auto contract = contractFor(route, 1);
    contract->services.front().models = {{"small", 1}, {"middle", 3}, {"large", 10}};
    return contract;
}

} // namespace

manual_runtime &retry_environment::runtime()
{
    return fixture->runtime;
}

call_id retry_environment::call(proxy_attempt attempt, call_events events)
{
    const std::string request = attempt.request->id;
    const std::string endpoint = attempt.endpoint->record().id;
    fixture->runtime.after(way, [fixture = fixture, request, endpoint, events = std::move(events)] {
        ++fixture->arrivals[request];
        if (fixture->arrivals[request] > 1)
            fixture->retries.push_back(fixture->runtime.now());
        const request_outcome how = fixture->endpointEnds(endpoint);
        fixture->runtime.after(fixture->plan.answerTime, [fixture, request, how, events] {
            proxy_answer answer;
            answer.requestId = request;
            answer.signedByEndpoint = true;
            const bool isSuccess
                    = how == request_outcome::answers || how == request_outcome::interrupts;
            answer.status = isSuccess ? http_status::ok : http_status::unavailable;
            answer.notRun = how == request_outcome::refuses;
            answer.confidence = int(fixture->random.index(100));
            if (how == request_outcome::hangs)
                return;
            if (how != request_outcome::breaks)
                events.onAnswer(std::move(answer));
            const bool isInterrupted = how == request_outcome::interrupts;
            if (isInterrupted)
                events.onData(eventText(1));
            const bool isBroken = isInterrupted || how == request_outcome::breaks;
            events.onEnd(isBroken ? call_end::broken : call_end::complete);
        });
    });
    return ++fixture->lastCall;
}

void retry_environment::reply(int status, const http_headers &headers, std::string_view)
{
    ++fixture->statuses[status];
    for (const http_header &header : headers) {
        if (header.name == "Retry-After")
            fixture->retryAfter.push_back(std::stod(header.value));
    }
}

void retry_environment::end()
{
    ++fixture->statuses[http_status::ok];
}

void retry_environment::abort()
{
    ++fixture->statuses[0];
}

retry_fixture::retry_fixture(retry_plan given)
    : plan(std::move(given))
    , rule{{0.9, plan.allowance, seconds(10)}}
    , random(plan.seed)
{
    for (std::size_t i = 0; i < plan.entries; ++i) {
        entries.emplace_back();
        start(i);
    }
    setEntriesOfAll();
}

void retry_fixture::updateEntries()
{
    if (!plan.storeAway)
        setEntriesOfAll();
}

void retry_fixture::setEntriesOfAll()
{
    std::vector<std::string> names;
    for (const auto &entry : entries) {
        if (entry)
            names.push_back(entry->name);
    }
    for (const auto &entry : entries) {
        if (entry)
            entry->routing.setEntries(names, entry->name);
    }
}

void retry_fixture::start(std::size_t index)
{
    if (entries[index])
        return;
    routing_bounds bounds;
    bounds.repeats = rule.bounds;
    const std::string name = "e" + std::to_string(index);
    entries[index].reset(new retry_entry{
            name, routing_state(bounds, {0, 50}, random.bits()), {}, true, false, {}});
    entries[index]->routing.setContract(contractOf(plan.route));
    listEndpoints(entries[index]->routing);
    connectBorrowing(*entries[index]);
    runtime.after(plan.discoveryTime, [this] { updateEntries(); });
}

void retry_fixture::listEndpoints(routing_state &routing) const
{
    for (unsigned i = 0; i < plan.endpoints; ++i) {
        endpoint_record record;
        record.id = "p" + std::to_string(i);
        record.service = "pool";
        record.host = "127.0.0.1";
        record.port = std::uint16_t(i + 1);
        record.softwareVersion = "v1";
        record.slots = 16;
        routing.directory().apply(record, runtime.now());
    }
}

void retry_fixture::connectBorrowing(retry_entry &entry)
{
    borrow_senders senders;
    senders.sendRequest = [this](const std::string &to, const borrow_request &request) {
        deliver(to, [this, request](retry_entry &lender) {
            lender.routing.noteBorrowRequest(request, runtime.now());
        });
    };
    senders.sendReply = [this](const std::string &to, const borrow_reply &reply) {
        deliver(to, [this, reply](retry_entry &borrower) {
            borrower.routing.borrowing().applyReply(reply, runtime.now());
        });
    };
    entry.routing.borrowing().setSenders(std::move(senders));
}

void retry_fixture::deliver(const std::string &name, std::function<void(retry_entry &)> action)
{
    runtime.after(way, [this, name, action = std::move(action)] {
        for (const auto &entry : entries) {
            if (entry && entry->name == name && !entry->isSuspended)
                action(*entry);
        }
    });
}

void retry_fixture::kill(std::size_t index)
{
    entries[index].reset();
    runtime.after(plan.discoveryTime, [this] { updateEntries(); });
}

void retry_fixture::join()
{
    entries.emplace_back();
    start(entries.size() - 1);
}

void retry_fixture::restart(std::size_t index)
{
    constexpr milliseconds drainTime{300};
    if (!entries[index])
        return;
    entries[index]->takesRequests = false;
    runtime.after(drainTime, [this, index] {
        entries[index].reset();
        start(index);
    });
}

std::vector<std::size_t> retry_fixture::acceptingEntries() const
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (entries[i] && entries[i]->takesRequests)
            indices.push_back(i);
    }
    return indices;
}

void retry_fixture::request()
{
    requests.push_back(runtime.now());
    const std::string id = "r" + std::to_string(++lastRequest);
    runtime.after(way, [this, id] {
        const std::vector<std::size_t> places = acceptingEntries();
        if (places.empty())
            return;
        const bool goesToPreferred = preferredEntry
                && std::find(places.begin(), places.end(), *preferredEntry) != places.end();
        const std::size_t place
                = goesToPreferred ? *preferredEntry : places[random.index(places.size())];
        retry_entry &entry = *entries[place];
        if (entry.isSuspended)
            entry.unread.push_back(id);
        else
            take(entry, id);
    });
}

void retry_fixture::take(retry_entry &entry, const std::string &id)
{
    auto item = requestFor(plan.route);
    item->id = id;
    item->key.clear();
    item->session = "s" + std::to_string(random.index(sessions));
    const auto flow = std::make_shared<retry_flow>(retry_environment{{}, this, &entry}, item);
    entry.flows.push_back(flow);
    flow->start();
}

void retry_fixture::suspend(std::size_t index)
{
    if (entries[index])
        entries[index]->isSuspended = true;
}

void retry_fixture::resume(std::size_t index)
{
    if (!entries[index])
        return;
    entries[index]->isSuspended = false;
    const std::vector<std::string> unread = std::exchange(entries[index]->unread, {});
    for (const std::string &id : unread)
        take(*entries[index], id);
}

void retry_fixture::simulate(milliseconds time)
{
    const time_point end = runtime.now() + time;
    while (runtime.now() < end) {
        request();
        const double pause = -std::log(1 - random.uniform()) / plan.perSecond;
        runtime.advance(std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause)));
    }
}
