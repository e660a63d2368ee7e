//===-- SlowCallerTests.cpp - caller_server with slow callers ---------------===//
//
// Load: callers that read slowly or not at all, and that send large bodies. The tests act as the
// caller over real sockets on the loopback address, with small receive buffers.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/MemoryBudget.h"
#include "laurelcroft/Proxy/CallerServer.h"
#include "laurelcroft/Support/BootTimer.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <list>
#include <string>
#include <vector>

using namespace laurelcroft;

namespace {

constexpr std::size_t megabyte = 1U << 20;
const std::string getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// A caller and what it has received.
struct slow_caller
{
    asio::ip::tcp::socket socket;
    std::string text;
    bool closed = false;

    void read(std::size_t most)
    {
        asio::error_code error;
        std::vector<char> buffer(most);
        const std::size_t size = socket.read_some(asio::buffer(buffer), error);
        text.append(buffer.data(), size);
        closed = error && error != asio::error::would_block;
    }
};

/// A server whose requests are answered by the test.
struct slow_caller_fixture
{
    slow_caller_fixture()
        : server(context, [this](message_head &&, std::string &&body, caller_exchange exchange) {
            bodies.push_back(std::move(body));
            exchanges.push_back(std::move(exchange));
        })
    {
        REQUIRE(server.open("127.0.0.1", 0).empty());
    }

    slow_caller &connect()
    {
        constexpr int receiveBytes = 16384;
        slow_caller &caller = callers.emplace_back(slow_caller{asio::ip::tcp::socket(context)});
        caller.socket.open(asio::ip::tcp::v4());
        caller.socket.set_option(asio::socket_base::receive_buffer_size(receiveBytes));
        caller.socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        caller.socket.non_blocking(true);
        return caller;
    }

    /// Connects a caller, which sends \p request.
    slow_caller &request(std::string_view request)
    {
        slow_caller &caller = connect();
        asio::write(caller.socket, asio::buffer(request));
        settle();
        return caller;
    }

    void settle()
    {
        for (int i = 0; i < 10; ++i) {
            context.restart();
            context.run_for(std::chrono::milliseconds(2));
        }
    }

    /// Writes pieces of the latest answer until its caller is behind. \returns the bytes written.
    std::size_t fill()
    {
        const std::string piece(4096, 'a');
        std::size_t written = 0;
        while (!exchanges.back().isBehind()) {
            exchanges.back().write(piece);
            written += piece.size();
            context.restart();
            context.poll();
        }
        return written;
    }

    asio::io_context context;
    caller_server server;
    std::list<slow_caller> callers;
    std::vector<std::string> bodies;
    std::vector<caller_exchange> exchanges;
};

} // namespace

TEST_CASE(
        "a caller that reads nothing is behind once its share is used, and counted until it drains")
{
    slow_caller_fixture fixture;
    fixture.server.setMemoryBudget(2 * megabyte);
    slow_caller &caller = fixture.request(getRequest);
    caller_exchange &exchange = fixture.exchanges.back();
    bool drained = false;
    exchange.begin(200, {});
    fixture.fill();
    CHECK(fixture.server.memory().forCallers > megabyte / 2);
    CHECK(fixture.server.memory().forCallers < megabyte);
    exchange.whenDrained([&] { drained = true; });
    fixture.settle();
    CHECK(!drained);
    for (int i = 0; i < 5000 && !drained; ++i) {
        caller.read(megabyte);
        fixture.context.restart();
        fixture.context.run_for(std::chrono::milliseconds(1));
    }
    CHECK(drained);
    CHECK(!exchange.isBehind());
}

TEST_CASE("a caller that reads slowly receives its whole answer")
{
    slow_caller_fixture fixture;
    slow_caller &caller = fixture.request(getRequest);
    std::string body;
    for (unsigned i = 0; body.size() < 3 * megabyte; ++i)
        body += std::to_string(i);
    caller_exchange &exchange = fixture.exchanges.back();
    exchange.begin(200, {}, body.size());
    for (std::size_t i = 0; i < body.size(); i += megabyte)
        exchange.write(std::string_view(body).substr(i, megabyte));
    exchange.end();
    for (int i = 0; i < 1000 && !caller.text.ends_with(body); ++i) {
        caller.read(20000);
        fixture.context.restart();
        fixture.context.run_for(std::chrono::milliseconds(1));
        fixture.server.releaseMemory();
    }
    CHECK(caller.text.ends_with("\r\n\r\n" + body));
    CHECK(caller.text.find("Content-Length: " + std::to_string(body.size())) != std::string::npos);
    CHECK(caller.text.find("chunked") == std::string::npos);
    fixture.settle();
    CHECK(fixture.server.memory().forCallers == 0);
}

TEST_CASE("an answer of a stated length leaves the connection of an HTTP/1.0 caller open")
{
    slow_caller_fixture fixture;
    slow_caller &caller
            = fixture.request("GET / HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n");
    fixture.exchanges.back().begin(200, {}, 4);
    fixture.exchanges.back().write("text");
    fixture.exchanges.back().end();
    fixture.settle();
    caller.read(megabyte);
    CHECK(caller.text.ends_with("\r\n\r\ntext"));
    caller.read(megabyte);
    CHECK(!caller.closed);
}

TEST_CASE("with the budget used up, callers that read nothing for long are closed, others are not")
{
    slow_caller_fixture fixture;
    fixture.server.setMemoryBudget(megabyte);
    std::vector<bool> left(12, false);
    for (std::size_t i = 0; i < left.size(); ++i) {
        fixture.request(getRequest);
        fixture.exchanges.back().setUrgency(i == 0 ? 1 : 5);
        fixture.exchanges.back().begin(200, {});
        fixture.exchanges.back().onDisconnect([&left, i] { left[i] = true; });
        fixture.fill();
    }
    // The callers' kernels take a little more for a while.
    fixture.context.restart();
    fixture.context.run_for(milliseconds(800));
    REQUIRE(!fixture.server.hasMemoryFor(9));
    fixture.server.releaseMemory();
    CHECK(std::count(left.begin(), left.end(), true) == 0);

    simulateSuspension(memory_budget::stallTimeout);
    slow_caller &reading = fixture.callers.back();
    for (int i = 0; i < 20; ++i) {
        reading.read(megabyte);
        fixture.settle();
    }
    fixture.server.releaseMemory();
    CHECK(fixture.server.hasMemoryFor(9));
    CHECK(fixture.server.memory().cutOffStalled > 0);
    CHECK(std::count(left.begin(), left.end(), true)
          == static_cast<int>(fixture.server.memory().cutOffStalled));
    CHECK(!left.front());
    CHECK(!left.back());
    CHECK(fixture.exchanges[1].wasCutOff() == left[1]);
}

TEST_CASE("the memory of a caller that leaves is given back")
{
    slow_caller_fixture fixture;
    slow_caller &caller = fixture.request(getRequest);
    fixture.exchanges.back().begin(200, {});
    fixture.fill();
    CHECK(fixture.server.memory().forCallers > 0);
    caller.socket.close();
    fixture.exchanges.clear();
    fixture.settle();
    CHECK(fixture.server.memory().forCallers == 0);
    CHECK(fixture.server.connections() == 0);
}

TEST_CASE("an answer that is held back is counted until it is sent")
{
    slow_caller_fixture fixture;
    fixture.server.setMemoryBudget(megabyte);
    fixture.request(getRequest);
    caller_exchange &exchange = fixture.exchanges.back();
    CHECK(exchange.holdAnswer(1000));
    CHECK(fixture.server.memory().forCallers == 0);
    CHECK(exchange.holdAnswer(100'000));
    CHECK(fixture.server.memory().forCallers == 100'000);
    CHECK(!exchange.holdAnswer(megabyte));
    exchange.reply(200, {}, "short");
    fixture.settle();
    CHECK(fixture.server.memory().forCallers == 0);
}

TEST_CASE("a caller that reads no answers can't add further ones")
{
    slow_caller_fixture fixture;
    std::string requests;
    for (int i = 0; i < 20; ++i)
        requests += getRequest;
    slow_caller &caller = fixture.request(requests);
    const std::string body(megabyte, 'a');
    std::size_t answered = 0;
    const auto answerAll = [&] {
        for (; answered < fixture.exchanges.size(); ++answered)
            fixture.exchanges[answered].reply(200, {}, body);
        fixture.context.restart();
        fixture.context.run_for(milliseconds(1));
    };
    for (int i = 0; i < 50; ++i)
        answerAll();
    // The kernel takes some megabytes.
    CHECK(answered < 10);
    CHECK(fixture.server.memory().forCallers <= megabyte + 1000);
    for (int i = 0; i < 20'000 && answered < 20; ++i) {
        caller.read(megabyte);
        answerAll();
    }
    CHECK(answered == 20);
}

TEST_CASE("large bodies are refused when memory is short, the least urgent ones first")
{
    for (const int urgency : {9, 0}) {
        slow_caller_fixture fixture;
        fixture.server.setMemoryBudget(megabyte);
        fixture.server.setUrgency([urgency](const message_head &) { return urgency; });
        const std::string body(900'000, 'b');
        slow_caller &caller = fixture.connect();
        const std::string request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::size_t sent = 0;
        asio::error_code error;
        for (int i = 0; i < 200 && sent < request.size(); ++i) {
            sent += caller.socket.write_some(asio::buffer(request) + sent, error);
            fixture.context.restart();
            fixture.context.run_for(std::chrono::milliseconds(2));
        }
        fixture.settle();
        caller.read(megabyte);
        const bool isRefused = caller.text.starts_with("HTTP/1.1 503");
        // The buffer of a growing body is larger than the body, so that the urgent one fits too.
        CHECK(isRefused == (urgency == 9));
        CHECK((caller.text.find("Retry-After") != std::string::npos) == isRefused);
        CHECK(fixture.bodies.empty() == isRefused);
        CHECK(fixture.server.memory().refusedBodies == (isRefused ? 1 : 0));
    }
}

TEST_CASE("a caller that reads nothing of an ended answer is closed at the idle timeout, no other")
{
    for (const bool reads : {false, true}) {
        slow_caller_fixture fixture;
        caller_server_bounds bounds;
        bounds.idleTimeout = seconds(10);
        fixture.server.setBounds(bounds);
        slow_caller &caller = fixture.request(getRequest);
        fixture.exchanges.back().reply(200, {}, std::string(12 * megabyte, 'a'));
        fixture.settle();
        fixture.exchanges.clear();
        REQUIRE(fixture.server.memory().forCallers > 0);
        // The callers' kernels take a little more for a while, so that the first check finds
        // progress.
        for (int round = 0; round < 2; ++round) {
            fixture.context.restart();
            fixture.context.run_for(milliseconds(800));
            simulateSuspension(seconds(11));
            for (int i = 0; reads && i < 20; ++i)
                caller.read(megabyte);
            fixture.context.restart();
            fixture.context.run_for(milliseconds(300));
        }
        CHECK(fixture.server.connections() == (reads ? 1 : 0));
        CHECK(fixture.server.memory().cutOffIdle == (reads ? 0 : 1));
    }
}
