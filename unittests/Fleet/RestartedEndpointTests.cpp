//===-- RestartedEndpointTests.cpp - endpoints back under their ids ---------===//
//
// The moment of its start tells an endpoint's incarnations apart.
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

TEST_CASE("nothing that was believed of an endpoint holds after its next start")
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

TEST_CASE("an endpoint that has left is used again once it has started anew, not before")
{
    service_directory directory;
    directory.apply(recordOf("a", 10), start);
    directory.apply(recordOf("a", 10, true), start);
    directory.apply(recordOf("a", 10), start);
    CHECK(directory.usable("pool").empty());
    directory.apply(recordOf("a", 20), start);
    CHECK(directory.usable("pool").size() == 1);

    // The same when its record has gone meanwhile.
    directory.apply(recordOf("a", 20, true), start);
    directory.remove("a", start);
    directory.apply(recordOf("a", 20), start);
    directory.apply(recordOf("a", 10), start);
    CHECK(directory.all().empty());
    directory.apply(recordOf("a", 30), start);
    CHECK(directory.usable("pool").size() == 1);
    // One that left the last time is no more remembered as gone.
    directory.remove("a", start);
    directory.apply(recordOf("a", 30), start);
    CHECK(directory.usable("pool").size() == 1);
}

TEST_CASE("what an earlier start still says counts no more")
{
    service_directory directory;
    directory.apply(recordOf("a", 20), start);
    const endpoint_ptr endpoint = directory.usable("pool")[0];
    directory.apply(recordOf("a", 10, true), start);
    REQUIRE(directory.usable("pool").size() == 1);
    CHECK(directory.usable("pool")[0] == endpoint);
    CHECK(endpoint->record().startedAt == 20);
}

TEST_CASE("a removal that is told late doesn't end an endpoint that has come back since")
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

TEST_CASE("where most endpoints tell their start, a record without it names none")
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

TEST_CASE("a record of a service that nobody asks for ends no endpoint at its address")
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
