//===-- PeerRowsTests.cpp - rows from and for other entries -----------------===//
//
// Who reads the store, and two entries on loopback sockets.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PeerRows.h"

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace laurelcroft;

/// \returns entries e0, e1, ... by turns in the data centres a, b and c.
static entry_map entriesOf(std::size_t count)
{
    entry_map entries;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string number = std::to_string(i);
        entries["e" + number] = {"10.0.0." + number + ":1", std::string(1, char('a' + i % 3))};
    }
    return entries;
}

TEST_CASE("two entries read the store for a site, one for each 48 on a large one")
{
    for (const std::size_t count : {1, 2, 3, 4, 9, 32, 33, 97, 380}) {
        const entry_map entries = entriesOf(count);
        std::map<std::string, unsigned> asked;
        std::size_t readers = 0;
        for (const auto &[name, place] : entries) {
            const std::vector<std::string> found = readersFor(entries, name);
            readers += found.empty() ? 1 : 0;
            if (found.empty())
                continue;
            REQUIRE(found.size() == fewestReaders);
            CHECK(found[0] != found[1]);
            for (const std::string &address : found)
                ++asked[address];
        }
        CHECK(readers == std::min(count, std::max<std::size_t>(2, (count + 47) / 48)));
        for (const auto &[address, askers] : asked)
            CHECK(askers <= 4 * entriesOfReader); // each asks two by turns; data centres differ
    }
    CHECK(readersFor(entriesOf(8), "unknown").empty());
}

TEST_CASE(
        "a reader of the own data centre is asked before others, and an entry without address none")
{
    entry_map entries = entriesOf(144);
    for (const auto &[name, place] : entries) {
        const std::vector<std::string> found = readersFor(entries, name);
        if (found.empty())
            continue;
        const auto isNear = [&](const std::string &address) {
            return std::any_of(entries.begin(), entries.end(), [&](const auto &item) {
                return item.second.address == address && item.second.dataCentre == place.dataCentre;
            });
        };
        CHECK((isNear(found[0]) || !isNear(found[1])));
    }
    for (auto &[name, place] : entries)
        place.address.clear();
    CHECK(readersFor(entries, "e0").empty());
}

namespace {

struct one_entry
{
    one_entry(asio::io_context &context, std::string address)
        : http(context)
        , rows(context, http, mirror, metrics, std::move(address), milliseconds(100))
    {
    }
    http_client http;
    row_mirror mirror;
    metric_registry metrics;
    peer_rows rows;
};

} // namespace

TEST_CASE("rows go from one entry to another, and a silent one is left out for a while")
{
    asio::io_context context;
    one_entry teller(context, "127.0.0.1:0");
    REQUIRE(teller.rows.open().empty());
    one_entry asker(context, "127.0.0.1:1");
    asker.rows.setPeers({"127.0.0.1:" + std::to_string(teller.rows.port()), "127.0.0.1:1"});
    teller.mirror.take("t", {{{"k", "v", 3, false}}, 3, {}}, true, bootNow());

    std::optional<outcome<row_news, row_failure>> result;
    asker.rows.read("t", 0, [&](outcome<row_news, row_failure> news) { result = std::move(news); });
    while (!result)
        context.run_one();
    REQUIRE(*result);
    CHECK(result->value().batch.rows.at(0).value == "v");
    CHECK(asker.mirror.read("t", 0, bootNow()));

    for (int i = 0; i < 2; ++i) {
        result.reset();
        asker.rows.read("unknown", 0,
                        [&](outcome<row_news, row_failure> news) { result = std::move(news); });
        while (!result)
            context.run_one();
        CHECK(!*result);
    }
}
