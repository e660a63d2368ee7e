//===-- PaceNoticeTests.cpp - pace of endpoints by datagram -----------------===//
//
// Encoding and decoding of pace notices, and what entries make of them.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PaceNotice.h"
#include "laurelcroft/Proxy/PaceWatch.h"
#include "laurelcroft/Support/MessagePack.h"

#include <doctest/doctest.h>

using namespace laurelcroft;
using nlohmann::json;

namespace {

endpoint_record recordOf(const std::string &id, std::uint64_t startedAt = 1)
{
    endpoint_record record;
    record.id = id;
    record.service = "pool";
    record.host = "127.0.0.1";
    record.port = 1;
    record.startedAt = startedAt;
    return record;
}

} // namespace

TEST_CASE("a pace notice is decoded as it was encoded")
{
    const pace_notice notice{{{"i-1", 120, 95, 3}, {"i-2", 0, 310, 1}}, true};
    const auto decoded = decodePaceNotice(encodePaceNotice(notice));
    REQUIRE(decoded);
    CHECK(*decoded == notice);
}

TEST_CASE("a pace notice with a number out of range or of another shape is rejected")
{
    const auto with = [](const json &report) {
        json item = json::array({"pace", false});
        for (const json &field : report)
            item.push_back(field);
        return item;
    };
    CHECK(decodePaceNotice(encodeMessagePack(with({"i-1", 120, 95, 3}))));
    for (const json &item :
         {json::array(), json::array({"pace"}), json::array({"other", false, "i-1", 120, 95, 3}),
          json::array({"pace", 0, "i-1", 120, 95, 3}), with({"i-1", 120, 95}),
          with({"i-1", 120, 95, 3, 4}), with({"i-1", 2001, 95, 3}), with({"i-1", -5, 95, 3}),
          with({"i-1", 120, 95, 101}), with({"", 120, 95, 3}), with({"i-1", 1.5, 95, 3}),
          with({7, 120, 95, 3})})
        CHECK(!decodePaceNotice(encodeMessagePack(item)));
    CHECK(!decodePaceNotice("junk"));
}

TEST_CASE("a notice holds the reports since the last one, a packet at most, and the rest follows")
{
    pace_watch watch;
    const time_point now{seconds(100)};
    CHECK(!watch.takeNotice());
    for (unsigned i = 0; i < pace_notice::maxReports + 3; ++i) {
        service_endpoint endpoint(recordOf("i-" + std::to_string(i)));
        endpoint.pace().noteStated(1.2, now);
        watch.noteStated(endpoint, now);
    }
    auto notice = watch.takeNotice();
    REQUIRE(notice);
    CHECK(notice->reports.size() == pace_notice::maxReports);
    CHECK(notice->reports.front().statedPercent == 120);
    notice = watch.takeNotice();
    REQUIRE(notice);
    CHECK(notice->reports.size() == 3);
    CHECK(!watch.takeNotice());
}

TEST_CASE("what another entry has learned is applied, but not forwarded")
{
    pace_watch watch;
    service_directory directory;
    const time_point now{seconds(100)};
    directory.apply(recordOf("i-1"), now);
    for (int i = 0; i < 2; ++i)
        watch.applyNotice(directory, {{{"i-1", 300, 0, 0}, {"i-9", 300, 0, 0}}}, now);
    CHECK(directory.all().at("i-1")->pace().usual(now) == doctest::Approx(3));
    CHECK(pace_watch::slowEndpoints(directory, now) == 1);
    CHECK(!watch.takeNotice());
}

TEST_CASE("an endpoint that restarts under its id loses the pace that was learned")
{
    pace_watch watch;
    service_directory directory;
    const time_point now{seconds(100)};
    directory.apply(recordOf("i-1"), now);
    for (int i = 0; i < 2; ++i)
        watch.applyNotice(directory, {{{"i-1", 300, 400, 5}}}, now);
    CHECK(directory.all().at("i-1")->pace().usual(now) > 3);
    directory.apply(recordOf("i-1", 2), now);
    CHECK(directory.all().at("i-1")->pace().usual(now) == 1);
}

TEST_CASE("an endpoint that takes longer than the others for the same work is found slow")
{
    pace_watch watch;
    service_directory directory;
    time_point now{seconds(100)};
    for (const char *id : {"i-1", "i-2", "i-3"})
        directory.apply(recordOf(id), now);
    for (int i = 0; i < 12; ++i) {
        now += milliseconds(500);
        for (const char *id : {"i-1", "i-2"})
            watch.observe(*directory.all().at(id), "model", milliseconds(30), now);
        watch.observe(*directory.all().at("i-3"), "model", milliseconds(90), now);
    }
    const double fast = directory.all().at("i-1")->pace().usual(now);
    const double slow = directory.all().at("i-3")->pace().usual(now);
    CHECK(slow / fast > 2.3);
    CHECK(pace_watch::slowEndpoints(directory, now) == 1);
    const auto notice = watch.takeNotice();
    REQUIRE(notice);
    CHECK(notice->reports.size() == 3);
}
