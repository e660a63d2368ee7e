//===-- EndpointCallerTests.cpp - tests of endpoint_caller ------------------===//
//
// The tests act as the endpoint and write raw bytes to real sockets on the loopback address.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/EndpointCaller.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <list>
#include <optional>

using namespace laurelcroft;

namespace {

/// A minimal dialect: the request id is in the header Id, and every answer counts as signed.
proxy_dialect plainDialect()
{
    proxy_dialect dialect;
    dialect.encodeAttempt = [](const proxy_attempt &attempt) {
        const std::size_t length = attempt.request->body.size();
        const std::string lengthField
                = length == 0 ? "" : "Content-Length: " + std::to_string(length) + "\r\n";
        return attempt.request->method + " / HTTP/1.1\r\nId: " + attempt.request->id + "\r\n"
                + lengthField + "\r\n";
    };
    dialect.decodeAnswer = [](message_head &&head) {
        proxy_answer answer;
        answer.status = head.status;
        answer.requestId = findHeader(head.headers, "Id");
        answer.signedByEndpoint = true;
        return answer;
    };
    return dialect;
}

struct call_result
{
    std::optional<proxy_answer> answer;
    std::string body;
    std::optional<call_end> end;
};

struct endpoint_caller_fixture
{
    endpoint_caller_fixture()
        : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , calls(context, plainDialect())
    {
        endpoint_record record;
        record.id = "e1";
        record.host = "127.0.0.1";
        record.port = acceptor.local_endpoint().port();
        endpoint = std::make_shared<service_endpoint>(record);
    }

    call_id start(const std::string &id, call_result &result, bool atMostOnce = false,
                  std::string body = {})
    {
        auto request = std::make_shared<proxy_request>();
        request->method = body.empty() ? "GET" : "POST";
        request->id = id;
        request->body = std::move(body);
        proxy_attempt attempt;
        attempt.request = request;
        attempt.endpoint = endpoint;
        attempt.atMostOnce = atMostOnce;
        call_events events;
        events.onAnswer = [&result](proxy_answer &&answer) { result.answer = std::move(answer); };
        events.onData = [&result](std::string_view data) { result.body += data; };
        events.onEnd = [&result](call_end end) { result.end = end; };
        return calls.call(std::move(attempt), std::move(events));
    }

    asio::ip::tcp::socket &accept()
    {
        sockets.push_back(acceptor.accept());
        settle();
        return sockets.back();
    }

    void settle()
    {
        for (int i = 0; i < 10; ++i) {
            context.restart();
            context.run_for(std::chrono::milliseconds(2));
        }
    }

    void send(asio::ip::tcp::socket &socket, std::string_view text)
    {
        asio::write(socket, asio::buffer(text));
        settle();
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::list<asio::ip::tcp::socket> sockets;
    endpoint_ptr endpoint;
    endpoint_caller calls;
};

std::string answerTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("a connection is reused after a complete answer")
{
    endpoint_caller_fixture fixture;
    call_result first;
    fixture.start("r1", first);
    auto &socket = fixture.accept();
    fixture.send(socket, answerTo("r1", "abc"));
    CHECK(first.end == call_end::complete);
    CHECK(first.body == "abc");
    call_result second;
    fixture.start("r2", second);
    fixture.settle();
    fixture.send(socket, answerTo("r2", "d"));
    CHECK(second.body == "d");
    CHECK(fixture.calls.opened() == 1);
}

TEST_CASE("a refused connection is reported as not sent")
{
    endpoint_caller_fixture fixture;
    fixture.acceptor.close();
    call_result result;
    fixture.start("r1", result);
    fixture.settle();
    CHECK(result.end == call_end::notSent);
}

TEST_CASE("a connection that closes before the end of the answer is reported as broken")
{
    for (const std::string &part :
         {std::string(), std::string("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nab")}) {
        endpoint_caller_fixture fixture;
        call_result result;
        fixture.start("r1", result);
        auto &socket = fixture.accept();
        fixture.send(socket, part);
        socket.close();
        fixture.settle();
        CHECK(result.end == call_end::broken);
    }
}

TEST_CASE("an answer without a length is complete at a close, but broken at a reset")
{
    for (const bool reset : {false, true}) {
        endpoint_caller_fixture fixture;
        call_result result;
        fixture.start("r1", result);
        auto &socket = fixture.accept();
        fixture.send(socket, "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nabc");
        if (reset)
            socket.set_option(asio::socket_base::linger(true, 0));
        else
            socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        if (reset)
            socket.close();
        fixture.settle();
        CHECK(result.end == (reset ? call_end::broken : call_end::complete));
    }
}

TEST_CASE("an answer without a length is broken when its connection is reset during an upload")
{
    constexpr std::size_t uploadBytes = 16U << 20;
    for (const bool atMostOnce : {false, true}) {
        endpoint_caller_fixture fixture;
        fixture.acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
        call_result result;
        fixture.start("r1", result, atMostOnce, std::string(uploadBytes, 'u'));
        auto &socket = fixture.accept();
        // The answer and the reset arrive together, while the rest of the request waits.
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nId: r1\r\n\r\npart")));
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        fixture.settle();
        CHECK(result.end == call_end::broken);
    }
}

TEST_CASE("an early answer with a length is complete although its connection is reset")
{
    endpoint_caller_fixture fixture;
    fixture.acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    call_result result;
    fixture.start("r1", result, false, std::string(16U << 20, 'u'));
    auto &socket = fixture.accept();
    asio::write(socket, asio::buffer(answerTo("r1", "whole")));
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
    fixture.settle();
    CHECK(result.body == "whole");
    CHECK(result.end == call_end::complete);
}

TEST_CASE("an answer to another request is skipped")
{
    endpoint_caller_fixture fixture;
    call_result result;
    fixture.start("r2", result);
    auto &socket = fixture.accept();
    fixture.send(socket, answerTo("r1", "old"));
    CHECK(!result.answer);
    fixture.send(socket, answerTo("r2", "new"));
    CHECK(result.body == "new");
    CHECK(result.end == call_end::complete);
}

TEST_CASE("bytes after a complete answer close the connection")
{
    endpoint_caller_fixture fixture;
    call_result first;
    fixture.start("r1", first);
    auto &socket = fixture.accept();
    fixture.send(socket, answerTo("r1", "abc") + answerTo("r1", "abc"));
    CHECK(first.end == call_end::complete);
    CHECK(first.body == "abc");
    call_result second;
    fixture.start("r2", second);
    fixture.accept();
    CHECK(fixture.calls.opened() == 2);
}

TEST_CASE("a malformed answer is reported as broken")
{
    endpoint_caller_fixture fixture;
    call_result result;
    fixture.start("r1", result);
    fixture.send(fixture.accept(), "this is no answer\r\n\r\n");
    CHECK(result.end == call_end::broken);
}

TEST_CASE("an answer with an invalid status or name is broken at once, on an open connection")
{
    const std::string valid = "HTTP/1.1 200 OK\r\n";
    for (const std::string &start :
         {std::string("HTTP/1.1 000 S\r\n"), std::string("HTTP/1.1 099 S\r\n"),
          std::string("HTTP/1.1 20 S\r\n"), std::string("HTTP/1.1 999 S\r\n"),
          valid + "X Foo: 1\r\n", valid + "X-Foo : 1\r\n", valid + "Content-Length : 2\r\n"}) {
        endpoint_caller_fixture fixture;
        call_result result;
        fixture.start("r1", result);
        fixture.send(fixture.accept(), start + "Id: r1\r\nContent-Length: 2\r\n\r\nab");
        CHECK_MESSAGE(!result.answer, start);
        CHECK_MESSAGE(result.end == call_end::broken, start);
    }
}

TEST_CASE("bytes without end before an answer end its call")
{
    const std::string interim
            = "HTTP/1.1 103 Early Hints\r\nX: " + std::string(1000, 'x') + "\r\n\r\n";
    const std::string other = answerTo("other", std::string(1000, 'x'));
    for (const std::string &piece : {interim, other, std::string(1000, 'x')}) {
        endpoint_caller_fixture fixture;
        call_result result;
        fixture.start("r1", result);
        auto &socket = fixture.accept();
        if (piece.front() == 'x')
            asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nId: other\r\n\r\n")));
        constexpr std::size_t maxPieces = 6000;
        asio::error_code error;
        std::size_t pieces = 0;
        for (; !result.end && pieces < maxPieces; ++pieces) {
            asio::write(socket, asio::buffer(piece), error);
            fixture.context.restart();
            fixture.context.poll();
        }
        CHECK(pieces > 3000);
        CHECK(result.end == call_end::broken);
    }
}

TEST_CASE("a cancelled call closes its connection and invokes no callback")
{
    endpoint_caller_fixture fixture;
    call_result result;
    const call_id call = fixture.start("r1", result);
    auto &socket = fixture.accept();
    fixture.calls.cancel(call);
    fixture.settle();
    CHECK(!result.end);
    char buffer[256];
    asio::error_code error;
    while (!error)
        socket.read_some(asio::buffer(buffer), error);
    CHECK(error == asio::error::eof);
    CHECK(fixture.calls.hasRoom(*fixture.endpoint, 1));
}

TEST_CASE("an at-most-once request does not reuse a connection idle for long")
{
    endpoint_caller_fixture fixture;
    call_result first;
    fixture.start("r1", first);
    fixture.send(fixture.accept(), answerTo("r1", ""));
    for (int i = 0; i < 20; ++i)
        fixture.settle();
    call_result second;
    fixture.start("r2", second, true);
    fixture.accept();
    CHECK(fixture.calls.opened() == 2);
}

TEST_CASE("the number of connections to an endpoint is limited")
{
    endpoint_caller_fixture fixture;
    call_result first;
    fixture.start("r1", first);
    CHECK(!fixture.calls.hasRoom(*fixture.endpoint, 1));
    CHECK(fixture.calls.hasRoom(*fixture.endpoint, 2));
}

TEST_CASE("connections to an earlier process of an endpoint are not reused")
{
    endpoint_caller_fixture fixture;
    call_result first;
    fixture.start("1", first);
    fixture.send(fixture.accept(), answerTo("1", "ok"));
    // Another call is in progress while the endpoint restarts under its id.
    call_result second;
    fixture.start("2", second);
    call_result third;
    fixture.start("3", third);
    asio::ip::tcp::socket &busy = fixture.accept();
    endpoint_record record = fixture.endpoint->record();
    record.startedAt = 1;
    const endpoint_ptr before
            = std::exchange(fixture.endpoint, std::make_shared<service_endpoint>(record));
    fixture.send(fixture.sockets.front(), answerTo("2", "ok"));
    call_result fourth;
    fixture.start("4", fourth);
    fixture.send(fixture.accept(), answerTo("4", "ok"));
    CHECK(fourth.body == "ok");
    CHECK(fixture.calls.opened() == 3);
    // Answers on old connections are still delivered; the connections are then closed.
    fixture.send(busy, answerTo("3", "late"));
    CHECK(third.body == "late");
    call_result fifth;
    fixture.start("5", fifth);
    fixture.send(fixture.sockets.back(), answerTo("5", "ok"));
    CHECK(fifth.body == "ok");
    CHECK(fixture.calls.opened() == 3);
}

TEST_CASE("a probe reports an endpoint as ended when its port is closed, once per probe")
{
    endpoint_caller_fixture fixture;
    unsigned reports = 0;
    const auto probe
            = [&] { fixture.calls.checkEnded(fixture.endpoint, [&reports] { ++reports; }); };
    probe();
    fixture.settle();
    CHECK(reports == 0);
    fixture.acceptor.close();
    probe();
    probe();
    fixture.settle();
    CHECK(reports == 1);
    probe();
    fixture.settle();
    CHECK(reports == 2);
}

TEST_CASE("an idle connection that expired during a suspension of the instance is not reused")
{
    endpoint_caller_fixture fixture;
    call_result first;
    fixture.start("a", first);
    asio::ip::tcp::socket &socket = fixture.accept();
    fixture.send(socket, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
    fixture.settle();
    REQUIRE(first.end == call_end::complete);
    simulateSuspension(seconds(10));
    call_result second;
    fixture.start("b", second);
    fixture.settle();
    CHECK(fixture.calls.opened() == 2);
}
