//===-- BrokenReplyTests.cpp - replies that are not valid HTTP --------------===//
//
// The tests act as the server and write raw bytes to real sockets on the loopback address.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Http/Client.h"
#include "laurelcroft/Support/Runtime.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace laurelcroft;

namespace {

/// A server whose replies are written by the test.
struct raw_server
{
    raw_server()
        : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , client(context)
        , socket(context)
    {
    }

    http_call callOf(std::string body)
    {
        http_call call;
        call.method = body.empty() ? "GET" : "POST";
        call.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/";
        call.body = std::move(body);
        return call;
    }

    void run(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    void start(std::string body = {}) { start(callOf(std::move(body))); }

    /// Starts a call and accepts its connection.
    void start(http_call call)
    {
        result.reset();
        client.fetch(std::move(call),
                     [this](outcome<http_reply, http_error> reply) { result = std::move(reply); });
        run(milliseconds(20));
        socket = acceptor.accept();
        run(milliseconds(20));
    }

    /// Sends \p text and closes the connection regularly.
    void reply(const std::string &text)
    {
        asio::write(socket, asio::buffer(text));
        asio::error_code ignored;
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        run(milliseconds(50));
    }

    /// Sends \p text and resets the connection.
    void replyAndReset(const std::string &text)
    {
        asio::write(socket, asio::buffer(text));
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        run(milliseconds(50));
    }

    bool isCut() const { return result && !*result && result->error() == http_error::cut; }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    http_client client;
    asio::ip::tcp::socket socket;
    std::optional<outcome<http_reply, http_error>> result;
};

} // namespace

TEST_CASE("a reply without a length is cut when its connection is reset during an upload")
{
    raw_server server;
    server.acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    server.start(std::string(16U << 20, 'u'));
    server.replyAndReset("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK(server.isCut());
}

TEST_CASE("a reply without a length is cut when its connection is reset")
{
    raw_server server;
    server.start();
    server.replyAndReset("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK(server.isCut());
}

TEST_CASE("a reply that ends before its length or last chunk is cut")
{
    for (const std::string field : {"Content-Length: 9", "Transfer-Encoding: chunked"}) {
        raw_server server;
        server.start();
        server.reply("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n4\r\npart");
        CHECK_MESSAGE(server.isCut(), field);
    }
}

TEST_CASE("the fields of interim replies are not those of the reply")
{
    raw_server server;
    server.start();
    server.reply("HTTP/1.1 103 Early Hints\r\nX-A: early\r\n\r\n"
                 "HTTP/1.1 200 OK\r\nX-A: final\r\nContent-Length: 2\r\n\r\nab");
    REQUIRE(server.result);
    REQUIRE(*server.result);
    CHECK(findHeader(server.result->value().headers, "X-A") == "final");
    CHECK(server.result->value().body == "ab");
}

TEST_CASE("a reply with an invalid status, name or value is cut")
{
    const auto isCut = [](const std::string &start) {
        raw_server server;
        server.start();
        server.reply("HTTP/1.1 " + start + "\r\n\r\nab");
        return server.isCut();
    };
    for (const std::string status : {"000", "001", "020", "099", "0", "20", "600", "999"})
        CHECK_MESSAGE(isCut(status + " S\r\nContent-Length: 2"), status);
    for (const std::string line :
         {"X Foo: 1", "X-Foo : 1", "Content-Length : 2", "X\x01Foo: 1", "X\x7f: 1", ": 1",
          "Transfer-Encoding : chunked", "no colon", "X: 1\r\n Foo: 1", "X: a\rb", "X: a\x1f"})
        CHECK_MESSAGE(isCut("200 OK\r\n" + line), line);
}

TEST_CASE("the fields of a reply are returned without the blanks before their values")
{
    raw_server server;
    server.start();
    server.reply("HTTP/1.1 200 OK\r\nX-A:  a\tb\r\nX-B:\r\nContent-Length: 2\r\n\r\nab");
    REQUIRE(server.result);
    REQUIRE(*server.result);
    const http_headers &headers = server.result->value().headers;
    REQUIRE(headers.size() == 3);
    CHECK(headers[0].value == "a\tb");
    CHECK(headers[1].value.empty());
    CHECK(headers[2].name == "Content-Length");
}

TEST_CASE("a reply above the size limit is not returned in part")
{
    for (const std::size_t maxBytes : {8, 9}) {
        raw_server server;
        http_call call = server.callOf({});
        call.maxBodyBytes = maxBytes;
        server.start(std::move(call));
        server.reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789");
        CHECK(server.isCut() == (maxBytes < 9));
    }
}

TEST_CASE("bytes after a whole reply do not reach the next call")
{
    raw_server server;
    server.start();
    asio::write(server.socket,
                asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
                                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxy")));
    server.run(milliseconds(50));
    REQUIRE(server.result);
    REQUIRE(*server.result);
    CHECK(server.result->value().body == "ab");
    server.start();
    server.reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd");
    REQUIRE(server.result);
    REQUIRE(*server.result);
    CHECK(server.result->value().body == "cd");
}
