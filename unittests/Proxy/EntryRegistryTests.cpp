//===-- EntryRegistryTests.cpp - rows of the running entries ----------------===//
//
// When rows have to be renewed, when they expire, and how they are encoded.
//
//===----------------------------------------------------------------------===//
#include "FakeStore.h"

#include "laurelcroft/Proxy/EntryRegistry.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("an entry's own row is due if it is missing or has to be renewed")
{
    entry_registry roster("e1");
    CHECK(roster.isOwnRowDue(milliseconds(0)));
    roster.update("e1", {"10.0.0.1:5", "hall", milliseconds(1000)}, 3);
    CHECK(!roster.isOwnRowDue(milliseconds(1000)));
    CHECK(!roster.isOwnRowDue(milliseconds(999) + entry_registry::renewInterval));
    CHECK(roster.isOwnRowDue(milliseconds(1000) + entry_registry::renewInterval));
    roster.remove("e1");
    CHECK(roster.isOwnRowDue(milliseconds(1000)));
}

TEST_CASE("rows expire after three missed renewals, except an entry's own row")
{
    entry_registry roster("e1");
    roster.update("e1", {"10.0.0.1:5", "hall", milliseconds(0)}, 3);
    roster.update("e2", {"10.0.0.2:5", "hall", milliseconds(5000)}, 4);
    const milliseconds end = milliseconds(5000) + entry_registry::rowLifetime;
    CHECK(!roster.findExpired(end - milliseconds(1)));
    const auto gone = roster.findExpired(end);
    REQUIRE(gone);
    CHECK(gone->name == "e2");
    CHECK(gone->version.number == 4);
    roster.remove("e2");
    CHECK(!roster.findExpired(end));
    CHECK(roster.entries().size() == 1);
    roster.update("e3", {"10.0.0.3:5", "hall", {}}, 5);
    CHECK(!roster.findExpired(end));
}

TEST_CASE("an entry's place is unchanged by encoding and decoding; other rows have no address")
{
    const entry_info back = decodeEntry(encodeEntry({"10.0.0.1:5", "hall", milliseconds(7)}));
    CHECK(back.address == "10.0.0.1:5");
    CHECK(back.dataCentre == "hall");
    CHECK(back.writtenAt == milliseconds(7));
    for (const char *text : {"", "nonsense", "[]", R"({"address": 5})", R"({"written_ms": "x"})"})
        CHECK(decodeEntry(text).address.empty());
}
