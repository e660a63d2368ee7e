//===-- SlowEndpointTests.cpp - endpoint_caller with backpressure -----------===//
//
// Load: answers that are read with pauses, and endpoints that read their requests slowly. The tests
// act as the endpoint over real sockets on the loopback address.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/EndpointCaller.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace laurelcroft;

namespace {

constexpr std::size_t megabyte = 1U << 20;

proxy_dialect bodyDialect()
{
    proxy_dialect dialect;
    dialect.encodeAttempt = [](const proxy_attempt &attempt) {
        return "POST / HTTP/1.1\r\nId: r\r\nContent-Length: "
                + std::to_string(attempt.request->body.size()) + "\r\n\r\n";
    };
    dialect.decodeAnswer = [](message_head &&head) {
        proxy_answer answer;
        answer.status = head.status;
        answer.requestId = findHeader(head.headers, "Id");
        return answer;
    };
    return dialect;
}

/// A call and the socket of its endpoint.
struct slow_endpoint_fixture
{
    explicit slow_endpoint_fixture(const std::string &requestBody)
        : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , socket(context)
        , calls(context, bodyDialect())
    {
        endpoint_record record;
        record.id = "e1";
        record.host = "127.0.0.1";
        record.port = acceptor.local_endpoint().port();
        auto request = std::make_shared<proxy_request>();
        request->method = "POST";
        request->id = "r";
        request->body = requestBody;
        proxy_attempt attempt;
        attempt.request = request;
        attempt.endpoint = std::make_shared<service_endpoint>(record);
        call_events events;
        events.onAnswer = [this](proxy_answer &&given) { answer = std::move(given); };
        events.onData = [this](std::string_view data) {
            body += data;
            if (pausesAt && body.size() >= *pausesAt)
                calls.pause(call);
        };
        events.onEnd = [this](call_end how) { end = how; };
        call = calls.call(std::move(attempt), std::move(events));
        socket = acceptor.accept();
        socket.non_blocking(true);
        settle();
    }

    void settle()
    {
        for (int i = 0; i < 10; ++i) {
            context.restart();
            context.run_for(std::chrono::milliseconds(2));
        }
    }

    /// Writes as much of \p text from \p done on as the socket takes.
    void write(const std::string &text, std::size_t &done)
    {
        asio::error_code error;
        for (int i = 0; i < 50 && done < text.size() && !end; ++i) {
            done += socket.write_some(asio::buffer(text) + done, error);
            settle();
        }
    }

    /// \returns up to \p most bytes of the request.
    std::string read(std::size_t most)
    {
        std::string text(most, '\0');
        asio::error_code error;
        text.resize(socket.read_some(asio::buffer(text), error));
        requestEnded = error == asio::error::eof;
        return text;
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    endpoint_caller calls;
    call_id call = 0;
    std::optional<proxy_answer> answer;
    std::string body;
    std::optional<std::size_t> pausesAt; ///< pauses the call once so much was received
    std::optional<call_end> end;
    bool requestEnded = false;
};

std::string answerText(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
}

std::string numbers(std::size_t size)
{
    std::string text;
    for (unsigned i = 0; text.size() < size; ++i)
        text += std::to_string(i);
    return text;
}

} // namespace

TEST_CASE(
        "a paused call reads no more, so that its endpoint has to wait, and continues when resumed")
{
    slow_endpoint_fixture fixture("");
    const std::string body = numbers(16 * megabyte);
    const std::string text = answerText(body);
    fixture.pausesAt = 100'000;
    std::size_t written = 0;
    fixture.write(text, written);
    CHECK(fixture.calls.paused() == 1);
    CHECK(fixture.body.size() < 110'000);
    CHECK(written < text.size());
    CHECK(fixture.answer->bodyLength == body.size());
    fixture.pausesAt.reset();
    fixture.calls.resume(fixture.call);
    CHECK(fixture.calls.paused() == 0);
    for (int i = 0; i < 100 && !fixture.end; ++i)
        fixture.write(text, written);
    CHECK(fixture.end == call_end::complete);
    CHECK(fixture.body == body);
}

TEST_CASE("an endpoint that dies while its call is paused breaks the call when it is resumed")
{
    slow_endpoint_fixture fixture("");
    fixture.pausesAt = 1;
    std::size_t written = 0;
    const std::string text = answerText(std::string(100'000, 'a'));
    fixture.write(text.substr(0, 50'000), written);
    fixture.socket.set_option(asio::socket_base::linger(true, 0));
    fixture.socket.close();
    fixture.settle();
    CHECK(!fixture.end);
    fixture.pausesAt.reset();
    fixture.calls.resume(fixture.call);
    fixture.settle();
    CHECK(fixture.end == call_end::broken);
}

TEST_CASE("an answer that a close ends is whole, one that is reset while paused is not")
{
    for (const bool isReset : {false, true}) {
        slow_endpoint_fixture fixture("");
        fixture.pausesAt = 1;
        std::size_t written = 0;
        fixture.write("HTTP/1.1 200 OK\r\nId: r\r\n\r\n" + std::string(20'000, 'a'), written);
        CHECK(!fixture.answer->bodyLength);
        if (isReset)
            fixture.socket.set_option(asio::socket_base::linger(true, 0));
        fixture.read(megabyte);
        fixture.socket.close();
        fixture.settle();
        fixture.pausesAt.reset();
        fixture.calls.resume(fixture.call);
        fixture.settle();
        CHECK(fixture.end == (isReset ? call_end::broken : call_end::complete));
        if (!isReset)
            CHECK(fixture.body.size() == 20'000);
    }
}

TEST_CASE("a paused call can be cancelled, and neither pause nor resume affects an ended call")
{
    slow_endpoint_fixture fixture("");
    fixture.pausesAt = 1;
    std::size_t written = 0;
    fixture.write(answerText(std::string(100'000, 'a')).substr(0, 50'000), written);
    fixture.calls.cancel(fixture.call);
    CHECK(fixture.calls.paused() == 0);
    fixture.calls.resume(fixture.call);
    fixture.calls.pause(fixture.call);
    fixture.settle();
    CHECK(!fixture.end);
}

TEST_CASE("an endpoint that reads its request slowly receives it unchanged")
{
    const std::string body = numbers(8 * megabyte);
    slow_endpoint_fixture fixture(body);
    std::string request;
    for (int i = 0; i < 2000 && !request.ends_with(body); ++i) {
        request += fixture.read(50'000);
        fixture.context.restart();
        fixture.context.run_for(std::chrono::milliseconds(1));
    }
    CHECK(request.ends_with("\r\n\r\n" + body));
    std::size_t written = 0;
    fixture.write(answerText("ok"), written);
    CHECK(fixture.end == call_end::complete);
}

TEST_CASE("after an early answer, an endpoint receives no other bytes where its body is due")
{
    const std::string body = numbers(16 * megabyte);
    slow_endpoint_fixture fixture(body);
    std::size_t written = 0;
    fixture.write(answerText("early"), written);
    CHECK(fixture.end == call_end::complete);
    CHECK(fixture.body == "early");
    std::string request;
    for (int i = 0; i < 2000 && !fixture.requestEnded; ++i)
        request += fixture.read(megabyte);
    CHECK(fixture.requestEnded);
    const std::string received = request.substr(request.find("\r\n\r\n") + 4);
    CHECK(received.size() < body.size());
    CHECK(body.starts_with(received));
}
