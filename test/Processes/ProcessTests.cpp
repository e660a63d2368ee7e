//===-- ProcessTests.cpp - system tests with real processes -----------------===//
//
// Repeats selected cases of the fault matrix, which simulates processes, with real
// processes, sockets, threads and signals.
//
//===----------------------------------------------------------------------===//
#include "Site.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <set>

using namespace laurelcroft;
using namespace laurelcroft::testing;
using nlohmann::json;

namespace {

/// Two entries, two agents in each pool, and a bundle that is in force everywhere.
struct full_site : site
{
    explicit full_site(int decodeUs = 2000)
    {
        startEntry("e1", "dc1");
        startEntry("e2", "dc2");
        for (const char *pool : {"cheap", "costly", "plain"}) {
            startAgent(std::string(pool) + "1", "dc1", pool, decodeUs);
            startAgent(std::string(pool) + "2", "dc2", pool, decodeUs);
        }
        putInForce(siteBundle("settled"));
        waitForEpoch(1);
        // Endpoints load the versions shortly after the bundle takes effect.
        for (const char *entry : {"e1", "e2"}) {
            for (const char *model : {"small", "large", "publish"})
                CHECK(waitUntilServed(entry, model));
        }
    }

    /// Repeats a request to \p entry until it is served.
    bool waitUntilServed(const std::string &entry, const std::string &model)
    {
        request_options options;
        options.entry = entry;
        options.model = model;
        options.tokens = 1;
        return runUntil([&] { return sendAndWait(options).complete(); });
    }

    /// Counts how often the endpoints of \p pool have started \p requestId.
    std::size_t countStarts(const std::string &requestId, const std::string &pool)
    {
        return countJournalEntries(pool + "1-engine", "started", requestId)
                + countJournalEntries(pool + "2-engine", "started", requestId);
    }

    /// Waits until the table has exactly one bill for \p requestId.
    bool waitForBill(const std::string &requestId)
    {
        return runUntil([&] { return tableRows("bill/" + requestId).size() == 1; });
    }
};

json errorOf(const pending_call &call)
{
    const json body = json::parse(call.body, nullptr, false);
    return body.is_object() ? body.value("error", json::object()) : json::object();
}

} // namespace

TEST_CASE("processes: whole, streamed and cascaded answers, each billed once")
{
    full_site site;
    for (const std::string model : {"small", "plan", "rebuild"}) {
        for (const bool stream : {false, true}) {
            CAPTURE(model);
            request_options options;
            options.model = model;
            options.stream = stream;
            const pending_call answer = site.sendAndWait(options);
            REQUIRE(answer.complete());
            CHECK(answer.body.find("checked") != std::string::npos);
            const bool endsWell = answer.body.find("data: [DONE]") != std::string::npos;
            CHECK(endsWell == stream);
            CHECK(site.waitForBill(answer.header("X-Laurelcroft-Request-Id")));
        }
    }
}

TEST_CASE(
        "processes: a caller disconnects; the engine cancels the attempt and its output is billed")
{
    full_site site(5000);
    request_options options;
    options.stream = true;
    options.tokens = 2000;
    const auto call = site.sendRequest(options);
    REQUIRE(site.runUntil([&] { return call->body.size() > 2000; }));
    const std::string id = call->header("X-Laurelcroft-Request-Id");
    site.cancelCall(*call);
    CHECK(site.runUntil([&] {
        return site.countJournalEntries("cheap1-engine", "cancelled", id)
                + site.countJournalEntries("cheap2-engine", "cancelled", id)
                == 1;
    }));
    REQUIRE(site.waitForBill(id));
    const json bill = json::parse(site.tableRows("bill/" + id).begin()->second);
    CHECK(bill["outcome"] == "partial");
    CHECK(bill["cost"].get<double>() > 0);
}

TEST_CASE("processes: an agent is killed during its answers; repeatable requests are still served")
{
    full_site site(20000);
    request_options options;
    options.tokens = 40;
    std::vector<std::shared_ptr<pending_call>> calls;
    for (int i = 0; i < 6; ++i)
        calls.push_back(site.sendRequest(options));
    REQUIRE(site.runUntil(
            [&] { return site.countJournalEntries("cheap1-engine", "started", "") >= 2; }));
    site.process("cheap1").signal(SIGKILL);
    CHECK(site.runUntil([&] {
        return std::all_of(calls.begin(), calls.end(), [](const auto &c) { return c->ended; });
    }));
    for (const auto &call : calls)
        CHECK(call->complete());
}

TEST_CASE("processes: a frozen agent runs nothing twice, and its caller gets a final answer")
{
    full_site site;
    site.process("plain1").signal(SIGSTOP);
    site.process("plain2").signal(SIGSTOP);
    request_options options;
    options.model = "publish";
    options.idempotencyKey = "publish-1";
    const pending_call first = site.sendAndWait(options);
    CHECK(first.ended);
    CHECK(errorOf(first).value("executed", "") == "unknown");
    site.process("plain1").signal(SIGCONT);
    site.process("plain2").signal(SIGCONT);
    const std::string id = first.header("X-Laurelcroft-Request-Id");
    const pending_call second = site.sendAndWait(options);
    CHECK(errorOf(second).value("code", "") == "already_running");
    // An offer that was buffered in the socket of a frozen agent must not run when the agent
    // resumes.
    REQUIRE(site.waitUntilServed("e1", "publish"));
    REQUIRE(site.waitUntilServed("e2", "publish"));
    CHECK(site.countStarts(id, "plain") == 0);
}

TEST_CASE("processes: a planned stop of an entry and of an agent under load interrupts no request")
{
    full_site site(5000);
    std::vector<std::shared_ptr<pending_call>> calls;
    request_options options;
    options.stream = true;
    options.tokens = 60;
    for (int i = 0; i < 20; ++i) {
        options.entry = i % 2 == 0 ? "e1" : "e2";
        calls.push_back(site.sendRequest(options));
    }
    REQUIRE(site.runUntil([&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](const auto &c) { return c->status == 200; });
    }));
    site.process("e1").signal(SIGTERM);
    site.process("cheap1").signal(SIGTERM);
    CHECK(site.runUntil([&] {
        return std::all_of(calls.begin(), calls.end(), [](const auto &c) { return c->ended; });
    }));
    for (const auto &call : calls) {
        CHECK(call->complete());
        CHECK(call->body.find("data: [DONE]") != std::string::npos);
    }
    CHECK(site.process("e1").wait() == 0);
    CHECK(site.process("cheap1").wait() == 0);
    options.entry = "e2";
    const std::size_t before = site.countJournalEntries("cheap1-engine", "started", "");
    for (int i = 0; i < 5; ++i)
        CHECK(site.sendAndWait(options).complete());
    CHECK(site.countJournalEntries("cheap1-engine", "started", "") == before);
}

TEST_CASE("processes: while the table is down, repeatable requests are served and billed later")
{
    full_site site;
    site.injectFault("table", {{"down", true}});
    std::vector<std::string> ids;
    request_options options;
    for (int i = 0; i < 10; ++i) {
        const pending_call answer = site.sendAndWait(options);
        REQUIRE(answer.complete());
        ids.push_back(answer.header("X-Laurelcroft-Request-Id"));
    }
    options.model = "rebuild";
    options.idempotencyKey = "rebuild-1";
    const pending_call refused = site.sendAndWait(options);
    CHECK(refused.status == 503);
    CHECK(errorOf(refused).value("executed", "") == "no");
    CHECK(errorOf(refused).value("retry_after_ms", 0) > 0);
    // Another process holds copies of the bills that the killed entry had not written.
    site.process("e1").signal(SIGKILL);
    site.process("e1").wait();
    site.injectFault("table", {{"down", false}});
    for (const std::string &id : ids)
        CHECK(site.waitForBill(id));
    options.entry = "e2";
    CHECK(site.runUntil([&] { return site.sendAndWait(options).complete(); }));
}

TEST_CASE("processes: a rebuild whose entry is killed is not run again, and its answer is replayed")
{
    full_site site(20000);
    request_options options;
    options.model = "rebuild";
    options.idempotencyKey = "rebuild-2";
    options.tokens = 40;
    const auto call = site.sendRequest(options);
    REQUIRE(site.runUntil([&] {
        return site.countJournalEntries("costly1-engine", "started", "")
                + site.countJournalEntries("costly2-engine", "started", "")
                > 2;
    }));
    site.process("e1").signal(SIGKILL);
    REQUIRE(site.runUntil([&] { return call->ended; }));
    options.entry = "e2";
    pending_call answer;
    REQUIRE(site.runUntil(
            [&] {
                answer = site.sendAndWait(options);
                return answer.complete();
            },
            seconds(40)));
    CHECK(answer.header("X-Laurelcroft-Replayed") == "yes");
    CHECK(answer.header("X-Laurelcroft-Model") == "large");
    CHECK(answer.header("X-Laurelcroft-Version") == "1");
    const std::string id = answer.header("X-Laurelcroft-Request-Id");
    CHECK(site.countStarts(id, "costly") == 1);
    CHECK(site.waitForBill(id));
}

TEST_CASE("processes: a repeatable request with one key is answered by each entry in turn")
{
    full_site site;
    request_options options;
    options.idempotencyKey = "draft-1";
    for (const char *entry : {"e1", "e2", "e1", "e2"}) {
        options.entry = entry;
        CHECK(site.sendAndWait(options).complete());
    }
}

TEST_CASE("processes: a session keeps its version while every instance is replaced")
{
    full_site site;
    request_options options;
    pending_call answer = site.sendAndWait(options);
    REQUIRE(answer.complete());
    const std::string version = answer.header("X-Laurelcroft-Version");
    options.session = answer.header("X-Laurelcroft-Session");
    const std::vector<std::string> agents = {"cheap1", "cheap2"};
    for (const std::string &old : agents) {
        site.startAgent(old + "n", old.back() == '1' ? "dc1" : "dc2", "cheap", 2000);
        site.process(old).signal(SIGTERM);
        CHECK(site.process(old).wait() == 0);
        answer = site.sendAndWait(options);
        CHECK(site.runUntil([&] {
            return answer.complete() || (answer = site.sendAndWait(options)).complete();
        }));
        CHECK(answer.header("X-Laurelcroft-Version") == version);
    }
    site.startEntry("e3", "dc1");
    options.entry = "e3";
    CHECK(site.runUntil([&] { return (answer = site.sendAndWait(options)).complete(); }));
    CHECK(answer.header("X-Laurelcroft-Version") == version);
    // A session on a withdrawn version is refused and never moved to another version.
    site.putInForce(siteBundle("withdrawn"));
    site.waitForEpoch(2);
    answer = site.sendAndWait(options);
    CHECK(answer.status == 409);
    CHECK(errorOf(answer).value("code", "") == "version_withdrawn");
    options.session.clear();
    answer = site.sendAndWait(options);
    CHECK(answer.complete());
    CHECK(answer.header("X-Laurelcroft-Version") == "1");
}

TEST_CASE("processes: a change needs two signatures and the current epoch; the history lists each "
          "epoch")
{
    full_site site;
    site.injectFault("table", {{"lose_answers", 0}});
    const auto status = site.runOperator({"status", "--output", "json"});
    CHECK(json::parse(status.second)["epoch"] == 1);
    const auto withdrawn = site.runOperator({"withdraw", "small@2", "--key-file", "KEY-A",
                                             "--signoff-required", "1", "--operator", "ann"});
    CHECK(withdrawn.first == 0);
    // Entries require two signatures, even if the operator command was told that one suffices.
    const pending_call still = site.sendAndWait({});
    CHECK(still.header("X-Laurelcroft-Bundle") == "1");
    const auto waiting = site.runOperator({"withdraw", "small@1", "--key-file", "KEY-A"});
    CHECK(waiting.first == 6);
    CHECK(waiting.second.find("needs 1 more signature") != std::string::npos);
    site.putInForce(siteBundle("withdrawn"));
    const auto late = site.runOperator({"accept", std::string(64, '0'), "--base-epoch", "1"});
    CHECK(late.first == 4);
    CHECK(late.second.find("epoch 3") != std::string::npos);
    const auto history = site.runOperator({"history"});
    CHECK(history.second.find("epoch 1 by") != std::string::npos);
    CHECK(history.second.find("epoch 2 by ann") != std::string::npos);
    CHECK(history.second.find("epoch 3 by") != std::string::npos);
}

TEST_CASE("processes: malformed input gets an error and leaves other requests unaffected")
{
    full_site site;
    const std::string address = site.url("e1").substr(std::string("http://127.0.0.1:").size());
    const auto port = static_cast<std::uint16_t>(std::stoi(address));
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    const std::vector<std::string> malformedInputs
            = {"\x00\x01\x02 garbage\r\n\r\n",
               "GET / HTTP/9.9\r\n\r\n",
               "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n{",
               "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 5\r\n\r\n{",
               "GET /healthz HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n",
               "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n",
               "GET / HTTP/1.1\r\nX: " + std::string(20000, 'b') + "\r\n\r\n"};
    for (const std::string &input : malformedInputs) {
        sockets.emplace_back(context);
        sockets.back().connect({asio::ip::make_address("127.0.0.1"), port});
        asio::error_code ignored;
        asio::write(sockets.back(), asio::buffer(input), ignored);
        sockets.back().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    request_options unknownCustomer;
    unknownCustomer.customer = "nobody";
    CHECK(site.sendAndWait(unknownCustomer).status == 401);
    request_options unknown;
    unknown.model = "unheard-of";
    CHECK(site.sendAndWait(unknown).status == 404);
    request_options forged;
    forged.session = "lcs1.k1.e30.AAAA";
    CHECK(site.sendAndWait(forged).status == 400);
    CHECK(site.sendAndWait({}).complete());
    CHECK_FALSE(site.process("e1").hasEnded());
}
