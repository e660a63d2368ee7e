//===-- RateLimitNoticeTests.cpp - rate limits by datagram ------------------===//
//
// Encoding and decoding, malformed datagrams, precedence of newer limits, and forwarding.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RateLimitNotice.h"
#include "laurelcroft/Proxy/RateLimitWatch.h"
#include "laurelcroft/Support/MessagePack.h"

#include <doctest/doctest.h>

#include <limits>
#include <vector>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr time_point start{seconds(1000)};

endpoint_record exampleRecord()
{
    endpoint_record record;
    record.id = "e1";
    record.startedAt = 7;
    return record;
}

struct watched_endpoint
{
    service_endpoint endpoint{exampleRecord()};
    rate_limit_watch watch;
    std::vector<rate_limit_notice> forwarded;

    watched_endpoint()
    {
        watch.setListener([this](const rate_limit_notice &notice) { forwarded.push_back(notice); });
    }
};

} // namespace

TEST_CASE("a rate limit notice is unchanged by encoding and decoding")
{
    for (const std::optional<double> perSecond :
         {std::optional(1.5), std::optional(2.0), std::optional(0.1), std::optional<double>()}) {
        const rate_limit_notice notice{"e1", 7, perSecond, milliseconds(20), 1};
        CHECK(decodeRateLimitNotice(encodeRateLimitNotice(notice)) == notice);
    }
}

TEST_CASE("bytes that are not a rate limit notice are rejected")
{
    const json valid = json::array({"rate_limit", "e1", 7U, 1.5, 20U, 1U});
    REQUIRE(decodeRateLimitNotice(encodeMessagePack(valid)));
    const std::vector<json> invalid = {"withheld", "", -7, -1.5, 6000U, 3U};
    for (std::size_t i = 0; i < invalid.size(); ++i) {
        CAPTURE(i);
        json item = valid;
        item[i] = invalid[i];
        CHECK_FALSE(decodeRateLimitNotice(encodeMessagePack(item)));
    }
    for (const double limit :
         {std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
        json item = valid;
        item[3] = limit;
        CHECK_FALSE(decodeRateLimitNotice(encodeMessagePack(item)));
    }
    CHECK_FALSE(decodeRateLimitNotice("x"));
    CHECK_FALSE(decodeRateLimitNotice(encodeMessagePack(json::array({"rate_limit"}))));
}

TEST_CASE("a rate limit notice that is older than the known limit is ignored")
{
    watched_endpoint fixture;
    fixture.watch.update(fixture.endpoint, std::nullopt, start);
    fixture.watch.applyNotice(fixture.endpoint, {"e1", 7, 1.5, milliseconds(30), 2},
                              start + milliseconds(20));
    CHECK_FALSE(fixture.endpoint.rateLimit());
    fixture.watch.applyNotice(fixture.endpoint, {"e1", 7, 1.5, milliseconds(10), 2},
                              start + milliseconds(20));
    CHECK(fixture.endpoint.rateLimit() == 1.5);
}

TEST_CASE("a rate limit notice of an earlier start of an endpoint is ignored")
{
    watched_endpoint fixture;
    fixture.watch.applyNotice(fixture.endpoint, {"e1", 6, 1.5, milliseconds(0), 2}, start);
    CHECK_FALSE(fixture.endpoint.rateLimit());
    CHECK(fixture.forwarded.empty());
}

TEST_CASE("a rate limit notice is forwarded once, and only while it has hops left")
{
    watched_endpoint fixture;
    const rate_limit_notice notice{"e1", 7, 1.5, milliseconds(0), 1};
    fixture.watch.applyNotice(fixture.endpoint, notice, start);
    fixture.watch.applyNotice(fixture.endpoint, notice, start + milliseconds(1));
    REQUIRE(fixture.forwarded.size() == 1);
    CHECK(fixture.forwarded[0].hops == 0);
    fixture.watch.applyNotice(fixture.endpoint, {"e1", 7, 9.5, milliseconds(0), 0},
                              start + milliseconds(2));
    CHECK(fixture.endpoint.rateLimit() == 9.5);
    CHECK(fixture.forwarded.size() == 1);
}
