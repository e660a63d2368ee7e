//===-- RowWireTests.cpp - encoding of rows -------------------------------===//
//
// Rows round-trip through the encoding, and malformed bytes are refused.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RowWire.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

static packed_update updateOf(const std::string &table, const std::vector<store_row> &rows)
{
    packed_update update{table, {{{{}, 8, milliseconds(50)}, false}, milliseconds(30)}, {}};
    update.rows = packRows(rows);
    return update;
}

TEST_CASE("changes of several tables round-trip, including removals")
{
    const std::vector<packed_update> tables{
            updateOf("orders", {{"c", std::string("3\0x", 3), 8, false}, {"a", "", 7, true}}),
            updateOf("endpoints", {})};
    const outcome<table_updates, std::string> back = decodeUpdates(encodeUpdates(tables));
    REQUIRE(back);
    REQUIRE(back.value().size() == 2);
    const aged_update &orders = back.value().at("orders");
    CHECK(!orders.update.whole);
    CHECK(orders.age == milliseconds(30));
    CHECK(orders.update.batch.version.number == 8);
    CHECK(orders.update.batch.storeTime == milliseconds(50));
    REQUIRE(orders.update.batch.rows.size() == 2);
    CHECK(orders.update.batch.rows[0].value == std::string("3\0x", 3));
    CHECK(!orders.update.batch.rows[0].removed);
    CHECK(orders.update.batch.rows[1].key == "a");
    CHECK(orders.update.batch.rows[1].version.number == 7);
    CHECK(orders.update.batch.rows[1].removed);
    CHECK(back.value().at("endpoints").update.batch.rows.empty());
}

TEST_CASE("a table of 160 endpoints is encoded in less than a tenth of its size")
{
    std::vector<store_row> rows;
    std::size_t plain = 0;
    for (unsigned i = 0; i < 160; ++i) {
        const std::string number = std::to_string(i);
        rows.push_back({"endpoint-" + number,
                        R"({"service":"pool","address":"10.0.0.)" + number
                                + R"(:8000","zone":"east","version":"v1","slots":16,)"
                                + R"("state":"ready","models":["small","middle","large"]})",
                        {0, i + 1},
                        false});
        plain += rows.back().key.size() + rows.back().value.size();
    }
    const std::string bytes
            = encodeUpdates(std::vector<packed_update>{updateOf("endpoints", rows)});
    CHECK(bytes.size() < plain / 10);
    const outcome<table_updates, std::string> back = decodeUpdates(bytes);
    REQUIRE(back);
    CHECK(back.value().at("endpoints").update.batch.rows.size() == rows.size());
    CHECK(back.value().at("endpoints").update.batch.rows[159].value == rows[159].value);
}

TEST_CASE("truncated and corrupted bytes are refused or decoded safely")
{
    std::vector<store_row> rows;
    for (unsigned i = 0; i < 100; ++i)
        rows.push_back({"key-" + std::to_string(i), std::string(40, 'v'), {0, i + 1}, false});
    const std::string whole = encodeUpdates(std::vector<packed_update>{updateOf("orders", rows)});
    REQUIRE(decodeUpdates(whole));
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK(!decodeUpdates(std::string_view(whole).substr(0, size)));
    CHECK(!decodeUpdates("{}"));
    for (std::size_t i = 0; i < whole.size(); ++i) {
        std::string changed = whole;
        changed[i] = static_cast<char>(changed[i] ^ 0x5a);
        // Either refused or decoded as other rows; never more rows than were encoded.
        const outcome<table_updates, std::string> back = decodeUpdates(changed);
        if (!back)
            continue;
        for (const auto &[table, update] : back.value())
            CHECK(update.update.batch.rows.size() <= rows.size());
    }
}

TEST_CASE("rows between entries keep their era, and an earlier release sends and gets none")
{
    packed_update sent;
    sent.table = "t";
    sent.about.update.batch.version = {3, 40};
    sent.rows = packRows(std::vector<store_row>{{"a", "1", {3, 39}, false}});
    const auto received = decodeUpdates(encodeUpdates(std::span(&sent, 1)));
    REQUIRE(received);
    const aged_update &found = received.value().at("t");
    CHECK(found.statesEra);
    CHECK(found.update.batch.version == store_version(3, 40));
    CHECK(found.update.batch.rows.at(0).version == store_version(3, 39));
    sent.about.statesEra = false;
    const auto earlier = decodeUpdates(encodeUpdates(std::span(&sent, 1)));
    REQUIRE(earlier);
    CHECK(!earlier.value().at("t").statesEra);
    CHECK(earlier.value().at("t").update.batch.version == store_version(0, 40));
}
