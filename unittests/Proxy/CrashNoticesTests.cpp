//===-- CrashNoticesTests.cpp - crash notices between entries ---------------===//
//
// Encoding of datagrams and rows, and how entries write, read and remove the rows.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/CrashNotices.h"
#include "laurelcroft/Proxy/NoticeChannel.h"
#include "laurelcroft/Support/MessagePack.h"

#include "EntryFleet.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr request_key known = 0xABCDEF0123456789;

/// A fleet whose first entry can detect a request that crashes endpoints.
struct finding_fleet
{
    explicit finding_fleet(std::size_t entryCount)
    {
        entries.store.put("orders", "contract", "7");
        entries.store.put("endpoints", "p1", "v1");
        entries.start(0, entryCount);
        entries.runtime.advance(seconds(5));
    }

    /// Makes the first entry see three endpoints crash under the same request.
    void detect()
    {
        crash_watch &crashes = entries.entries.front().routing.crashes();
        endpoint_record record;
        record.service = "pool";
        record.softwareVersion = "v1";
        for (int i = 0; i < 3; ++i) {
            auto request = std::make_shared<proxy_request>();
            request->body = "ends whoever runs it";
            record.id = "gone" + std::to_string(i);
            const auto run = crashes.runs().add(record.id, request, entries.runtime.now());
            run->route = "route";
            run->customer = "daan";
            key = keyOf(*request);
            entries.runtime.advance(milliseconds(100));
            crashes.endpointEnded(service_endpoint(record), entries.runtime.now());
        }
    }

    /// \returns the number of entries that withhold the request.
    std::size_t countWithholding()
    {
        return std::size_t(std::count_if(
                entries.entries.begin(), entries.entries.end(), [this](fleet_entry &entry) {
                    return entry.routing.suspects().isWithheld(key, "v1", entries.runtime.now());
                }));
    }

    fleet entries;
    request_key key = 0;
};

} // namespace

TEST_CASE("findings are unchanged by encoding and decoding; other bytes are rejected")
{
    const crash_notice end{
            ~0ULL,
            "pool",
            "v1",
            {{known, milliseconds(120), milliseconds(60), 2, {5}}, {7, {}, {}, 1, {}}}};
    const withheld_notice withheld{known, "pool", {"v1", "v2"}, {1, ~0ULL}, seconds(3600)};
    const std::string endBytes = encodeCrashNotice(end);
    const std::string withheldBytes = encodeWithheldNotice(withheld);
    CHECK(endBytes.size() < 60);
    CHECK(withheldBytes.size() < 60);
    CHECK(decodeCrashNotice(endBytes) == end);
    CHECK(decodeWithheldNotice(withheldBytes) == withheld);
    const cleared_notice cleared{known, "v1"};
    const std::string clearedBytes = encodeClearedNotice(cleared);
    CHECK(decodeClearedNotice(clearedBytes) == cleared);
    CHECK(!decodeWithheldNotice(endBytes));
    CHECK(!decodeCrashNotice(withheldBytes));
    for (const std::string &bytes : {endBytes, withheldBytes, clearedBytes}) {
        CHECK(!decodeSendNotice(bytes));
        CHECK(!decodeEvidenceNotice(bytes));
        for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
            CHECK(!decodeCrashNotice(std::string_view(bytes).substr(0, cut)));
            CHECK(!decodeWithheldNotice(std::string_view(bytes).substr(0, cut)));
            CHECK(!decodeClearedNotice(std::string_view(bytes).substr(0, cut)));
        }
    }
    CHECK(!decodeCrashNotice(encodeCrashNotice({1, std::string(300, 's'), "v1", {}})));
}

TEST_CASE("a crash notice keeps the requests with the most crashes and fits into one packet")
{
    crash_notice notice{1, "pool", "v1", {}};
    for (request_key key = 0; key < 200; ++key)
        notice.requests.push_back(
                {~key, milliseconds(1000), milliseconds(1000), key == 150 ? 3U : 1U, {}});
    const std::string bytes = encodeCrashNotice(notice);
    CHECK(bytes.size() < 1400);
    const auto heard = decodeCrashNotice(bytes);
    REQUIRE(heard);
    CHECK(heard->requests.size() == crash_notice::maxRequests);
    CHECK(heard->requests.front().key == ~request_key(150));
}

TEST_CASE("findings reach all entries of a small site and stay within their byte rate")
{
    asio::io_context context;
    metric_registry metrics;
    unsigned heard = 0;
    std::vector<std::unique_ptr<notice_channel>> entries;
    entry_map places;
    for (int i = 0; i < 4; ++i) {
        notice_handlers handlers;
        handlers.onWithheld = [&](const withheld_notice &) { ++heard; };
        entries.push_back(std::make_unique<notice_channel>(context, metrics, "127.0.0.1:0",
                                                           std::move(handlers)));
        REQUIRE(entries.back()->open().empty());
        places["e" + std::to_string(i)]
                = {"127.0.0.1:" + std::to_string(entries.back()->port()), "hall"};
    }
    entries[0]->setEntries(places, "e0");
    const withheld_notice notice{known, "pool", {"v1"}, {1, 2, 3}, seconds(3600)};
    entries[0]->sendWithheldNotice(notice);
    context.run_for(milliseconds(20));
    CHECK(heard == 3);
    for (int i = 0; i < 2000; ++i)
        entries[0]->sendWithheldNotice(notice);
    context.restart();
    context.run_for(milliseconds(50));
    const double bytes = heard * double(encodeWithheldNotice(notice).size() + 28);
    CHECK(bytes <= notice_channel::findingBurstBytes + notice_channel::findingBytesPerSecond);
}

TEST_CASE("a withheld row is unchanged by encoding and decoding; other rows are rejected")
{
    const withheld_row row{"pool", {"v1"}, {1, ~0ULL}, milliseconds(99), "route", "daan"};
    const auto again = decodeWithheldRow(encodeWithheldRow(row));
    REQUIRE(again);
    CHECK(again.value() == row);
    for (const char *text : {"", "{}", "[]", "{\"service\":1}"})
        CHECK(!decodeWithheldRow(text));
    CHECK(requestOfRowKey(withheldRowKey(known)) == known);
    for (const char *key : {"withheld/", "withheld/12", "entry/0000000000000001"})
        CHECK(!requestOfRowKey(key));
}

TEST_CASE("a finding reaches all entries by its row alone, including entries that start later")
{
    finding_fleet fixture(20);
    fixture.detect();
    fixture.entries.runtime.advance(seconds(2));
    CHECK(fixture.countWithholding() == 20);
    fixture.entries.start(20, 25);
    fixture.entries.runtime.advance(seconds(2));
    CHECK(fixture.countWithholding() == 25);
}

TEST_CASE("a request is released at all entries when an operator removes its row")
{
    finding_fleet fixture(12);
    fixture.detect();
    fixture.entries.runtime.advance(seconds(2));
    fixture.entries.store.remove("laurelcroft", withheldRowKey(fixture.key));
    fixture.entries.runtime.advance(seconds(2));
    CHECK(fixture.countWithholding() == 0);
    CHECK(fixture.entries.entries.front().routing.suspects().isEmpty());
}

TEST_CASE("a finding is written once the store is available again")
{
    finding_fleet fixture(3);
    for (fleet_entry &entry : fixture.entries.entries)
        entry.store.rejectsCalls = true;
    fixture.detect();
    fixture.entries.runtime.advance(seconds(5));
    CHECK(fixture.countWithholding() == 1);
    for (fleet_entry &entry : fixture.entries.entries)
        entry.store.rejectsCalls = false;
    fixture.entries.runtime.advance(seconds(5));
    CHECK(fixture.countWithholding() == 3);
}

TEST_CASE("an expired row is removed and no longer withholds its request")
{
    finding_fleet fixture(3);
    fixture.detect();
    fixture.entries.runtime.advance(seconds(2));
    CHECK(!fixture.entries.store.valueOf("laurelcroft", withheldRowKey(fixture.key)).empty());
    fixture.entries.runtime.advance(crash_suspects::withheldFor + seconds(60));
    CHECK(fixture.countWithholding() == 0);
    CHECK(fixture.entries.store.valueOf("laurelcroft", withheldRowKey(fixture.key)).empty());
}

TEST_CASE("a request that an endpoint answers is released at all entries, and its row is removed")
{
    finding_fleet fixture(3);
    fixture.detect();
    fixture.entries.runtime.advance(seconds(3));
    CHECK(fixture.countWithholding() == 3);
    // Simulates the datagrams to the other entries.
    for (fleet_entry &entry : fixture.entries.entries)
        entry.routing.crashes().applyNotice(cleared_notice{fixture.key, "v1"},
                                            fixture.entries.runtime.now());
    CHECK(fixture.countWithholding() == 0);
    fixture.entries.runtime.advance(seconds(10));
    CHECK(fixture.countWithholding() == 0);
    CHECK(fixture.entries.store.valueOf("laurelcroft", withheldRowKey(fixture.key)).empty());
}

TEST_CASE("a finding that is cleared before it is firm is never written")
{
    finding_fleet fixture(3);
    fixture.detect();
    const time_point now = fixture.entries.runtime.now();
    fleet_entry &first = fixture.entries.entries.front();
    CHECK(first.routing.suspects().isUnconfirmed(fixture.key, now));
    first.routing.crashes().clear(fixture.key, "v1", now);
    fixture.entries.runtime.advance(seconds(3));
    CHECK(fixture.countWithholding() == 0);
    CHECK(fixture.entries.store.valueOf("laurelcroft", withheldRowKey(fixture.key)).empty());
}

TEST_CASE("notices of prompt parts keep their keys, and those of requests their format")
{
    const withheld_notice part{partKeyFrom(1),     "pool", {"v1"}, {7, 8, 9}, milliseconds(500),
                               {partKeyFrom(2), 3}};
    CHECK(decodeWithheldNotice(encodeWithheldNotice(part)) == part);
    const cleared_notice cleared{partKeyFrom(1), "v1", {partKeyFrom(2)}};
    CHECK(decodeClearedNotice(encodeClearedNotice(cleared)) == cleared);
    // Without further keys, entries of earlier program versions read them as well.
    const withheld_notice request{4, "pool", {"v1"}, {7}, milliseconds(500), {}};
    CHECK(decodeMessagePack(encodeWithheldNotice(request)).size() == 6);
    CHECK(decodeMessagePack(encodeClearedNotice({4, "v1", {}})).size() == 3);
    withheld_row row;
    row.with = {partKeyFrom(2)};
    CHECK(decodeWithheldRow(encodeWithheldRow(row)).value() == row);
}
