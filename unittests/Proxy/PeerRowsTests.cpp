//===-- PeerRowsTests.cpp - rows from and for other entries -----------------===//
//
// Who reads the store, and two entries on loopback sockets.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PeerRows.h"

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

#include <set>

using namespace laurelcroft;

TEST_CASE("two entries of a data centre read the store; all agree which")
{
    entry_map entries;
    for (int i = 0; i < 8; ++i)
        entries["a" + std::to_string(i)] = {"10.0.0." + std::to_string(i) + ":1", "a"};
    for (int i = 0; i < 2; ++i)
        entries["b" + std::to_string(i)] = {"10.0.1." + std::to_string(i) + ":1", "b"};
    std::set<std::vector<std::string>> answers;
    unsigned readers = 0;
    for (int i = 0; i < 8; ++i) {
        const auto found = readersFor(entries, "a" + std::to_string(i));
        readers += found.empty() ? 1 : 0;
        if (!found.empty())
            answers.insert(found);
    }
    CHECK(readers == readersOfDataCentre);
    CHECK(answers.size() == 1);
    CHECK(readersFor(entries, "b0").empty());
    CHECK(readersFor(entries, "b1").empty());
    CHECK(readersFor(entries, "unknown").empty());
}

namespace {

struct one_entry
{
    one_entry(asio::io_context &context, std::string address)
        : http(context)
        , rows(context, http, mirror, metrics, std::move(address))
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
