//===-- PeerRowsTests.cpp - rows exchanged between entries ----------------===//
//
// Selection of store readers, and row reads between two entries on loopback sockets.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PeerRows.h"
#include "laurelcroft/Proxy/StoreReaders.h"

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace laurelcroft;

/// \returns entries e0, e1, ... distributed over the data centres a, b and c.
static entry_map entriesOf(std::size_t count)
{
    entry_map entries;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string number = std::to_string(i);
        entries["e" + number] = {"10.0.0." + number + ":1", std::string(1, char('a' + i % 3))};
    }
    return entries;
}

TEST_CASE("strong instances read the store, and weak ones only if there are too few strong ones")
{
    entry_map entries = entriesOf(103);
    for (auto &[name, place] : entries)
        place.processorShare = 0.09;
    for (const char *name : {"e7", "e20", "e33", "e41"})
        entries[name].processorShare = 0.5;
    const std::vector<std::string> readers = storeReaders(entries);
    CHECK(readers.size() == storeReaderCount);
    for (const std::string &name : readers)
        CHECK(entries[name].processorShare == 0.5);
    // The other two strong entries are standbys; the relays are weak.
    std::size_t standbys = 0;
    for (const auto &[name, place] : entries) {
        const row_sources sources = sourcesFor(entries, name);
        const bool standsBy = !sources.readers.empty() && sources.standbys.empty();
        standbys += standsBy ? 1 : 0;
        if (standsBy)
            CHECK(place.processorShare == 0.5);
    }
    CHECK(standbys == storeReaderCount);
    // Entries of a release that does not report its share all count as strong.
    CHECK(storeReaders(entriesOf(103)).size() == storeReaderCount);
}

TEST_CASE("there are as many standbys as readers, and all other entries know one")
{
    for (const std::size_t count : {3, 4, 32, 103, 380}) {
        const entry_map entries = entriesOf(count);
        const std::size_t readers = storeReaders(entries).size();
        std::size_t standbys = 0;
        for (const auto &[name, place] : entries) {
            const row_sources sources = sourcesFor(entries, name);
            if (!sources.readers.empty() && sources.standbys.empty())
                ++standbys;
            for (const std::string &address : sources.standbys)
                CHECK(std::count(sources.readers.begin(), sources.readers.end(), address) == 0);
        }
        CHECK(standbys == std::min(readers, count - readers));
    }
}

TEST_CASE("two entries read the store at any site size, and no entry serves too many others")
{
    for (const std::size_t count : {1, 2, 3, 4, 9, 32, 33, 96, 97, 103, 380, 800, 1600}) {
        INFO(count, " entries");
        const entry_map entries = entriesOf(count);
        std::map<std::string, unsigned> asked;
        std::size_t readers = 0;
        for (const auto &[name, place] : entries) {
            const std::vector<std::string> found = sourcesFor(entries, name).readers;
            readers += found.empty() ? 1 : 0;
            if (found.empty())
                continue;
            REQUIRE(found.size() == sourcesPerEntry);
            CHECK(found[0] != found[1]);
            for (const std::string &address : found)
                ++asked[address];
        }
        CHECK(readers == std::min(count, storeReaderCount));
        for (const auto &[address, askers] : asked)
            CHECK(askers <= 4 * maxEntriesPerRelay); // two sources per entry; data centres differ
    }
    CHECK(sourcesFor(entriesOf(8), "unknown").readers.empty());
}

TEST_CASE("a large site may have one data centre, or most of its entries in one")
{
    for (const std::size_t alone : {0, 1, 2, 3}) {
        entry_map entries = entriesOf(120);
        std::size_t left = alone;
        for (auto &[name, place] : entries)
            place.dataCentre = left > 0 && left-- > 0 ? "b" : "a";
        for (const auto &[name, place] : entries) {
            const row_sources sources = sourcesFor(entries, name);
            CHECK((sources.readers.empty() || sources.readers.size() == sourcesPerEntry));
        }
    }
}

TEST_CASE("on a large site all sources of an entry read directly from a reader")
{
    const entry_map entries = entriesOf(380);
    std::map<std::string, std::string> nameOf;
    for (const auto &[name, place] : entries)
        nameOf[place.address] = name;
    const std::vector<std::string> readers = storeReaders(entries);
    const auto isReader = [&](const std::string &address) {
        return std::count(readers.begin(), readers.end(), nameOf.at(address)) == 1;
    };
    std::size_t relays = 0;
    for (const auto &[name, place] : entries) {
        const row_sources sources = sourcesFor(entries, name);
        if (sources.readers.empty())
            continue;
        const auto isNear = [&](const std::string &address) {
            return entries.at(nameOf.at(address)).dataCentre == place.dataCentre;
        };
        if (isReader(sources.readers[0])) {
            CHECK(isReader(sources.readers[1]));
            relays += sources.standbys.empty() ? 0 : 1;
            continue;
        }
        CHECK(isNear(sources.readers[0]));
        CHECK(isNear(sources.readers[1]));
        std::vector<std::string> asked = sources.readers;
        asked.insert(asked.end(), sources.standbys.begin(), sources.standbys.end());
        CHECK(asked.size() == sourcesPerEntry + 1);
        for (const std::string &address : asked)
            CHECK(isReader(sourcesFor(entries, nameOf.at(address)).readers.at(0)));
    }
    CHECK(relays == 9);
}

TEST_CASE("nearby sources come first, and entries without addresses have no sources")
{
    entry_map entries = entriesOf(144);
    for (const auto &[name, place] : entries) {
        const std::vector<std::string> found = sourcesFor(entries, name).readers;
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
    CHECK(sourcesFor(entries, "e0").readers.empty());
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
    row_mirror mirror{milliseconds(1500)};
    metric_registry metrics;
    peer_rows rows;
};

} // namespace

TEST_CASE("an entry reads rows from a peer, and avoids a silent peer for a while")
{
    asio::io_context context;
    one_entry server(context, "127.0.0.1:0");
    REQUIRE(server.rows.open().empty());
    one_entry client(context, "127.0.0.1:1");
    client.rows.setPeers({"127.0.0.1:" + std::to_string(server.rows.port()), "127.0.0.1:1"});
    server.mirror.take("t", {{{"k", "v", 3, false}}, 3, {}}, true, bootNow());

    std::optional<outcome<row_update, row_failure>> result;
    client.rows.read("t", 0,
                     [&](outcome<row_update, row_failure> update) { result = std::move(update); });
    while (!result)
        context.run_one();
    REQUIRE(*result);
    CHECK(result->value().batch.rows.at(0).value == "v");
    CHECK(client.mirror.read("t", 0, bootNow()));

    for (int i = 0; i < 2; ++i) {
        result.reset();
        client.rows.read("unknown", 0, [&](outcome<row_update, row_failure> update) {
            result = std::move(update);
        });
        while (!result)
            context.run_one();
        CHECK(!*result);
    }
}

namespace {

/// Two entries on loopback sockets, one of which reads from the other.
struct two_entries
{
    two_entries()
    {
        REQUIRE(server.rows.open().empty());
        client.rows.setFirstPeers({serverAddress()});
    }
    std::string serverAddress() const { return "127.0.0.1:" + std::to_string(server.rows.port()); }
    void tell(const std::string &table, store_version version)
    {
        server.mirror.take(table, {{{"k", "v", version, false}}, version, {}}, true, bootNow());
    }
    void ask(const std::string &table, store_version since)
    {
        client.rows.read(table, since, [this, table](outcome<row_update, row_failure> update) {
            results.emplace(table, std::move(update));
        });
    }
    void runUntil(std::size_t count)
    {
        while (results.size() < count)
            context.run_one();
    }
    asio::io_context context;
    one_entry server{context, "127.0.0.1:0"};
    one_entry client{context, "127.0.0.1:1"};
    std::map<std::string, outcome<row_update, row_failure>> results;
};

} // namespace

TEST_CASE("a read carries the announcement of an unlisted entry, and malformed announcements are "
          "refused")
{
    asio::io_context context;
    one_entry server(context, "127.0.0.1:0");
    REQUIRE(server.rows.open().empty());
    server.mirror.take("t", {{{"k", "v", 3, false}}, 3, {}}, true, bootNow());
    std::vector<entry_announcement> heard;
    server.rows.setAnnouncements(
            {}, [&](const entry_announcement &announced) { heard.push_back(announced); });
    one_entry client(context, "127.0.0.1:1");
    client.rows.setPeers({"127.0.0.1:" + std::to_string(server.rows.port())});
    entry_announcement own{"edge-7", {"10.0.0.7:5", "hall"}, milliseconds(1'700'000'000'000)};
    own.place.processorShare = 0.5;
    client.rows.setAnnouncements([&] { return std::optional(own); }, {});
    std::optional<outcome<row_update, row_failure>> result;
    client.rows.read("t", 0,
                     [&](outcome<row_update, row_failure> update) { result = std::move(update); });
    while (!result)
        context.run_one();
    REQUIRE(heard.size() == 1);
    CHECK(heard[0].entry == "edge-7");
    CHECK(heard[0].place.address == "10.0.0.7:5");
    CHECK(heard[0].place.dataCentre == "hall");
    CHECK(heard[0].place.processorShare == 0.5);
    CHECK(heard[0].wallTime == own.wallTime);
    for (const char *text : {"", "!", "kA==", "k6FhAaJ7fQ=="})
        CHECK_FALSE(decodeAnnouncement(text));
}

TEST_CASE("simultaneous reads are sent as one request, and each gets its table")
{
    two_entries two;
    two.tell("a", 3);
    two.tell("b", 5);
    two.ask("a", 0);
    two.ask("b", 0);
    two.ask("c", 0);
    // A later read joins the request in progress.
    two.context.poll();
    two.ask("d", 0);
    two.runUntil(4);
    CHECK(two.results.at("a").value().batch.version.number == 3);
    CHECK(two.results.at("b").value().batch.version.number == 5);
    CHECK(!two.results.at("c"));
    CHECK(!two.results.at("d"));
    const std::string told = two.client.metrics.prometheusText();
    CHECK(told.find("peer_reads_total{result=\"ok\"} 1\n") != std::string::npos);
}

TEST_CASE("an empty table is passed on, and so is its first row later")
{
    two_entries two;
    two.server.mirror.take("a", {{}, 3, {}}, true, bootNow());
    two.ask("a", 0);
    two.runUntil(1);
    REQUIRE(two.results.at("a"));
    CHECK(two.results.at("a").value().whole);
    CHECK(two.results.at("a").value().batch.rows.empty());

    two.results.clear();
    two.server.mirror.take("a", {{{"k", "v", 4, false}}, 4, {}}, false, bootNow());
    two.ask("a", 0);
    two.runUntil(1);
    REQUIRE(two.results.at("a"));
    CHECK(two.results.at("a").value().batch.rows.size() == 1);
}

TEST_CASE("a read without changes is held and answered when there are some")
{
    two_entries two;
    two.tell("a", 3);
    const time_point began = bootNow();
    two.ask("a", 3);
    two.runUntil(1);
    REQUIRE(two.results.at("a"));
    CHECK(two.results.at("a").value().batch.rows.empty());
    CHECK(bootNow() - began >= milliseconds(100));

    two.results.clear();
    two.ask("a", 3);
    asio_runtime runtime(two.context);
    runtime.after(milliseconds(10), [&] {
        two.server.mirror.take("a", {{{"l", "w", 4, false}}, 4, {}}, false, bootNow());
    });
    two.runUntil(1);
    REQUIRE(two.results.at("a"));
    REQUIRE(two.results.at("a").value().batch.rows.size() == 1);
    CHECK(two.results.at("a").value().batch.rows[0].key == "l");
}

TEST_CASE("a read waits for a peer that is starting, and fails at one whose rows are outdated")
{
    two_entries two;
    asio_runtime runtime(two.context);
    two.ask("a", 0);
    runtime.after(milliseconds(10), [&] { two.tell("a", 3); });
    two.runUntil(1);
    REQUIRE(two.results.at("a"));
    CHECK(two.results.at("a").value().whole);

    two.results.clear();
    two.server.mirror.take("b", {{}, 6, {}}, true, bootNow() - seconds(2));
    two.ask("b", 6);
    two.runUntil(1);
    REQUIRE(!two.results.at("b"));
    CHECK(two.results.at("b").error() == row_failure::outdated);
}

TEST_CASE("a standby is read while the readers are outdated, and has time for a store call")
{
    two_entries two;
    one_entry standby{two.context, "127.0.0.1:0"};
    REQUIRE(standby.rows.open().empty());
    const std::string standbyAddress = "127.0.0.1:" + std::to_string(standby.rows.port());
    two.client.rows.setSources({{two.serverAddress()}, {standbyAddress}});
    CHECK(!two.client.rows.isStandby());
    const time_point old = bootNow() - seconds(2);
    two.server.mirror.take("a", {{}, 6, {}}, true, old);
    standby.mirror.take("a", {{}, 6, {}}, true, old);
    two.tell("b", 4);
    two.ask("a", 6);
    two.ask("b", 0);
    asio_runtime runtime(two.context);
    // The reader holds outdated rows for 100 ms, then the standby for as long.
    runtime.after(milliseconds(150), [&] {
        standby.mirror.take("a", {{{"k", "v", 7, false}}, 7, {}}, false, bootNow());
    });
    two.runUntil(2);
    REQUIRE(two.results.at("a"));
    CHECK(two.results.at("a").value().batch.rows.size() == 1);
    // Tables that are current at the reader are still taken from it.
    REQUIRE(two.results.at("b"));
    CHECK(two.results.at("b").value().batch.version.number == 4);
}

TEST_CASE("a read skips a dead peer and succeeds at the next one")
{
    two_entries two;
    two.tell("a", 3);
    two.client.rows.setSources({{"127.0.0.1:2", two.serverAddress()}, {}});
    two.ask("a", 0);
    two.runUntil(1);
    CHECK(two.results.at("a"));
}

TEST_CASE("an entry that becomes a reader stops waiting for peers")
{
    two_entries two;
    CHECK(two.client.rows.arePreferred());
    const time_point began = bootNow();
    two.ask("a", 0);
    asio_runtime runtime(two.context);
    runtime.after(milliseconds(10), [&] { two.client.rows.setSources({}); });
    two.runUntil(1);
    CHECK(!two.results.at("a"));
    CHECK(bootNow() - began < milliseconds(90));
    CHECK(!two.client.rows.arePreferred());
}

TEST_CASE("outdated rows are served only to an entry that knows nothing yet")
{
    two_entries two;
    two.server.mirror.take("t", {{{"k", "v", 9, false}}, 9, {}}, true, bootNow() - seconds(10));
    two.ask("t", unknownVersion);
    two.runUntil(1);
    REQUIRE(two.results.at("t"));
    CHECK(two.results.at("t").value().batch.rows.at(0).value == "v");
    two.results.clear();
    // The entry lost the history of changes but has newer rows.
    two.ask("t", rereadVersion);
    two.runUntil(1);
    CHECK(!two.results.at("t"));
}
