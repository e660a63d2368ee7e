//===-- BudgetBorrowingTests.cpp - further sends of other entries -----------===//
//
// The messages, what lenders grant, which replies count, how flows use a borrowed send, and that
// borrowing keeps the bound on further sends of all entries.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/BudgetBorrowing.h"

#include "../Policy/RepeatRule.h"
#include "FlowFixture.h"

#include "laurelcroft/Support/MessagePack.h"
#include "laurelcroft/Support/Random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr time_point start{seconds(1000)};

/// An entry whose messages the test reads.
struct borrowing_entry
{
    budget_borrowing borrowing{1};
    std::vector<std::string> lenders; ///< entries that were asked
    std::vector<borrow_request> requests;
    std::vector<borrow_reply> replies;

    explicit borrowing_entry(const std::vector<std::string> &others)
    {
        borrow_senders senders;
        senders.sendRequest = [this](const std::string &entry, const borrow_request &request) {
            lenders.push_back(entry);
            requests.push_back(request);
        };
        senders.sendReply = [this](const std::string &, const borrow_reply &reply) {
            replies.push_back(reply);
        };
        borrowing.setSenders(std::move(senders));
        std::vector<std::string> names = others;
        names.emplace_back("own");
        borrowing.setEntries(names, "own");
    }
};

} // namespace

TEST_CASE("borrow messages are unchanged by encoding and decoding")
{
    const borrow_request request{7, "e1", "pool"};
    CHECK(decodeBorrowRequest(encodeBorrowRequest(request)) == request);
    for (const bool isGranted : {false, true}) {
        const borrow_reply reply{7, isGranted};
        CHECK(decodeBorrowReply(encodeBorrowReply(reply)) == reply);
    }
}

TEST_CASE("bytes that are not a borrow message are rejected")
{
    const json request = json::array({"borrow", 7U, "e1", "pool"});
    REQUIRE(decodeBorrowRequest(encodeMessagePack(request)));
    const std::vector<json> wrongRequest = {"lend", -7, "", 5U};
    for (std::size_t i = 0; i < wrongRequest.size(); ++i) {
        CAPTURE(i);
        json item = request;
        item[i] = wrongRequest[i];
        CHECK_FALSE(decodeBorrowRequest(encodeMessagePack(item)));
    }
    const json reply = json::array({"lend", 7U, true});
    REQUIRE(decodeBorrowReply(encodeMessagePack(reply)));
    const std::vector<json> wrongReply = {"borrow", "7", 1U};
    for (std::size_t i = 0; i < wrongReply.size(); ++i) {
        CAPTURE(i);
        json item = reply;
        item[i] = wrongReply[i];
        CHECK_FALSE(decodeBorrowReply(encodeMessagePack(item)));
    }
    CHECK_FALSE(decodeBorrowRequest("x"));
    CHECK_FALSE(decodeBorrowReply(encodeMessagePack(json::array({"lend"}))));
}

TEST_CASE("a lender takes each send from its own budget, and lends only to entries it knows")
{
    borrowing_entry lender({"e1"});
    send_budget budget({1, 0, seconds(10)});
    for (int i = 0; i < 12; ++i)
        budget.countRequest(start, 0);
    const auto sends = unsigned(budget.availableSends(start, 0));
    REQUIRE(sends == 2);
    lender.borrowing.applyRequest({1, "stranger", "pool"}, &budget, 0, start);
    CHECK(lender.replies.empty());
    for (std::uint64_t id = 1; id <= 3; ++id)
        lender.borrowing.applyRequest({id, "e1", "pool"}, &budget, 0, start);
    lender.borrowing.applyRequest({4, "e1", "other"}, nullptr, 0, start);
    const std::vector<borrow_reply> expected{{1, true}, {2, true}, {3, false}, {4, false}};
    CHECK(lender.replies == expected);
    CHECK(budget.availableSends(start, 0) < 1);
    CHECK(lender.borrowing.takeCounts().lent == sends);
}

TEST_CASE("the other entries are asked in turn")
{
    borrowing_entry entry({"e1", "e2", "e3"});
    for (int i = 0; i < 6; ++i)
        CHECK(entry.borrowing.ask("pool", "r1", start, [](bool) {}));
    for (const std::string name : {"e1", "e2", "e3"})
        CHECK(std::count(entry.lenders.begin(), entry.lenders.end(), name) == 2);
    CHECK(entry.requests[0].borrower == "own");
    CHECK(entry.requests[0].id != entry.requests[1].id);
}

TEST_CASE("an entry asks at a bounded rate, and only when there are other entries")
{
    borrowing_entry entry({"e1"});
    unsigned asked = 0;
    while (entry.borrowing.ask("pool", "r1", start, [](bool) {}))
        ++asked;
    CHECK(asked == budget_borrowing::requestBurst);
    CHECK(!entry.borrowing.canAsk(start));
    CHECK(entry.borrowing.canAsk(start + seconds(1)));
    borrowing_entry alone({});
    CHECK(!alone.borrowing.canAsk(start));
}

TEST_CASE("a reply counts once, and only in time")
{
    borrowing_entry entry({"e1"});
    std::vector<bool> decisions;
    const auto ask = [&] {
        return entry.borrowing.ask("pool", "r1", start,
                                   [&](bool isGranted) { decisions.push_back(isGranted); });
    };
    const auto first = ask();
    const auto second = ask();
    const auto third = ask();
    const time_point inTime = start + budget_borrowing::replyTimeout;
    entry.borrowing.applyReply({*first, true}, inTime);
    entry.borrowing.applyReply({*first, true}, inTime);
    CHECK(decisions == std::vector<bool>{true});
    CHECK(!entry.borrowing.expire(*first));
    // A suspended process reads a reply long after the lender has sent it.
    entry.borrowing.applyReply({*second, true}, inTime + milliseconds(1));
    CHECK(entry.borrowing.expire(*second));
    CHECK(entry.borrowing.expire(*third));
    entry.borrowing.applyReply({*third, true}, inTime);
    CHECK(decisions.size() == 1);
    CHECK(entry.borrowing.takeCounts().unanswered == 2);
}

TEST_CASE("requests whose flows have ended are dropped")
{
    borrowing_entry entry({"e1"});
    time_point now = start;
    for (int i = 0; i < 100; ++i) {
        now += seconds(1);
        REQUIRE(entry.borrowing.ask("pool", "r1", now, [](bool) {}));
    }
    CHECK(entry.borrowing.pendingRequests() == 1);
}

namespace {

/// A flow whose stream has begun at an entry without a further send, with other entries to ask.
struct interrupted_stream
{
    explicit interrupted_stream(const std::vector<std::string> &others = {"e1", "e2", "e3", "e4"},
                                milliseconds callerTimeout = seconds(20))
        : fixture(draftRoute(), {"a", "b", "c"})
    {
        std::vector<std::string> names = others;
        names.emplace_back("own");
        fixture.routing.setEntries(names, "own");
        borrow_senders senders;
        senders.sendRequest = [this](const std::string &, const borrow_request &request) {
            asked.push_back(request);
        };
        fixture.routing.borrowing().setSenders(std::move(senders));
        send_budget &budget = fixture.routing.repeats("pool");
        const auto request = requestFor(draftRoute());
        request->callerTimeout = callerTimeout;
        flow = startFlow(fixture, request);
        while (budget.take(fixture.runtime.now(), 0, further_send::repeat)) { }
        fixture.answer(0, http_status::ok, 99);
    }

    void begin() { fixture.data(0, eventText(1)); }
    void interrupt() { fixture.end(0, call_end::broken); }
    void reply(std::size_t index, bool isGranted)
    {
        REQUIRE(index < asked.size());
        fixture.routing.borrowing().applyReply({asked[index].id, isGranted}, fixture.runtime.now());
    }

    flow_fixture fixture;
    std::vector<borrow_request> asked;
    std::shared_ptr<fake_flow> flow;
};

} // namespace

TEST_CASE("a stream is resumed with a send that another entry lends")
{
    interrupted_stream stream;
    stream.begin();
    stream.interrupt();
    REQUIRE(stream.asked.size() == 1);
    CHECK(stream.asked[0].service == "pool");
    CHECK(!stream.fixture.aborted);
    stream.fixture.runtime.advance(milliseconds(5));
    stream.reply(0, true);
    REQUIRE(stream.fixture.calls.size() == 2);
    CHECK(stream.fixture.calls[1].attempt.afterEvent == 1);
    stream.fixture.answer(1, http_status::ok);
    stream.fixture.data(1, eventText(2));
    stream.fixture.end(1, call_end::complete);
    CHECK(stream.fixture.ended);
    CHECK(stream.fixture.record->reason == flow_reason::served);
    // The borrowed send was used up.
    CHECK(stream.fixture.routing.repeats("pool").availableSends(stream.fixture.runtime.now(), 0)
          < 1);
}

TEST_CASE("a stream is cut when no entry lends a send")
{
    interrupted_stream stream;
    stream.begin();
    stream.interrupt();
    stream.reply(0, false);
    REQUIRE(stream.asked.size() == 2);
    stream.fixture.runtime.advance(budget_borrowing::replyTimeout);
    REQUIRE(stream.asked.size() == flow_bounds::maxLenders);
    CHECK(!stream.fixture.aborted);
    stream.reply(2, false);
    CHECK(stream.fixture.aborted);
    CHECK(stream.fixture.record->reason == flow_reason::brokenAttempt);
    CHECK(stream.asked.size() == flow_bounds::maxLenders);
}

TEST_CASE("no entry is asked twice for one request")
{
    interrupted_stream stream({"e1"});
    stream.begin();
    stream.interrupt();
    stream.reply(0, false);
    CHECK(stream.asked.size() == 1);
    CHECK(stream.fixture.aborted);
}

TEST_CASE("a request whose answer has not begun borrows nothing")
{
    interrupted_stream stream;
    stream.interrupt();
    CHECK(stream.asked.empty());
    CHECK(stream.fixture.status == http_status::badGateway);
}

TEST_CASE("a reply after the caller has left or the deadline has passed is ignored")
{
    interrupted_stream left;
    left.begin();
    left.interrupt();
    left.flow->callerLeft();
    left.reply(0, true);
    CHECK(left.fixture.calls.size() == 1);

    constexpr milliseconds callerTimeout = budget_borrowing::replyTimeout / 2;
    interrupted_stream late({"e1"}, callerTimeout);
    late.begin();
    late.interrupt();
    late.fixture.runtime.advance(callerTimeout);
    CHECK(late.fixture.aborted);
    late.reply(0, true);
    CHECK(late.fixture.calls.size() == 1);
}

TEST_CASE("a suspected request borrows nothing")
{
    interrupted_stream stream;
    flow_fixture &fixture = stream.fixture;
    stream.begin();
    crashEndpoints(fixture, requestFor(draftRoute()), 1);
    REQUIRE(!fixture.routing.suspects().isEmpty());
    stream.interrupt();
    CHECK(stream.asked.empty());
    CHECK(fixture.aborted);
}

namespace {

/// Processes that get bursts of requests, spend all that they have, and borrow from each other by
/// messages that are delayed or lost. Processes are restarted at random.
struct lending_processes
{
    static constexpr milliseconds step{20};
    static constexpr milliseconds longestDelay{200}; ///< of a message, above the reply timeout

    struct process
    {
        send_budget budget;
        budget_borrowing borrowing;
    };
    struct message
    {
        time_point at;
        std::size_t to;
        std::optional<borrow_request> request;
        std::optional<borrow_reply> reply;
    };

    explicit lending_processes(std::uint64_t seed)
        : random(seed)
        , rule{{0.1 + 0.2 * double(random.index(5)), 0, seconds(10)}}
    {
        const std::size_t count = 2 + random.index(8);
        for (std::size_t i = 0; i < count; ++i)
            names.push_back("e" + std::to_string(i));
        for (std::size_t i = 0; i < count; ++i)
            processes.push_back(startProcess(i));
    }

    std::unique_ptr<process> startProcess(std::size_t index)
    {
        auto item = std::make_unique<process>(
                process{send_budget(rule.bounds), budget_borrowing(random.bits() >> 16U)});
        borrow_senders senders;
        senders.sendRequest = [this](const std::string &to, const borrow_request &request) {
            post(to, request, std::nullopt);
        };
        senders.sendReply = [this](const std::string &to, const borrow_reply &reply) {
            post(to, std::nullopt, reply);
        };
        item->borrowing.setSenders(std::move(senders));
        item->borrowing.setEntries(names, names[index]);
        return item;
    }

    void post(const std::string &to, std::optional<borrow_request> request,
              std::optional<borrow_reply> reply)
    {
        constexpr double lostMessages = 0.1;
        if (random.chance(lostMessages))
            return;
        const auto index = std::size_t(std::stoi(to.substr(1)));
        const milliseconds delay{random.index(std::size_t(longestDelay.count()))};
        messages.push_back({now + delay, index, std::move(request), reply});
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(messages, [&](const message &item) {
            const bool isDue = item.at <= now;
            if (isDue)
                due.push_back(item);
            return isDue;
        });
        for (const message &item : due) {
            process &to = *processes[item.to];
            if (item.request)
                to.borrowing.applyRequest(*item.request, &to.budget, 0, now);
            else
                to.borrowing.applyReply(*item.reply, now);
        }
    }

    void simulate(int steps)
    {
        constexpr std::size_t maxAtOnce = 40;
        for (int i = 0; i < steps; ++i) {
            now += step;
            deliver();
            const std::size_t index = random.index(processes.size());
            if (random.chance(0.002))
                processes[index] = startProcess(index);
            process &item = *processes[index];
            const std::size_t arriving = random.chance(0.05) ? random.index(maxAtOnce) : 0;
            for (std::size_t n = 0; n < arriving; ++n) {
                item.budget.countRequest(now, 0);
                requests.push_back(now);
            }
            if (random.chance(0.1))
                spend(item);
        }
    }

    void spend(process &item)
    {
        while (item.budget.take(now, 0, further_send::resume))
            further.push_back(now);
        item.borrowing.ask("pool", "r", now, [this](bool isGranted) {
            if (isGranted) {
                further.push_back(now);
                ++borrowed;
            }
        });
    }

    random_source random;
    repeat_rule rule;
    std::vector<std::string> names;
    std::vector<std::unique_ptr<process>> processes;
    std::deque<message> messages;
    std::vector<time_point> requests;
    std::vector<time_point> further;
    time_point now{seconds(100)};
    unsigned borrowed = 0;
};

} // namespace

TEST_CASE("borrowing keeps the bound on the sum through restarts, lost and late messages")
{
    constexpr int steps = 3000;
    unsigned borrowed = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        lending_processes processes(seed);
        processes.simulate(steps);
        CHECK(processes.rule.worstShare(processes.requests, processes.further) <= 1.0);
        borrowed += processes.borrowed;
    }
    CHECK(borrowed > 100);
}
