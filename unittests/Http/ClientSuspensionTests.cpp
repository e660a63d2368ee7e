//===-- ClientSuspensionTests.cpp - calls across a suspension ---------------===//
//
// Guards against calls that outlive their timeout after the instance was suspended: libcurl
// measures timeouts by the steady clock, which stops during a suspension. The server accepts the
// connection but never answers.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Http/Client.h"
#include "laurelcroft/Support/Runtime.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <doctest/doctest.h>

#include <optional>

using namespace laurelcroft;

TEST_CASE("a call whose timeout expired during a suspension ends when the instance resumes")
{
    asio::io_context context;
    asio::ip::tcp::acceptor silent(context, {asio::ip::make_address("127.0.0.1"), 0});
    http_client client(context);
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(silent.local_endpoint().port()) + "/";
    call.timeout = seconds(30);
    std::optional<outcome<http_reply, http_error>> result;
    client.fetch(call, [&](outcome<http_reply, http_error> reply) { result = std::move(reply); });
    context.run_for(milliseconds(50));
    CHECK_FALSE(result);
    simulateSuspension(seconds(31));
    context.restart();
    context.run_for(milliseconds(400));
    REQUIRE(result);
    REQUIRE_FALSE(*result);
    CHECK(result->error() == http_error::timeout);
}
