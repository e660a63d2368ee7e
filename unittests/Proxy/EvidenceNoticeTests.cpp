//===-- EvidenceNoticeTests.cpp - roll-out evidence by datagram -------------===//
//
// Encoding and decoding, and sending between entries on loopback sockets.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/EvidenceNotice.h"
#include "laurelcroft/Proxy/NoticeChannel.h"

#include <doctest/doctest.h>

#include <vector>

using namespace laurelcroft;

static evidence_notice exampleNotice()
{
    return {"edge-1", "pool", {7, {{"a", {3, 1, 0}}, {"b", {0, 1, 1}}}, ~0ULL}};
}

TEST_CASE("an evidence notice is unchanged by encoding and decoding; other bytes are rejected")
{
    const evidence_notice notice = exampleNotice();
    const std::string bytes = encodeEvidenceNotice(notice);
    CHECK(bytes.size() < 50);
    CHECK(decodeEvidenceNotice(bytes) == notice);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
        CHECK(!decodeEvidenceNotice(std::string_view(bytes).substr(0, cut)));
    CHECK(!decodeEvidenceNotice(bytes + "x"));
    CHECK(!decodeEvidenceNotice(encodeSendNotice({"i-1", milliseconds(42), {{7, 250}}})));
    CHECK(!decodeSendNotice(bytes));
    evidence_notice nameless = notice;
    nameless.entry.clear();
    CHECK(!decodeEvidenceNotice(encodeEvidenceNotice(nameless)));
}

TEST_CASE("evidence of many routes fits into one packet and keeps the routes with bad answers")
{
    evidence_notice notice{"edge-1", "pool", {7, {}, 11}};
    for (int route = 0; route < 200; ++route)
        notice.evidence.byRoute["route-" + std::to_string(route)] = {5, 0, 0};
    notice.evidence.byRoute["route-77"].failed = 2;
    const std::string bytes = encodeEvidenceNotice(notice);
    CHECK(bytes.size() < 1000);
    const auto heard = decodeEvidenceNotice(bytes);
    REQUIRE(heard);
    CHECK(heard->evidence.byRoute.size() == evidence_notice::maxRoutes);
    CHECK(heard->evidence.byRoute.at("route-77").failed == 2);
}

TEST_CASE("an entry sends its evidence to the entries that read the store, except itself")
{
    asio::io_context context;
    metric_registry metrics;
    unsigned heard = 0;
    std::optional<evidence_notice> last;
    std::vector<std::unique_ptr<notice_channel>> entries;
    entry_map places;
    for (int i = 0; i < 3; ++i) {
        notice_handlers handlers;
        handlers.onEvidence = [&](const evidence_notice &notice) {
            ++heard;
            last = notice;
        };
        entries.push_back(std::make_unique<notice_channel>(context, metrics, "127.0.0.1:0",
                                                           std::move(handlers)));
        REQUIRE(entries.back()->open().empty());
        places["e" + std::to_string(i)]
                = {"127.0.0.1:" + std::to_string(entries.back()->port()), "hall"};
    }
    unsigned rounds = 0;
    for (int i = 0; i < 3; ++i) {
        entries[i]->setEntries(places, "e" + std::to_string(i));
        CHECK(entries[i]->sendToReaders(exampleNotice()));
    }
    // Two of the three entries read the store. Each gets the notices of the other two entries.
    constexpr unsigned expected = 4;
    for (; heard < expected && rounds < 1000; ++rounds)
        context.run_one_for(std::chrono::milliseconds(100));
    context.poll();
    CHECK(heard == expected);
    CHECK(last == exampleNotice());
}
