//===-- PressureNoticeTests.cpp - pressure on services ----------------------===//
//
// Encoding and decoding, malformed datagrams, and which notices an entry sends and takes.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include "laurelcroft/Proxy/PressureNotice.h"
#include "laurelcroft/Support/MessagePack.h"

#include <doctest/doctest.h>

#include <vector>

using namespace laurelcroft;
using nlohmann::json;

TEST_CASE("a pressure notice is unchanged by encoding and decoding, and small")
{
    const pressure_notice notice{"menu-model", 35, 7, 9};
    const std::string bytes = encodePressureNotice(notice);
    CHECK(bytes.size() < 40);
    CHECK(decodePressureNotice(bytes) == notice);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
        CHECK(!decodePressureNotice(std::string_view(bytes).substr(0, cut)));
    CHECK(!decodePressureNotice(bytes + "x"));
}

TEST_CASE("bytes that are not a pressure notice, or values out of range, are rejected")
{
    const json valid = json::array({"pressure", "pool", 35U, 7U, 9U});
    REQUIRE(decodePressureNotice(encodeMessagePack(valid)));
    const std::vector<json> invalid = {"leaving", "", 101U, 11U, 1001U};
    for (std::size_t i = 0; i < invalid.size(); ++i) {
        CAPTURE(i);
        for (const json &value : {invalid[i], json(-1), json(1.5), json(nullptr)}) {
            json item = valid;
            item[i] = value;
            CHECK(!decodePressureNotice(encodeMessagePack(item)));
        }
    }
}

TEST_CASE("values that a notice can't hold are limited before it is sent")
{
    const pressure_notice notice = pressure_notice::from("pool", {1e9, 1e9}, 1e9);
    CHECK(decodePressureNotice(encodePressureNotice(notice)) == notice);
    const pressure_notice negative = pressure_notice::from("pool", {-1, -1}, -1);
    CHECK(negative == pressure_notice{"pool", 0, 0, 0});
}

namespace {

/// A flow_fixture whose cascade uses the pressure.
struct pressured_fixture : flow_fixture
{
    pressured_fixture()
    {
        routing_bounds bounds;
        bounds.load.cascade = feature_mode::on;
        routing = routing_state(bounds, {0, 50}, 1);
        useRoute(draftRoute());
        addEndpoint("e1");
    }
};

} // namespace

TEST_CASE("an entry reports what it has seen itself, and takes reports on services that it uses")
{
    pressured_fixture fixture;
    routing_state &routing = fixture.routing;
    const time_point now = fixture.runtime.now();
    CHECK(routing.pressureNotices(now).empty());
    routing.notePressureElsewhere({"pool", 100, 10, 7}, now);
    routing.notePressureElsewhere({"unknown", 100, 10, 7}, now);
    CHECK(routing.allPressures().empty()); // nothing was sent there yet

    startFlow(fixture, requestFor(draftRoute()));
    fixture.runtime.advance(milliseconds(200));
    fixture.answer(0, 200, 90);
    const time_point later = fixture.runtime.now();
    routing.notePressureElsewhere({"pool", 100, 10, 7}, later);
    CHECK(routing.pressure("pool").level(later) > 0.8);
    const std::vector<pressure_notice> notices = routing.pressureNotices(later);
    REQUIRE(notices.size() == 1);
    CHECK(notices[0].levelPercent == 10); // 200 ms of 2 s: others' reports are not passed on
    CHECK(notices[0].samples == 1);
    CHECK(routing.pressureNotices(later + seconds(10)).empty()); // nothing recent
}

TEST_CASE("an entry whose cascade doesn't use the pressure sends and takes no notices")
{
    flow_fixture fixture(draftRoute(), {"e1"});
    startFlow(fixture, requestFor(draftRoute()));
    fixture.runtime.advance(milliseconds(200));
    fixture.answer(0, 200, 90);
    const time_point now = fixture.runtime.now();
    fixture.routing.notePressureElsewhere({"pool", 100, 10, 7}, now);
    CHECK(fixture.routing.pressureNotices(now).empty());
    CHECK(fixture.routing.pressure("pool").level(now) < 0.1);
}

TEST_CASE("under pressure a long prompt keeps its first answer, and the record says why")
{
    struct row
    {
        unsigned tokens;
        unsigned pressurePercent;
        second_run decision;
    };
    const row rows[] = {{1'000, 20, second_run::sent},
                        {9'000, 20, second_run::delaysOthers},
                        {9'000, 0, second_run::sent},
                        {40'000, 0, second_run::late}};
    for (const row &item : rows) {
        CAPTURE(item.tokens);
        CAPTURE(item.pressurePercent);
        pressured_fixture fixture;
        fixture.routing.promptRate("small").addSample(10'000, 100); // the large model: 0.1 ms
        auto request = requestFor(draftRoute());
        request->promptTokens = item.tokens;
        startFlow(fixture, request);
        const time_point now = fixture.runtime.now();
        fixture.routing.demand("pool").addAnswer(milliseconds(2000), 3, 9'000, now);
        for (int i = 0; i < 20; ++i)
            fixture.routing.notePressureElsewhere({"pool", item.pressurePercent, 10, 8}, now);
        fixture.runtime.advance(milliseconds(item.tokens / 100)); // the small model's usual time
        fixture.answer(0, 200, 20);
        CHECK((fixture.calls.size() == 2) == (item.decision == second_run::sent));
        const std::size_t last = fixture.calls.size() - 1;
        if (last == 1)
            fixture.answer(last, 200, 90);
        fixture.data(last, eventText(1));
        fixture.end(last, call_end::complete);
        REQUIRE(fixture.record);
        REQUIRE(fixture.record->secondRun);
        CHECK(textOf(*fixture.record->secondRun) == textOf(item.decision));
        CHECK(fixture.record->servicePressure.has_value());
    }
}
