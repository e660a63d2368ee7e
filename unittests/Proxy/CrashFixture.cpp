//===-- CrashFixture.cpp - simulated crashing requests ----------------------===//
//
// Endpoints that crash break all their calls and restart later under another id.
//
//===----------------------------------------------------------------------===//
#include "CrashFixture.h"

#include <cstddef>
#include <iterator>
#include <utility>

using namespace laurelcroft;

namespace {

constexpr unsigned endpointCount = 24;
constexpr unsigned eventCount = 8; ///< events of a stream
constexpr milliseconds runDelay{60}; ///< from a send until the endpoint begins to run it
constexpr milliseconds crashDelay{100}; ///< from then until the endpoint crashes
constexpr milliseconds betweenEvents{50};
constexpr milliseconds rowRemovalDelay{1500}; ///< from a crash until the row is removed
constexpr milliseconds restartDelay{4000}; ///< from a crash until the restart
constexpr milliseconds heartbeatInterval{600}; ///< interval of an endpoint's row updates
/// Time within which all connected entries have to withhold the request.
constexpr milliseconds detectionTime{3000};
constexpr milliseconds probeTime{3}; ///< to find out that an endpoint has exited

} // namespace

crash_fixture::crash_fixture(std::size_t entryCount, std::uint64_t seed)
    : random(seed)
{
    route.resumable = true;
    route.timeout = milliseconds(8000);
    entries.store.put("orders", "contract", "7");
    for (unsigned i = 0; i < endpointCount; ++i)
        startEndpoint();
    entries.start(0, entryCount);
    entries.runtime.advance(seconds(5));
    for (fleet_entry &entry : entries.entries) {
        useContract(entry);
        link(entry);
    }
}

void crash_fixture::useContract(fleet_entry &entry) const
{
    entry.routing.setContract(contractFor(route, 100));
}

void crash_fixture::link(fleet_entry &entry)
{
    crash_notice_senders links;
    links.sendCrashNotice = [this, &entry](const crash_notice &notice) {
        sendNotice(entry, notice, encodeCrashNotice(notice).size(), notice.isUrgent());
    };
    links.sendWithheldNotice = [this, &entry](const withheld_notice &notice) {
        sendNotice(entry, notice, encodeWithheldNotice(notice).size(), true);
    };
    links.sendClearedNotice = [this, &entry](const cleared_notice &notice) {
        sendNotice(entry, notice, encodeClearedNotice(notice).size(), true);
    };
    entry.routing.crashes().setSenders(std::move(links));
    borrow_senders borrowing;
    borrowing.sendRequest = [this](const std::string &to, const borrow_request &request) {
        sendTo(to, [this, request](fleet_entry &lender) {
            lender.routing.noteBorrowRequest(request, entries.runtime.now());
        });
    };
    borrowing.sendReply = [this](const std::string &to, const borrow_reply &reply) {
        sendTo(to, [this, reply](fleet_entry &borrower) {
            borrower.routing.borrowing().applyReply(reply, entries.runtime.now());
        });
    };
    entry.routing.borrowing().setSenders(std::move(borrowing));
}

void crash_fixture::sendTo(const std::string &name, std::function<void(fleet_entry &)> deliver)
{
    if (random.chance(lostDatagrams))
        return;
    later(networkDelay, [this, name, deliver = std::move(deliver)] {
        for (fleet_entry &entry : entries.entries) {
            if (entry.name == name)
                deliver(entry);
        }
    });
}

void crash_fixture::startEndpoint()
{
    const std::string id = "p" + std::to_string(++lastEndpoint);
    alive.insert(id);
    sendHeartbeat(id);
}

void crash_fixture::sendHeartbeat(const std::string &id)
{
    if (alive.count(id) == 0)
        return;
    entries.store.put("endpoints", id, version);
    entries.runtime.after(heartbeatInterval, [this, id] { sendHeartbeat(id); });
}

void crash_fixture::endEndpoint(std::string id)
{
    if (alive.erase(id) == 0)
        return;
    std::vector<call_id> broken;
    for (const auto &[number, call] : calls) {
        if (call.endpoint == id)
            broken.push_back(number);
    }
    for (const call_id number : broken)
        later(milliseconds(1), [this, number] { endCall(number, call_end::broken); });
    // The idle connections of all entries that have used it are closed as well.
    for (fleet_entry *entry : users[id])
        later(milliseconds(1), [this, entry, id] { idleClosed(*entry, id); });
    later(rowRemovalDelay, [this, id] { entries.store.remove("endpoints", id); });
    later(restartDelay, [this] { startEndpoint(); });
}

void crash_fixture::idleClosed(fleet_entry &entry, const std::string &id)
{
    const auto endpoint = entry.routing.directory().all().find(id);
    if (endpoint != entry.routing.directory().all().end())
        crash_environment{{}, this, &entry, ""}.checkEnded(endpoint->second);
}

void crash_fixture::endCall(call_id number, call_end how)
{
    const auto node = calls.extract(number);
    if (!node.empty())
        node.mapped().events.onEnd(how);
}

void crash_fixture::begins(call_id number, const std::string &id, bool crashes)
{
    if (alive.count(id) == 0)
        return;
    if (crashes) {
        later(crashDelay, [this, id] {
            if (alive.count(id) != 0)
                endedAt.push_back(entries.runtime.now());
            endEndpoint(id);
        });
    }
    const auto call = calls.find(number);
    if (call == calls.end())
        return;
    const call_events events = call->second.events;
    proxy_answer answer;
    answer.status = http_status::ok;
    answer.signedByEndpoint = true;
    answer.confidence = int(random.index(100));
    events.onAnswer(std::move(answer));
    const unsigned first = firstEvents[number];
    for (unsigned event = first; event <= eventCount; ++event) {
        later(betweenEvents * int(event - first + 1), [this, number, event] {
            const auto running = calls.find(number);
            if (running == calls.end())
                return;
            running->second.events.onData(eventText(event));
            if (event == eventCount)
                endCall(number, call_end::complete);
        });
    }
}

void crash_fixture::request(const std::string &who, const std::string &body)
{
    std::erase_if(flows, [](const auto &flow) { return flow->isDone(); });
    auto entry = entries.entries.begin();
    std::advance(entry, std::ptrdiff_t(random.index(entries.entries.size())));
    auto item = requestFor(route);
    item->id = std::to_string(++lastRequest);
    item->body = body;
    item->promptParts = endsEndpoints(body) ? crasherParts : othersParts;
    item->promptParts.push_back({"own" + item->id, 200});
    flows.push_back(std::make_shared<crash_flow>(crash_environment{{}, this, &*entry, who}, item));
    flows.back()->start();
}

void crash_fixture::simulate(milliseconds time, milliseconds crashPause)
{
    constexpr milliseconds step{10};
    constexpr milliseconds othersPause{40};
    for (milliseconds at{0}; at < time; at += step) {
        if (at.count() % othersPause.count() == 0)
            request("others", std::to_string(lastRequest));
        if (crashPause.count() > 0 && at.count() % crashPause.count() == 0)
            request("crasher", crasher + std::to_string(++lastCrasher % crashers));
        if (popularRequestInterval.count() > 0 && at.count() % popularRequestInterval.count() == 0)
            request("popular", "everybody asks this");
        if (unrelatedCrashInterval.count() > 0 && at.count() % unrelatedCrashInterval.count() == 0
            && !alive.empty())
            endEndpoint(*std::next(alive.begin(), std::ptrdiff_t(random.index(alive.size()))));
        entries.runtime.advance(step);
    }
}

unsigned crash_fixture::laterArrivals(std::size_t crash) const
{
    if (endedAt.size() < crash)
        return 0;
    const auto known = endedAt[crash - 1] + detectionTime;
    return unsigned(std::count_if(arrivals.begin(), arrivals.end(),
                                  [known](time_point at) { return at > known; }));
}

manual_runtime &crash_environment::runtime()
{
    return fixture->entries.runtime;
}

call_id crash_environment::call(proxy_attempt attempt, call_events events)
{
    const std::string id = attempt.endpoint->record().id;
    const call_id number = ++fixture->lastCall;
    fixture->calls[number] = {id, std::move(events)};
    fixture->firstEvents[number] = unsigned(attempt.afterEvent.value_or(0)) + 1;
    if (fixture->alive.count(id) == 0) {
        fixture->later(milliseconds(1), [fixture = fixture, number] {
            fixture->endCall(number, call_end::notSent);
        });
        return number;
    }
    fixture->users[id].insert(entry);
    const bool crashes = crash_fixture::endsEndpoints(attempt.request->body);
    if (crashes)
        fixture->arrivals.push_back(runtime().now());
    fixture->later(runDelay, [fixture = fixture, number, id, crashes] {
        fixture->begins(number, id, crashes);
    });
    return number;
}

void crash_environment::cancel(call_id call)
{
    fixture->calls.erase(call);
}

void crash_environment::ended(int status)
{
    caller_outcomes &outcomes = fixture->outcomes[who];
    (status == http_status::ok ? outcomes.served : outcomes.other) += 1;
}

void crash_environment::finished(const flow_record &record)
{
    fixture->outcomes[who].withheld += record.reason == flow_reason::withheld ? 1 : 0;
}

void crash_environment::checkEnded(const endpoint_ptr &endpoint)
{
    const time_point at = runtime().now();
    if (routing().runs().findSuspects(endpoint->record().id, at).empty())
        return;
    fixture->later(probeTime, [fixture = fixture, entry = entry, endpoint, at] {
        if (fixture->alive.count(endpoint->record().id) == 0)
            entry->routing.crashes().endpointEnded(*endpoint, at);
    });
}
