//===-- UsagePartsTests.cpp - counts, leases and messages -----------------===//
//
// Tests for the parts of the usage duty that need no environment: usage_meter, usage_ledger, the
// lease rules, and the encoding of the row and the datagrams.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Platform/StoreTimeBounds.h"
#include "laurelcroft/Usage/UsageLedger.h"
#include "laurelcroft/Usage/UsageMeter.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr milliseconds leaseLength{3000};

} // namespace

TEST_CASE("a batch is kept unchanged until it is acknowledged")
{
    usage_meter meter;
    CHECK_FALSE(meter.sealBatch(0));
    meter.count("a", 7, 1);
    meter.count("a", 7, 1);
    REQUIRE(meter.sealBatch(7));
    meter.count("a", 7, 1);
    REQUIRE(meter.sealBatch(8));
    REQUIRE(meter.unacknowledged().size() == 2);
    CHECK(meter.unacknowledged()[0] == usage_batch{1, 7, {{7, {{"a", 2}}}}});
    CHECK(meter.unacknowledged()[1] == usage_batch{2, 8, {{7, {{"a", 1}}}}});
    meter.acknowledge(1);
    CHECK(meter.lastAcknowledged() == 1);
    CHECK_FALSE(meter.isFullyAcknowledged());
    meter.acknowledge(2);
    CHECK(meter.isFullyAcknowledged());
}

TEST_CASE("a window is closed by the batch that contains the last of its counts")
{
    usage_meter meter;
    for (std::size_t i = 0; i < usage_meter::maxCountsPerBatch + 1; ++i)
        meter.count("customer-" + std::to_string(i), 7, 1);
    REQUIRE(meter.sealBatch(8));
    REQUIRE(meter.sealBatch(8));
    CHECK(meter.unacknowledged()[0].closedBefore < 8);
    CHECK(meter.unacknowledged()[1].closedBefore == 8);
}

TEST_CASE("unacknowledged counts are bounded, and dropped counts are added up")
{
    usage_meter meter;
    for (window_number window = 100; window < 200; ++window) {
        meter.count("a", window, 1);
        meter.sealBatch(window);
    }
    CHECK(meter.unacknowledged().size() == usage_meter::maxUnacknowledged);
    CHECK(meter.takeDroppedCount() > 50);
    CHECK(meter.takeDroppedCount() == 0);
}

TEST_CASE("a batch is counted once and in order, even if it arrives twice")
{
    usage_ledger ledger(7);
    const usage_batch first{1, 7, {{7, {{"a", 2}}}}};
    const usage_batch second{2, 8, {{7, {{"a", 1}, {"b", 5}}}}};
    ledger.applyNotice({"e", 1, 0, {second}});
    CHECK(ledger.openCounts(7).empty());
    ledger.applyNotice({"e", 1, 0, {first, second}});
    ledger.applyNotice({"e", 1, 0, {first, second}});
    CHECK(ledger.openCounts(7) == customer_counts{{"a", 3}, {"b", 5}});
    CHECK(ledger.incompleteEntries(7, std::vector<std::string>{"e"}).empty());
    CHECK(ledger.incompleteEntries(7, std::vector<std::string>{"e", "f"}).size() == 1);
    ledger.decideNext();
    CHECK(ledger.applyNotice({"f", 1, 0, {first}}) == 2);
    REQUIRE(ledger.oldestUnreported());
    CHECK(ledger.oldestUnreported()->counts == customer_counts{{"a", 3}, {"b", 5}});
}

TEST_CASE("a restarted process closes the windows that its previous process left open")
{
    usage_ledger ledger(7);
    ledger.applyNotice({"e", 1, 0, {{1, 7, {}}}});
    CHECK(ledger.incompleteEntries(7, {}).size() == 1);
    ledger.applyNotice({"e", 2, 0, {{1, 8, {}}}});
    CHECK(ledger.incompleteEntries(7, {}).empty());
}

TEST_CASE("windows that were not decided in time are dropped")
{
    usage_ledger ledger(7);
    CHECK(ledger.dropBefore(20) == 13);
    CHECK(ledger.decidedBefore() == 20);
    CHECK(ledger.dropBefore(20) == 0);
}

TEST_CASE("the duty's row is decoded as it was encoded, and malformed rows are refused")
{
    usage_row row;
    row.lease = {"e", 3, 9, milliseconds(5), {{"f", milliseconds(4)}}};
    row.save = 12;
    row.ledger = usage_ledger(7);
    row.ledger.applyNotice({"e", 3, 0, {{1, 8, {{7, {{"a", 2}}}, {8, {{"b", 1}}}}}}});
    row.ledger.decideNext();
    const outcome<usage_row, std::string> decoded = decodeUsageRow(encodeUsageRow(row));
    REQUIRE(decoded);
    CHECK(decoded.value().lease == row.lease);
    CHECK(decoded.value().save == row.save);
    CHECK(decoded.value().ledger == row.ledger);
    for (const char *text : {"", "{}", "[1]", R"({"lease":{"holder":7}})"})
        CHECK_FALSE(decodeUsageRow(text));
}

TEST_CASE("datagrams are decoded as they were encoded, and truncated ones are refused")
{
    const std::vector<usage_message> messages{
            usage_notice{"e", 3, 4, {{5, 8, {{7, {{"a", 2}}}}}, {6, 9, {}}}},
            usage_ack{"e", 9, 3, 6}, usage_handover{"e", 9}};
    for (const usage_message &message : messages) {
        const std::string bytes = encodeUsageMessage(message);
        CHECK(decodeUsageMessage(bytes) == message);
        for (std::size_t i = 0; i < bytes.size(); ++i)
            CHECK_FALSE(decodeUsageMessage(std::string_view(bytes).substr(0, i)));
    }
}

TEST_CASE("an ended lease is free, but not for a recent holder that another one has replaced")
{
    const duty_lease first = nextLease({}, "a", 1, milliseconds(1000), leaseLength);
    CHECK(first.token == 1);
    CHECK_FALSE(mayAcquire(first, "b", milliseconds(3999), leaseLength));
    CHECK(mayAcquire(first, "b", milliseconds(4000), leaseLength));
    duty_lease second = nextLease(first, "b", 1, milliseconds(4000), leaseLength);
    CHECK(second.token == 2);
    second.until = milliseconds(4500); // released early
    CHECK_FALSE(mayAcquire(second, "a", milliseconds(6999), leaseLength));
    CHECK(mayAcquire(second, "a", milliseconds(7000), leaseLength));
    CHECK(mayAcquire(second, "b", milliseconds(4500), leaseLength));
    const duty_lease again = nextLease(second, "b", 2, milliseconds(4500), leaseLength);
    CHECK_FALSE(mayAcquire(again, "a", milliseconds(6999), leaseLength));
}

TEST_CASE("the store's clock is between its lower and its upper bound")
{
    const time_point asked{seconds(100)};
    const time_point answered = asked + milliseconds(40);
    store_time_bounds bounds;
    bounds.note(milliseconds(5000), asked, answered);
    CHECK(bounds.earliest(answered) == milliseconds(5000));
    CHECK(bounds.latest(answered) == milliseconds(5040));
    CHECK(bounds.latest(answered + seconds(1)) == milliseconds(6040));
}
