//===-- BackoffNoticeTests.cpp - refusing endpoints by datagram -------------===//
//
// Encoding and decoding, malformed datagrams, and which refusals are reported to other entries.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/BackoffNotice.h"
#include "laurelcroft/Proxy/BackoffWatch.h"
#include "laurelcroft/Support/MessagePack.h"

#include <doctest/doctest.h>

#include <vector>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr time_point start{seconds(1000)};

struct watched_endpoint
{
    service_directory directory;
    backoff_watch watch;
    std::vector<backoff_notice> reported;

    watched_endpoint()
    {
        watch.setListener([this](const backoff_notice &notice) { reported.push_back(notice); });
        endpoint_record record;
        record.id = "e1";
        record.service = "pool";
        record.startedAt = 7;
        directory.apply(record, start);
    }

    service_endpoint &endpoint() { return *directory.all().at("e1"); }
};

} // namespace

TEST_CASE("a backoff notice is unchanged by encoding and decoding")
{
    const backoff_notice notice{"e1", 7, seconds(3)};
    CHECK(decodeBackoffNotice(encodeBackoffNotice(notice)) == notice);
}

TEST_CASE("bytes that are not a backoff notice are rejected")
{
    const json valid = json::array({"backoff", "e1", 7U, 3000U});
    REQUIRE(decodeBackoffNotice(encodeMessagePack(valid)));
    const std::vector<json> invalid = {"leaving", "", -7, 10'001U};
    for (std::size_t i = 0; i < invalid.size(); ++i) {
        CAPTURE(i);
        json item = valid;
        item[i] = invalid[i];
        CHECK_FALSE(decodeBackoffNotice(encodeMessagePack(item)));
    }
    CHECK_FALSE(decodeBackoffNotice("x"));
    CHECK_FALSE(decodeBackoffNotice(encodeMessagePack(json::array({"backoff"}))));
}

TEST_CASE("a refusal is reported to others once, and again when it lasts longer")
{
    watched_endpoint fixture;
    fixture.watch.update(fixture.endpoint(), seconds(3), start);
    fixture.watch.update(fixture.endpoint(), seconds(3), start + milliseconds(20));
    REQUIRE(fixture.reported.size() == 1);
    CHECK(fixture.reported[0] == backoff_notice{"e1", 7, seconds(3)});
    fixture.watch.update(fixture.endpoint(), seconds(3), start + seconds(3));
    CHECK(fixture.reported.size() == 2);
    // Too short for a notice to matter.
    fixture.watch.update(fixture.endpoint(), milliseconds(100), start + seconds(7));
    CHECK(fixture.reported.size() == 2);
    fixture.watch.update(fixture.endpoint(), seconds(100), start + seconds(8));
    REQUIRE(fixture.reported.size() == 3);
    CHECK(fixture.reported[2].time == backoff_notice::maxTime);
}

TEST_CASE("an endpoint that refuses requests of another entry is avoided until it wants them again")
{
    watched_endpoint fixture;
    fixture.watch.applyNotice(fixture.directory, {"e1", 6, seconds(3)}, start);
    fixture.watch.applyNotice(fixture.directory, {"unlisted", 7, seconds(3)}, start);
    CHECK(!fixture.endpoint().isAvoided(start));
    fixture.watch.applyNotice(fixture.directory, {"e1", 7, seconds(3)}, start);
    CHECK(fixture.endpoint().isAvoided(start + milliseconds(2999)));
    CHECK(!fixture.endpoint().isAvoided(start + seconds(3)));
    CHECK(!fixture.endpoint().isInBackoff(start));
    // The others know it from the same notice.
    fixture.watch.update(fixture.endpoint(), seconds(3), start + milliseconds(20));
    CHECK(fixture.reported.empty());
}
