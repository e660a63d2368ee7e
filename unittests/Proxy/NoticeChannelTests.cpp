//===-- NoticeChannelTests.cpp - datagrams between entries ------------------===//
//
// Encoding and decoding of send notices, and sending between entries on loopback sockets.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/NoticeChannel.h"

#include <doctest/doctest.h>

#include <list>
#include <vector>

using namespace laurelcroft;

namespace {

/// An entry that records the notices that it receives.
struct recording_entry
{
    explicit recording_entry(asio::io_context &context)
        : notices(context, metrics, "127.0.0.1:0",
                  {[this](const send_notice &notice) { heard.push_back(notice); },
                   [this](const evidence_notice &notice) { evidence.push_back(notice); },
                   [this](const crash_notice &notice) { ends.push_back(notice); },
                   [this](const withheld_notice &notice) { withheld.push_back(notice); },
                   [](const cleared_notice &) {}, nullptr,
                   [this](const leaving_notice &notice) { leaving.push_back(notice); }, nullptr,
                   [this](const pressure_notice &notice) { pressures.push_back(notice); }})
    {
    }
    metric_registry metrics;
    std::vector<send_notice> heard;
    std::vector<evidence_notice> evidence;
    std::vector<crash_notice> ends;
    std::vector<withheld_notice> withheld;
    std::vector<leaving_notice> leaving;
    std::vector<pressure_notice> pressures;
    notice_channel notices;
};

entry_info placeOf(const recording_entry &entry, const std::string &dataCentre)
{
    return {"127.0.0.1:" + std::to_string(entry.notices.port()), dataCentre};
}

/// A sender and the only other entry that it knows.
struct entry_pair
{
    asio::io_context context;
    recording_entry sender{context};
    recording_entry near{context};

    entry_pair()
    {
        REQUIRE(sender.notices.open().empty());
        REQUIRE(near.notices.open().empty());
        sender.notices.setEntries({{"near", placeOf(near, "a")}}, "teller");
    }
};

} // namespace

TEST_CASE("a send notice is unchanged by encoding and decoding; other bytes are rejected")
{
    const send_notice plain{"i-7f3a91c2", milliseconds(420), {}};
    CHECK(encodeSendNotice(plain).size() < 20);
    CHECK(decodeSendNotice(encodeSendNotice(plain)) == plain);
    const send_notice notice{"i-7f3a91c2", milliseconds(420), {{~0ULL, 13'300}, {7, 250}}};
    const std::string bytes = encodeSendNotice(notice);
    CHECK(bytes.size() < 40);
    CHECK(decodeSendNotice(bytes) == notice);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
        CHECK(!decodeSendNotice(std::string_view(bytes).substr(0, cut)));
    CHECK(!decodeSendNotice(bytes + "x"));
    CHECK(!decodeSendNotice(encodeSendNotice({"", milliseconds(420), {}})));
    CHECK(!decodeSendNotice(encodeSendNotice({std::string(300, 'i'), milliseconds(420), {}})));
    CHECK(!decodeSendNotice(encodeSendNotice({"i-1", milliseconds(-1), {}})));
    CHECK(!decodeSendNotice(
            encodeSendNotice({"i-1", notice_channel::maxPrefillTime + milliseconds(1), {}})));
    const auto hugeTokens = static_cast<unsigned>(prefix_cache_estimate::defaultCapacity + 1);
    CHECK(!decodeSendNotice(encodeSendNotice({"i-1", milliseconds(1), {{1, hugeTokens}}})));
}

TEST_CASE("a send notice keeps only the first prefixes of a prompt")
{
    const std::vector<prompt_prefix> many(100, {5, 10});
    const auto heard = decodeSendNotice(encodeSendNotice({"i-1", milliseconds(50), many}));
    REQUIRE(heard);
    CHECK(heard->prefixes.size() == notice_channel::maxPrefixes);
}

/// Adds entries in data centre "c" until the site is too large for notifying all entries.
static void makeLarge(entry_map &entries)
{
    for (std::size_t i = 0; i <= notice_channel::maxRecipients; ++i)
        entries["c" + std::to_string(i)] = {"127.0.0.1:9", "c"};
}

TEST_CASE("long prompts are reported to all of a small site, or to the endpoint's data centre")
{
    for (const bool large : {false, true}) {
        asio::io_context context;
        recording_entry sender(context);
        recording_entry near(context);
        recording_entry far(context);
        for (recording_entry *entry : {&sender, &near, &far})
            REQUIRE(entry->notices.open().empty());
        entry_map entries{{"teller", placeOf(sender, "a")},
                          {"near", placeOf(near, "a")},
                          {"far", placeOf(far, "b")},
                          {"nowhere", {"", "a"}},
                          {"wrong", {"host:1", "a"}}};
        if (large)
            makeLarge(entries);
        sender.notices.setEntries(entries, "teller");
        sender.notices.sendToDataCentre({"long", milliseconds(400), {}}, "a");
        sender.notices.sendToDataCentre({"short", milliseconds(5), {}}, "a");
        sender.notices.sendToDataCentre({"unknown", milliseconds(400), {}}, "z");
        context.run_for(milliseconds(100));
        REQUIRE(near.heard.size() == 1);
        CHECK(near.heard[0] == send_notice{"long", milliseconds(400), {}});
        CHECK(far.heard.size() == (large ? 0 : 1));
        CHECK(sender.heard.empty());
    }
}

TEST_CASE("send notices stay within their byte rate")
{
    entry_pair entries;
    recording_entry &sender = entries.sender;
    recording_entry &near = entries.near;
    constexpr unsigned tries = 500;
    const time_point begun = bootNow();
    for (unsigned i = 0; i < tries; ++i)
        sender.notices.sendToDataCentre({"i-7f3a91c2", milliseconds(400), {}}, "a");
    const std::chrono::duration<double> took = bootNow() - begun;
    entries.context.run_for(milliseconds(100));
    const double bytes = static_cast<double>(
            encodeSendNotice({"i-7f3a91c2", milliseconds(400), {}}).size() + 28);
    // The burst of one second, and the bytes that accrue during the loop.
    const double allowed = notice_channel::bytesPerSecond * (1.01 + took.count());
    CHECK(static_cast<double>(near.heard.size()) * bytes <= allowed);
    CHECK(!near.heard.empty());
}

TEST_CASE("a leaving notice reaches the handler of its kind")
{
    // Guards against DRAIN: it was decoded as evidence of no route and never applied.
    entry_pair entries;
    recording_entry &sender = entries.sender;
    recording_entry &near = entries.near;
    sender.notices.sendLeavingNotice({"i-1", 7, 2});
    entries.context.run_for(milliseconds(100));
    REQUIRE(near.leaving.size() == 1);
    CHECK(near.leaving[0] == leaving_notice{"i-1", 7, 2});
    CHECK(near.evidence.empty());
}

TEST_CASE("no notice decodes as another kind")
{
    // Guards against notices that are taken for others and lost.
    rollout_evidence evidence{7, {}, 11};
    evidence.byRoute["draft"] = {5, 1, 0};
    const std::vector<std::string> notices
            = {encodeSendNotice({"i-1", milliseconds(42), {{7, 250}}}),
               encodeEvidenceNotice({"edge-1", "pool", evidence}),
               encodeCrashNotice({7, "pool", "v1", {{1, milliseconds(5), milliseconds(9)}}}),
               encodeWithheldNotice({7, "pool", {"v1"}, {9}, seconds(3)}),
               encodeClearedNotice({7, "v1"}),
               encodeRateLimitNotice({"i-1", 7, 2.5, milliseconds(3), 1}),
               encodeLeavingNotice({"i-1", 7, 1}),
               encodeBackoffNotice({"i-1", 7, seconds(3)}),
               encodePaceNotice({{{"i-1", 120, 110, 3}}, false}),
               encodePressureNotice({"pool", 35, 7, 9})};
    for (std::size_t i = 0; i < notices.size(); ++i) {
        CAPTURE(i);
        const std::string &bytes = notices[i];
        const std::vector<bool> decoded
                = {decodeSendNotice(bytes).has_value(),    decodeEvidenceNotice(bytes).has_value(),
                   decodeCrashNotice(bytes).has_value(),   decodeWithheldNotice(bytes).has_value(),
                   decodeClearedNotice(bytes).has_value(), decodeRateLimitNotice(bytes).has_value(),
                   decodeLeavingNotice(bytes).has_value(), decodeBackoffNotice(bytes).has_value(),
                   decodePaceNotice(bytes).has_value(),    decodePressureNotice(bytes).has_value()};
        for (std::size_t kind = 0; kind < decoded.size(); ++kind)
            CHECK(decoded[kind] == (kind == i));
    }
}

TEST_CASE("pressure notices reach all other entries in turn, within the bytes for findings")
{
    constexpr std::size_t others = 2 * notice_channel::pressureRecipients;
    asio::io_context context;
    recording_entry sender(context);
    std::list<recording_entry> hearers;
    entry_map entries;
    REQUIRE(sender.notices.open().empty());
    for (std::size_t i = 0; i < others; ++i) {
        hearers.emplace_back(context);
        REQUIRE(hearers.back().notices.open().empty());
        entries["e" + std::to_string(i)] = placeOf(hearers.back(), "a");
    }
    sender.notices.setEntries(entries, "teller");
    const pressure_notice notice{"pool", 35, 7, 9};
    sender.notices.sendPressureNotice(notice);
    sender.notices.sendPressureNotice(notice);
    context.run_for(milliseconds(100));
    for (const recording_entry &hearer : hearers) {
        REQUIRE(hearer.pressures.size() == 1);
        CHECK(hearer.pressures[0] == notice);
    }
    const time_point begun = bootNow();
    for (int i = 0; i < 1000; ++i)
        sender.notices.sendPressureNotice(notice);
    const std::chrono::duration<double> took = bootNow() - begun;
    context.run_for(milliseconds(100));
    std::size_t heard = 0;
    for (const recording_entry &hearer : hearers)
        heard += hearer.pressures.size();
    const double bytes = static_cast<double>(encodePressureNotice(notice).size() + 28);
    // Half of the burst is left to urgent findings.
    const double allowed = notice_channel::findingBurstBytes / 2
            + notice_channel::findingBytesPerSecond * (1 + took.count());
    CHECK(static_cast<double>(heard) * bytes <= allowed);
}
