//===-- ServiceDirectoryTests.cpp - endpoints without an agent --------------===//
//
// Adding, updating and removing records, store outages, and the decay of inferred state.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/ServiceDirectory.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

const time_point start{seconds(1000)};

endpoint_record recordOf(const std::string &id, bool leaving = false)
{
    endpoint_record record;
    record.id = id;
    record.service = "pool";
    record.leaving = leaving;
    return record;
}

} // namespace

TEST_CASE("a leaving endpoint is not usable, even if a later record says otherwise")
{
    service_directory directory;
    directory.apply(recordOf("a"), start);
    directory.apply(recordOf("a", true), start);
    CHECK(directory.usable("pool").empty());
    directory.apply(recordOf("a"), start);
    CHECK(directory.usable("pool").empty());
    CHECK(directory.usable("other").empty());
}

TEST_CASE("of two ids at one address the one with the newer row is used, in either order")
{
    const auto at = [](const std::string &id, store_version rowVersion, std::uint16_t port) {
        endpoint_record record = recordOf(id);
        record.host = "10.0.0.1";
        record.port = port;
        record.rowVersion = rowVersion;
        return record;
    };
    for (const bool inOrder : {true, false}) {
        service_directory directory;
        directory.apply(at("other", 3, 81), start);
        directory.apply(inOrder ? at("before", 5, 80) : at("after", 9, 80), start);
        const endpoint_ptr before = directory.usable("pool")[0];
        directory.apply(inOrder ? at("after", 9, 80) : at("before", 5, 80), start);
        CHECK(directory.usable("pool").size() == 2);
        CHECK(directory.all().count("after") == 1);
        CHECK(directory.all().count("other") == 1);
        CHECK(before->isRemoved() == inOrder);
        // A late row of the displaced endpoint doesn't bring it back.
        directory.apply(at("before", 6, 80), start);
        CHECK(directory.all().count("before") == 0);
    }
    CHECK(at("a", 5, 80).isEquivalentTo(at("a", 9, 80)));
    CHECK(!at("a", 5, 80).isEquivalentTo(at("a", 5, 81)));
}

TEST_CASE("a removal takes effect at once when there was no store outage")
{
    service_directory directory;
    directory.apply(recordOf("a"), start);
    const endpoint_ptr endpoint = directory.usable("pool")[0];
    directory.remove("a", start);
    CHECK(directory.usable("pool").empty());
    CHECK(endpoint->isRemoved());
}

TEST_CASE("a removal during a store outage takes effect two seconds after it")
{
    service_directory directory;
    directory.apply(recordOf("a"), start);
    directory.apply(recordOf("b", true), start);
    directory.storeLost(start);
    directory.storeRegained(start + seconds(9));
    directory.replaceAll({}, start + seconds(9));
    CHECK(directory.usable("pool").size() == 1);
    // A leaving endpoint is dropped at once.
    CHECK(directory.all().count("b") == 0);
    directory.expire(start + seconds(11));
    CHECK(directory.usable("pool").size() == 1);
    directory.expire(start + milliseconds(11300));
    CHECK(directory.usable("pool").empty());
}

TEST_CASE("a record that comes back within the grace period keeps its endpoint")
{
    service_directory directory;
    directory.apply(recordOf("a"), start);
    directory.storeLost(start);
    directory.storeRegained(start);
    directory.remove("a", start);
    directory.apply(recordOf("a"), start + seconds(1));
    directory.expire(start + seconds(10));
    CHECK(directory.usable("pool").size() == 1);
}

TEST_CASE("a load report is corrected by own requests and decays")
{
    service_endpoint endpoint(recordOf("a"));
    endpoint.requestStarted();
    endpoint.recordLoadReport({5, 2, 8}, start);
    CHECK(endpoint.expectedLoad(start) == doctest::Approx(7));
    endpoint.requestStarted();
    CHECK(endpoint.expectedLoad(start) == doctest::Approx(8));
    CHECK(endpoint.expectedLoad(start + seconds(10)) == doctest::Approx(2).epsilon(0.01));
}

TEST_CASE("failures raise the failure rate, which decays without further answers")
{
    service_endpoint endpoint(recordOf("a"));
    endpoint.recordFailure(start);
    const double once = endpoint.failureRate(start);
    CHECK(once < 0.3);
    for (int i = 0; i < 5; ++i)
        endpoint.recordFailure(start);
    CHECK(endpoint.failureRate(start) > once);
    CHECK(endpoint.failureRate(start + seconds(30)) < 0.05);
}

TEST_CASE("an unreachable endpoint is avoided for longer each time, up to a bound")
{
    service_endpoint endpoint(recordOf("a"));
    endpoint.recordUnreachable(start);
    CHECK(endpoint.isAvoided(start + milliseconds(499)));
    CHECK(!endpoint.isAvoided(start + milliseconds(500)));
    for (int i = 0; i < 10; ++i)
        endpoint.recordUnreachable(start);
    CHECK(endpoint.isAvoided(start + milliseconds(3999)));
    CHECK(!endpoint.isAvoided(start + milliseconds(4000)));
}

TEST_CASE("a late heartbeat doesn't bring back an endpoint that has left")
{
    service_directory directory;
    directory.apply(recordOf("a", true), start);
    directory.remove("a", start);
    directory.apply(recordOf("a"), start + seconds(1));
    CHECK(directory.usable("pool").empty());
    // An endpoint that was not leaving when it was removed may come back.
    directory.apply(recordOf("b"), start);
    directory.remove("b", start);
    directory.apply(recordOf("b"), start + seconds(1));
    CHECK(directory.usable("pool").size() == 1);
}

TEST_CASE("prefill times of other entries' prompts add up and run down")
{
    service_endpoint endpoint(recordOf("a"));
    CHECK(endpoint.remotePrefillMs(start) == 0);
    endpoint.addRemotePrefill(milliseconds(400), start);
    endpoint.addRemotePrefill(milliseconds(200), start + milliseconds(100));
    CHECK(endpoint.remotePrefillMs(start + milliseconds(100)) == doctest::Approx(500));
    CHECK(endpoint.remotePrefillMs(start + milliseconds(600)) == 0);
    endpoint.addRemotePrefill(milliseconds(200), start + seconds(5));
    CHECK(endpoint.remotePrefillMs(start + seconds(5)) == doctest::Approx(200));
}
