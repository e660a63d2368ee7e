//===-- AgentTests.cpp - tests of endpoint answers and costs ----------------===//
//
// The agent core is tested by test/FaultMatrix.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Agent/EndpointClient.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace laurelcroft;

static const std::string streamText
        = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
          "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,"
          "\"prompt_tokens_details\":{\"cached_tokens\":4}},\"confidence\":0.75}\n\n"
          "data: [DONE]\n\n";

TEST_CASE("events are parsed for any size of the pieces that they arrive in")
{
    for (std::size_t size = 1; size < streamText.size(); ++size) {
        event_reader reader;
        std::string passed;
        for (std::size_t at = 0; at < streamText.size(); at += size)
            passed += reader.feed(std::string_view(streamText).substr(at, size));
        CHECK(reader.sawEnd());
        CHECK(passed + "data: [DONE]\n\n" == streamText);
        CHECK(reader.usage().cached_tokens() == 4);
        CHECK(reader.score() == doctest::Approx(0.75));
    }
}

TEST_CASE("a stream without the [DONE] marker is incomplete")
{
    event_reader reader;
    reader.feed(std::string_view(streamText).substr(0, streamText.size() - 5));
    CHECK_FALSE(reader.sawEnd());
    CHECK(countEvents(streamText) == 3);
    CHECK(countEvents("") == 0);
}

TEST_CASE("readUsage reads a complete answer and rejects bodies without usage")
{
    wire::usage usage;
    double score = 0;
    CHECK(readUsage(R"({"usage":{"prompt_tokens":3,"completion_tokens":5},"confidence":0.5})",
                    usage, score));
    CHECK(usage.generated_tokens() == 5);
    CHECK_FALSE(readUsage("{}", usage, score));
    CHECK_FALSE(readUsage("no json", usage, score));
    CHECK_FALSE(readUsage(R"({"usage":{"prompt_tokens":"many"}})", usage, score));
    CHECK_FALSE(readUsage(R"({"usage":{"prompt_tokens":3},"confidence":"high"})", usage, score));
}

namespace {

/// A client whose engine is played by the test.
struct engine_fixture
{
    /// Starts a call and lets the engine send \p piece until the call ends.
    /// \returns the number of bytes sent.
    std::size_t sendEndlessly(const std::string &head, const std::string &piece)
    {
        constexpr std::size_t maxBytes = 64U << 20;
        wire::offer offer;
        offer.set_kind(wire::work_service);
        offer.set_target("s");
        offer.set_deadline_ms(30000);
        engine.start(1, offer);
        context.run_for(milliseconds(20));
        asio::ip::tcp::socket socket = acceptor.accept();
        asio::write(socket, asio::buffer(head));
        asio::error_code error;
        std::size_t sent = 0;
        for (; !result && sent < maxBytes; sent += piece.size()) {
            asio::write(socket, asio::buffer(piece), error);
            context.restart();
            context.run_for(milliseconds(2));
        }
        return sent;
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    http_client http{context};
    std::optional<work_result> result;
    endpoint_client engine{
            http, "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
            endpoint_events{[](work_id, std::string_view) {},
                            [this](work_id, const work_result &ended) { result = ended; }}};
};

} // namespace

TEST_CASE("an answer or an event without end ends its work")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string stream = head + "Content-Type: text/event-stream\r\n\r\ndata: ";
    const std::string piece(1U << 18, 'x');
    for (const std::string &start : {head + "\r\n", stream}) {
        engine_fixture fixture;
        const std::size_t sent = fixture.sendEndlessly(start, piece);
        REQUIRE(fixture.result);
        CHECK(fixture.result->failed);
        CHECK(fixture.result->executed == wire::execution_yes);
        CHECK(sent <= 2 * http_client::maxFetchedBytes);
    }
}

TEST_CASE("cached prompt tokens cost less and a service has a fixed cost per call")
{
    bundle rules;
    rules.models = {{"m", "p", 1, 10, {}}};
    rules.services = {{"s", "p", true, 0.25}};
    wire::bill_step step;
    step.set_target("m");
    step.mutable_usage()->set_prompt_tokens(1000);
    step.mutable_usage()->set_generated_tokens(100);
    CHECK(costOf(rules, step) == doctest::Approx(2.0));
    step.mutable_usage()->set_cached_tokens(1000);
    CHECK(costOf(rules, step) == doctest::Approx(1.1));
    step.set_target("s");
    CHECK(costOf(rules, step) == doctest::Approx(0.25));
}
