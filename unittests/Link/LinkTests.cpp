//===-- LinkTests.cpp - streams over real sockets on loopback ---------------===//
//
// Client and server share one context, which runs until a condition holds.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Link/Stream.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

#include <random>

using namespace laurelcroft;

namespace {

const std::string siteKey = "the site's key of the tests";

struct link_fixture
{
    explicit link_fixture(const std::string &clientKey = siteKey)
        : server(context, {"server", siteKey},
                 [this](std::shared_ptr<link_stream> stream) { accept(std::move(stream)); })
    {
        REQUIRE(server.listen("127.0.0.1", 0).empty());
        client = std::make_unique<link_client>(context,
                                               "127.0.0.1:" + std::to_string(server.port()),
                                               link_identity{"client", clientKey});
    }

    void accept(std::shared_ptr<link_stream> stream)
    {
        accepted = stream;
        link_stream::events handlers;
        handlers.onMessage = [this](std::string_view message) {
            got.emplace_back(message);
            if (echoes && accepted)
                accepted->send(message);
        };
        handlers.onEnd = [this] {
            if (echoes && accepted)
                accepted->finish();
        };
        handlers.onClosed = [this](bool) { serverClosed = true; };
        stream->setEvents(std::move(handlers));
    }

    void runUntil(const std::function<bool()> &done)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(50));
        }
        CHECK(done());
    }

    asio::io_context context;
    link_server server;
    std::unique_ptr<link_client> client;
    std::shared_ptr<link_stream> accepted;
    std::vector<std::string> got;
    bool echoes = true;
    bool serverClosed = false;
};

} // namespace

TEST_CASE("messages of all sizes are echoed intact and in order")
{
    link_fixture fixture;
    std::vector<std::string> back;
    bool clean = false;
    link_stream::events handlers;
    handlers.onMessage = [&](std::string_view message) { back.emplace_back(message); };
    handlers.onClosed = [&](bool isClean) { clean = isClean; };
    const auto stream = fixture.client->open("/echo", std::move(handlers));
    const std::vector<std::string> sent
            = {"", "a", std::string(100, 'b'), std::string(1 << 20, 'c'), "end"};
    for (const std::string &message : sent)
        stream->send(message);
    stream->finish();
    fixture.runUntil([&] { return clean; });
    CHECK(back == sent);
    CHECK(fixture.accepted->peer() == "client");
}

TEST_CASE("a reader may drop the remaining input while it handles a message")
{
    link_fixture fixture;
    int seen = 0;
    std::shared_ptr<link_stream> stream;
    bool clean = false;
    link_stream::events handlers;
    handlers.onMessage = [&](std::string_view) {
        seen += 1;
        stream->dropInput();
        stream->finish();
    };
    handlers.onClosed = [&](bool isClean) { clean = isClean; };
    stream = fixture.client->open("/echo", std::move(handlers));
    for (int i = 0; i < 10; ++i)
        stream->send("several messages in one piece");
    fixture.runUntil([&] { return clean; });
    CHECK(seen == 1);
}

TEST_CASE("a client without the site's key is refused")
{
    link_fixture fixture("another key");
    bool closed = false;
    link_stream::events handlers;
    handlers.onClosed = [&](bool isClean) { closed = !isClean; };
    const auto stream = fixture.client->open("/echo", std::move(handlers));
    stream->send("hello");
    fixture.runUntil([&] { return closed; });
    CHECK(fixture.got.empty());
}

TEST_CASE("a reset closes the stream at the peer")
{
    link_fixture fixture;
    const auto stream = fixture.client->open("/echo", {});
    stream->send("hello");
    fixture.runUntil([&] { return !fixture.got.empty(); });
    stream->reset();
    fixture.runUntil([&] { return fixture.serverClosed; });
}

TEST_CASE("a stream to a closed port ends with onClosed(false)")
{
    asio::io_context context;
    link_client client(context, "127.0.0.1:1", {"client", siteKey});
    bool closed = false;
    link_stream::events handlers;
    handlers.onClosed = [&](bool isClean) { closed = !isClean; };
    const auto stream = client.open("/echo", std::move(handlers));
    context.run_for(std::chrono::seconds(5));
    CHECK(closed);
}

TEST_CASE("a stream without a peer is closed later, never within the call that opens it")
{
    asio::io_context context;
    bool closed = false;
    link_stream::events handlers;
    handlers.onClosed = [&](bool isClean) { closed = !isClean; };
    const auto stream = openWithoutPeer(context, "/echo", std::move(handlers));
    CHECK_FALSE(closed);
    context.run();
    CHECK(closed);
    CHECK_FALSE(stream->isOpen());
}

TEST_CASE("with manual flow control a reader that consumes nothing blocks the sender")
{
    link_fixture fixture;
    fixture.echoes = false;
    std::size_t received = 0;
    link_stream::events handlers;
    handlers.onMessage = [&](std::string_view message) { received += message.size(); };
    const auto stream = fixture.client->open("/flow", std::move(handlers));
    stream->useManualFlow();
    stream->send("go");
    fixture.runUntil([&] { return !fixture.got.empty(); });
    constexpr std::size_t piece = 64 << 10;
    constexpr std::size_t pieces = 64;
    for (std::size_t i = 0; i < pieces; ++i)
        fixture.accepted->send(std::string(piece, 'x'));
    fixture.runUntil([&] { return received >= 3 * piece; });
    for (int i = 0; i < 20; ++i) {
        fixture.context.restart();
        fixture.context.run_one_for(std::chrono::milliseconds(5));
    }
    CHECK(received < 8 * piece);
    CHECK(fixture.accepted->queued() > 0);
    fixture.runUntil([&] {
        stream->consume(piece);
        return received == pieces * piece;
    });
}

TEST_CASE("random input on the port does not affect other connections")
{
    link_fixture fixture;
    std::mt19937 random(4);
    asio::ip::tcp::socket socket(fixture.context);
    for (int i = 0; i < 50; ++i) {
        socket = asio::ip::tcp::socket(fixture.context);
        socket.connect({asio::ip::make_address("127.0.0.1"), fixture.server.port()});
        std::string noise = i % 2 == 0 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "";
        for (int k = 0; k < 200; ++k)
            noise += static_cast<char>(random() % 256);
        asio::error_code ignored;
        asio::write(socket, asio::buffer(noise), ignored);
        fixture.context.restart();
        fixture.context.run_for(std::chrono::milliseconds(2));
    }
    bool answered = false;
    link_stream::events handlers;
    handlers.onMessage = [&](std::string_view) { answered = true; };
    const auto stream = fixture.client->open("/echo", std::move(handlers));
    stream->send("still there?");
    fixture.runUntil([&] { return answered; });
}
