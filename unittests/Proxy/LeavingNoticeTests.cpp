//===-- LeavingNoticeTests.cpp - leaving endpoints by datagram --------------===//
//
// Encoding and decoding, malformed datagrams, and when a notice is applied and forwarded.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/LeavingNotice.h"
#include "laurelcroft/Proxy/LeavingWatch.h"
#include "laurelcroft/Support/MessagePack.h"

#include <doctest/doctest.h>

#include <vector>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr time_point start{seconds(1000)};

struct watched_directory
{
    service_directory directory;
    leaving_watch watch;
    std::vector<leaving_notice> forwarded;

    watched_directory()
    {
        watch.setListener([this](const leaving_notice &notice) { forwarded.push_back(notice); });
        applyRecord(7);
    }

    void applyRecord(std::uint64_t startedAt)
    {
        endpoint_record record;
        record.id = "e1";
        record.service = "pool";
        record.startedAt = startedAt;
        directory.apply(record, start);
    }

    bool isUsable() const { return !directory.usable("pool").empty(); }
};

} // namespace

TEST_CASE("a leaving notice is unchanged by encoding and decoding")
{
    const leaving_notice notice{"e1", 7, 1};
    CHECK(decodeLeavingNotice(encodeLeavingNotice(notice)) == notice);
}

TEST_CASE("bytes that are not a leaving notice are rejected")
{
    const json valid = json::array({"leaving", "e1", 7U, 1U});
    REQUIRE(decodeLeavingNotice(encodeMessagePack(valid)));
    const std::vector<json> invalid = {"rate_limit", "", -7, 3U};
    for (std::size_t i = 0; i < invalid.size(); ++i) {
        CAPTURE(i);
        json item = valid;
        item[i] = invalid[i];
        CHECK_FALSE(decodeLeavingNotice(encodeMessagePack(item)));
    }
    CHECK_FALSE(decodeLeavingNotice("x"));
    CHECK_FALSE(decodeLeavingNotice(encodeMessagePack(json::array({"leaving"}))));
}

TEST_CASE("a leaving notice is applied, and forwarded a bounded number of times")
{
    watched_directory fixture;
    fixture.watch.applyNotice(fixture.directory, {"e1", 7, 1}, start);
    CHECK_FALSE(fixture.isUsable());
    fixture.watch.applyNotice(fixture.directory, {"e1", 7, 2}, start);
    REQUIRE(fixture.forwarded.size() == 1);
    CHECK(fixture.forwarded[0] == leaving_notice{"e1", 7, 0});
}

TEST_CASE("a leaving notice of another start, or of an unlisted endpoint, is ignored")
{
    watched_directory fixture;
    fixture.watch.applyNotice(fixture.directory, {"e1", 6, 2}, start);
    fixture.watch.applyNotice(fixture.directory, {"e2", 7, 2}, start);
    CHECK(fixture.isUsable());
    CHECK(fixture.forwarded.empty());
}

TEST_CASE("a leaving endpoint is dropped with its row, and stays unusable until it starts again")
{
    watched_directory fixture;
    CHECK(fixture.directory.setLeaving("e1", 7));
    CHECK_FALSE(fixture.directory.setLeaving("e1", 7));
    // After a store outage, removed endpoints are kept for a while unless they are leaving.
    fixture.directory.deferRemovalsUntil(start + seconds(5));
    CHECK(fixture.directory.remove("e1", start));
    fixture.applyRecord(7);
    CHECK_FALSE(fixture.isUsable());
    fixture.applyRecord(8);
    CHECK(fixture.isUsable());
}
