//===-- CallerServerTests.cpp - tests of caller_server ----------------------===//
//
// The tests act as the caller and use real sockets on the loopback address.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/CallerServer.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <optional>

using namespace laurelcroft;

namespace {

/// A server whose requests are answered explicitly by the test, and one connected caller.
struct caller_server_fixture
{
    caller_server_fixture()
        : server(context,
                 [this](message_head &&parsed, std::string &&whole, caller_exchange given) {
                     head = std::move(parsed);
                     body = std::move(whole);
                     exchange = given;
                     ++requests;
                 })
        , caller(context)
    {
        REQUIRE(server.open("127.0.0.1", 0).empty());
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    }

    /// Replaces the caller's connection with a new one.
    void reconnect()
    {
        caller = asio::ip::tcp::socket(context);
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    }

    void send(std::string_view text) { asio::write(caller, asio::buffer(text)); }

    /// Runs the event loop 20 times for 2 ms each, so that pending events are handled.
    void settle()
    {
        for (int i = 0; i < 20; ++i) {
            context.restart();
            context.run_for(std::chrono::milliseconds(2));
        }
    }

    /// \returns what the caller has received; sets \c closed if its connection has ended.
    std::string received()
    {
        settle();
        caller.non_blocking(true);
        std::string text;
        char buffer[4096];
        asio::error_code error;
        while (true) {
            const std::size_t size = caller.read_some(asio::buffer(buffer), error);
            if (error)
                break;
            text.append(buffer, size);
        }
        closed = error != asio::error::would_block;
        return text;
    }

    asio::io_context context;
    caller_server server;
    asio::ip::tcp::socket caller;
    message_head head;
    std::string body;
    std::optional<caller_exchange> exchange;
    unsigned requests = 0;
    bool closed = false;
};

} // namespace

TEST_CASE("a request is passed on when complete, and its connection is kept after the answer")
{
    caller_server_fixture fixture;
    fixture.send("POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhe");
    fixture.settle();
    CHECK(fixture.requests == 0);
    fixture.send("llo");
    fixture.settle();
    REQUIRE(fixture.requests == 1);
    CHECK(fixture.head.target == "/a/b?c=d");
    CHECK(fixture.body == "hello");
    fixture.exchange->reply(200, {{"X-A", "1"}}, "yes");
    CHECK(fixture.received() == "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 3\r\n\r\nyes");
    CHECK(!fixture.closed);
    fixture.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.settle();
    CHECK(fixture.requests == 2);
}

TEST_CASE("the chunks of a request body are joined")
{
    caller_server_fixture fixture;
    fixture.send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    fixture.settle();
    REQUIRE(fixture.requests == 1);
    CHECK(fixture.body == "abcde");
}

TEST_CASE("the answer to a HEAD request has no body, although its head was taken")
{
    caller_server_fixture fixture;
    fixture.send("HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.settle();
    fixture.exchange->reply(404, {}, "no_route");
    CHECK(fixture.received().ends_with("Content-Length: 8\r\n\r\n"));
}

TEST_CASE("a stream is sent in chunks, and an aborted one has no final chunk")
{
    caller_server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.settle();
    fixture.exchange->begin(200, {});
    fixture.exchange->write("one");
    CHECK(fixture.received()
          == "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
    fixture.exchange->abort();
    CHECK(fixture.received().empty());
    CHECK(fixture.closed);
}

TEST_CASE("a request with a blank in the name of a field is refused and not passed on")
{
    for (const std::string line : {"X Foo: 1", "X-Foo : 1", "Transfer-Encoding : chunked"}) {
        caller_server_fixture fixture;
        fixture.send("POST /a HTTP/1.1\r\nHost: x\r\n" + line + "\r\nContent-Length: 0\r\n\r\n");
        CHECK_MESSAGE(fixture.received().starts_with("HTTP/1.1 400 "), line);
        CHECK_MESSAGE(fixture.requests == 0, line);
    }
}

TEST_CASE("a caller that disconnects is noticed while its request runs")
{
    caller_server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.settle();
    bool left = false;
    fixture.exchange->onDisconnect([&] { left = true; });
    fixture.caller.close();
    fixture.settle();
    CHECK(left);
}

TEST_CASE("requests with ambiguous lengths and malformed requests are refused with 400")
{
    const char *texts[] = {
            "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: "
            "chunked\r\n\r\n",
            "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "nonsense\r\n\r\n",
    };
    for (const char *text : texts) {
        caller_server_fixture fixture;
        fixture.send(text);
        const std::string answer = fixture.received();
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(fixture.requests == 0);
        fixture.caller.close();
        fixture.settle();
        CHECK(fixture.server.connections() == 0);
    }
}

TEST_CASE("heads and bodies above the limits are refused")
{
    caller_server_fixture fixture;
    caller_server_bounds bounds;
    bounds.maxBodyBytes = 4;
    fixture.server.setBounds(bounds);
    fixture.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello");
    CHECK(fixture.received().starts_with("HTTP/1.1 413"));
    CHECK(fixture.requests == 0);

    caller_server_fixture second;
    second.send("GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(20000, 'a') + "\r\n\r\n");
    CHECK(second.received().starts_with("HTTP/1.1 431"));
}

TEST_CASE("an incomplete head is refused with 408 at its timeout")
{
    caller_server_fixture fixture;
    caller_server_bounds bounds;
    bounds.headerTimeout = milliseconds(20);
    fixture.server.setBounds(bounds);
    fixture.send("GET /a HTTP/1.1\r\nHos");
    CHECK(fixture.received().starts_with("HTTP/1.1 408"));
}

TEST_CASE("a server that stops accepting finishes its answers and closes their connections")
{
    caller_server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.settle();
    fixture.exchange->begin(200, {});
    fixture.server.closeAfterAnswers();
    fixture.server.closeIdle();
    fixture.exchange->write("one");
    fixture.exchange->end();
    CHECK(fixture.received().ends_with("0\r\n\r\n"));
    CHECK(fixture.closed);
    CHECK(fixture.requests == 1);
}

TEST_CASE("a draining server still answers new connections and closes them after the answer")
{
    caller_server_fixture fixture;
    fixture.settle();
    fixture.server.drainConnections();
    CHECK(fixture.received().empty());
    CHECK(fixture.closed);
    fixture.reconnect();
    fixture.settle();
    CHECK(fixture.server.busyConnections() == 0);
    fixture.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.settle();
    REQUIRE(fixture.requests == 1);
    CHECK(fixture.server.busyConnections() == 1);
    fixture.exchange->reply(503, {}, "");
    CHECK(fixture.received().find("Connection: close") != std::string::npos);
    CHECK(fixture.closed);
}

TEST_CASE("the end of an answer is written even if the server stops in the same turn")
{
    caller_server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.settle();
    fixture.exchange->begin(200, {});
    fixture.exchange->write("one");
    fixture.settle();
    fixture.exchange->end();
    fixture.server.closeIdle();
    CHECK(fixture.received().ends_with("0\r\n\r\n"));
    CHECK(fixture.closed);
}

TEST_CASE("a pipelined request is served after the answer before it")
{
    caller_server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.settle();
    CHECK(fixture.requests == 1);
    fixture.exchange->reply(200, {}, "");
    fixture.settle();
    CHECK(fixture.requests == 2);
    CHECK(fixture.head.target == "/b");
}

TEST_CASE("a caller that connects before accept() is served after it")
{
    asio::io_context context;
    unsigned requests = 0;
    caller_server server(context, [&](message_head &&, std::string &&, caller_exchange exchange) {
        ++requests;
        exchange.reply(200, {}, "");
    });
    REQUIRE(server.listen("127.0.0.1", 0).empty());
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    asio::write(caller, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    context.run_for(std::chrono::milliseconds(20));
    CHECK(requests == 0);
    server.accept();
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
    CHECK(requests == 1);
}

TEST_CASE("a connection idle during a suspension of the instance is closed at its idle timeout")
{
    caller_server_fixture fixture;
    caller_server_bounds bounds;
    bounds.idleTimeout = seconds(10);
    fixture.server.setBounds(bounds);
    fixture.reconnect();
    fixture.settle();
    CHECK(fixture.server.connections() == 1);
    simulateSuspension(seconds(11));
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(250));
    CHECK(fixture.server.connections() == 0);
}
