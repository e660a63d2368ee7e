//===-- RestartedEndpointTests.cpp - restarts under the same id -------------===//
//
// The start time distinguishes the incarnations of an endpoint.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/ServiceDirectory.h"

#include <doctest/doctest.h>

#include <array>

using namespace laurelcroft;

namespace {

const time_point start{seconds(1000)};

endpoint_record recordOf(const std::string &id, std::uint64_t startedAt, bool leaving = false)
{
    endpoint_record record;
    record.id = id;
    record.service = "pool";
    record.startedAt = startedAt;
    record.leaving = leaving;
    return record;
}

} // namespace

TEST_CASE("a restart resets the state inferred for an endpoint")
{
    service_directory directory;
    directory.apply(recordOf("a", 10), start);
    const endpoint_ptr before = directory.usable("pool")[0];
    const std::array<prompt_prefix, 1> prefixes{{{7, 500}}};
    before->prefixCache().insert(prefixes);
    before->recordUnreachable(start);
    before->recordFailure(start);
    before->setColdFor(seconds(60), start);
    before->addRemotePrefill(seconds(5), start);

    directory.apply(recordOf("a", 20), start);
    REQUIRE(directory.usable("pool").size() == 1);
    const endpoint_ptr after = directory.usable("pool")[0];
    CHECK(after != before);
    CHECK(before->isRemoved());
    CHECK(after->prefixCache().cachedTokens(prefixes) == 0);
    CHECK(!after->isAvoided(start));
    CHECK(!after->isCold(start));
    CHECK(after->failureRate(start) == 0);
    CHECK(after->remotePrefillMs(start) == 0);
}

TEST_CASE("an endpoint that has left is usable again only after a restart")
{
    service_directory directory;
    directory.apply(recordOf("a", 10), start);
    directory.apply(recordOf("a", 10, true), start);
    directory.apply(recordOf("a", 10), start);
    CHECK(directory.usable("pool").empty());
    directory.apply(recordOf("a", 20), start);
    CHECK(directory.usable("pool").size() == 1);

    // The same when its record was removed in between.
    directory.apply(recordOf("a", 20, true), start);
    directory.remove("a", start);
    directory.apply(recordOf("a", 20), start);
    directory.apply(recordOf("a", 10), start);
    CHECK(directory.all().empty());
    directory.apply(recordOf("a", 30), start);
    CHECK(directory.usable("pool").size() == 1);
    // The restart cleared the earlier departure, so a removed record can be added again.
    directory.remove("a", start);
    directory.apply(recordOf("a", 30), start);
    CHECK(directory.usable("pool").size() == 1);
}

TEST_CASE("records of an earlier incarnation are ignored")
{
    service_directory directory;
    directory.apply(recordOf("a", 20), start);
    const endpoint_ptr endpoint = directory.usable("pool")[0];
    directory.apply(recordOf("a", 10, true), start);
    REQUIRE(directory.usable("pool").size() == 1);
    CHECK(directory.usable("pool")[0] == endpoint);
    CHECK(endpoint->record().startedAt == 20);
}

TEST_CASE("an outdated removal does not drop an endpoint that has come back since")
{
    service_directory directory;
    endpoint_record record = recordOf("a", 20);
    record.rowVersion = 9;
    directory.apply(record, start);
    CHECK(!directory.remove("a", start, 8));
    CHECK(directory.usable("pool").size() == 1);
    CHECK(directory.remove("a", start, 10));
    CHECK(directory.all().empty());
}

TEST_CASE("a record without a start time is not usable when most records state one")
{
    service_directory directory;
    directory.apply(recordOf("a", 0), start);
    CHECK(directory.usable("pool").size() == 1);
    directory.apply(recordOf("b", 10), start);
    CHECK(directory.usable("pool").size() == 2);
    directory.apply(recordOf("c", 10), start);
    CHECK(directory.usable("pool").size() == 2);
    directory.remove("c", start);
    CHECK(directory.usable("pool").size() == 2);
}

TEST_CASE("a record that does not claim its address displaces no endpoint there")
{
    service_directory directory;
    endpoint_record own = recordOf("a", 10);
    own.host = "10.0.0.1";
    own.port = 80;
    own.rowVersion = 5;
    directory.apply(own, start);
    endpoint_record other = own;
    other.id = "b";
    other.service = "unknown";
    other.rowVersion = 6;
    directory.apply(other, start, false);
    REQUIRE(directory.usable("pool").size() == 1);
    CHECK(directory.usable("pool")[0]->record().id == "a");
    service_directory asked;
    asked.apply(own, start);
    asked.apply(other, start);
    CHECK(asked.usable("pool").empty());
}
