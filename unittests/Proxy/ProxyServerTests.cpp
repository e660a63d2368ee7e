//===-- ProxyServerTests.cpp - draining of an entry -------------------------===//
//
// Uses real sockets on the loopback address. The test acts as caller and as endpoint.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/ProxyServer.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>

using namespace laurelcroft;
using asio::ip::tcp;

namespace {

const asio::ip::address loopback = asio::ip::make_address("127.0.0.1");

proxy_dialect plainDialect()
{
    proxy_dialect dialect;
    dialect.decodeRequest = [](message_head &&) {
        proxy_request request;
        request.id = "r1";
        request.method = "GET";
        request.host = "site.example";
        request.path = "/a/x";
        request.target = request.path;
        return request;
    };
    dialect.encodeAttempt = [](const proxy_attempt &) {
        return std::string("GET /a/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
    };
    dialect.decodeAnswer = [](message_head &&) { return proxy_answer(); };
    return dialect;
}

std::uint16_t freePort(asio::io_context &context)
{
    return tcp::acceptor(context, {loopback, 0}).local_endpoint().port();
}

/// An entry with one route to one endpoint that accepts connections but never answers.
struct entry_fixture
{
    entry_fixture()
    {
        service_route route;
        route.name = "route";
        route.host = "site.example";
        route.pathPrefix = "/a/";
        route.objective = milliseconds(300);
        route.timeout = milliseconds(1000);
        route.services = {{"pool", 1.0}};
        auto contract = std::make_shared<service_contract>();
        contract->version = 1;
        contract->routes.push_back(route);
        service_description pool;
        pool.name = "pool";
        contract->services.push_back(pool);
        routing.setContract(contract);

        endpoint_record record;
        record.id = "e1";
        record.service = "pool";
        record.host = "127.0.0.1";
        record.port = endpoint.local_endpoint().port();
        routing.directory().apply(record, bootNow());

        options.host = "127.0.0.1";
        options.port = freePort(context);
        options.readyHost = "127.0.0.1";
        options.readyPort = freePort(context);
        options.readyPath = "/ready";
        options.drainDelay = milliseconds(50);
        options.gracePeriod = milliseconds(5000);
        endpoint.non_blocking(true);
    }

    void runFor(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    /// Sends a request over a new connection.
    /// \returns the version and status of the answer; empty if none comes at once.
    std::string firstLineOfAnswer()
    {
        constexpr std::size_t length = 12;
        tcp::socket caller(context);
        caller.connect({loopback, options.port});
        asio::write(caller, asio::buffer(std::string("GET /a/x HTTP/1.1\r\nHost: x\r\n\r\n")));
        runFor(milliseconds(30));
        caller.non_blocking(true);
        std::array<char, 256> buffer{};
        asio::error_code error;
        const std::size_t size = caller.read_some(asio::buffer(buffer), error);
        return std::string(buffer.data(), std::min(size, length));
    }

    bool endpointWasCalled()
    {
        asio::error_code error;
        endpoint.accept(error);
        return !error;
    }

    asio::io_context context;
    metric_registry metrics;
    routing_state routing{{}, {}, 1};
    tcp::acceptor endpoint{context, {loopback, 0}};
    proxy_options options;
};

} // namespace

TEST_CASE("a request that arrives after an entry is drained is refused, not cut off")
{
    entry_fixture fixture;
    proxy_server server(fixture.context, fixture.routing, fixture.metrics, plainDialect(),
                        fixture.options);
    REQUIRE(server.open().empty());
    fixture.runFor(milliseconds(50));
    bool drained = false;
    server.drain([&] { drained = true; });
    // No request is in progress, so the entry is drained as soon as the drain delay has passed. It
    // reports this a moment later.
    fixture.runFor(fixture.options.drainDelay + milliseconds(30));
    REQUIRE(!drained);

    CHECK(fixture.firstLineOfAnswer() == "HTTP/1.1 503");
    CHECK(!fixture.endpointWasCalled());
}

TEST_CASE("a request that can't meet its objective before the stop is refused and not sent on")
{
    // The grace period leaves 600 ms; the objective is 300 ms.
    for (const milliseconds sinceStop : {milliseconds(100), milliseconds(450)}) {
        entry_fixture fixture;
        fixture.options.drainDelay = milliseconds(500);
        fixture.options.gracePeriod = milliseconds(1000);
        proxy_server server(fixture.context, fixture.routing, fixture.metrics, plainDialect(),
                            fixture.options);
        REQUIRE(server.open().empty());
        fixture.runFor(milliseconds(50));
        server.drain([] {});
        fixture.runFor(sinceStop);
        const bool isLate = sinceStop > milliseconds(300);
        CHECK(fixture.firstLineOfAnswer() == (isLate ? "HTTP/1.1 503" : ""));
        CHECK(fixture.endpointWasCalled() == !isLate);
    }
}
