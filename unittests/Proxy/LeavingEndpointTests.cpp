//===-- LeavingEndpointTests.cpp - requests at leaving endpoints ------------===//
//
// Checks that an endpoint gets no further requests once one of its answers states that it is
// leaving, even if its row does not.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

struct leaving_fixture : flow_fixture
{
    using flow_fixture::flow_fixture;

    service_directory &directory() { return routing.directory(); }

    /// Answers call \p index with \p code, states that the endpoint is leaving, and ends the call
    /// with \p end.
    void answerLeaving(std::size_t index, int code = 200, call_end end = call_end::complete)
    {
        proxy_answer answer;
        answer.status = code;
        answer.signedByEndpoint = code == 200;
        answer.notRun = code == http_status::unavailable;
        answer.endpointLeaving = true;
        this->answer(index, std::move(answer), end);
    }

    /// \returns how many of \p count requests go to \p id first.
    unsigned sentTo(const std::string &id, unsigned count)
    {
        unsigned sent = 0;
        for (unsigned i = 0; i < count; ++i) {
            const std::size_t before = calls.size();
            startFlow(*this, requestFor(lookupRoute()));
            sent += calls.size() > before && endpointOf(before) == id ? 1 : 0;
        }
        return sent;
    }
};

} // namespace

TEST_CASE("an endpoint gets no further requests after any answer that states it is leaving")
{
    for (const int code : {200, 500, 503}) {
        for (const call_end end : {call_end::complete, call_end::broken}) {
            CAPTURE(code);
            leaving_fixture world(lookupRoute(), {"e1", "e2"});
            startFlow(world, requestFor(lookupRoute()));
            const std::string leaving = world.endpointOf(0);
            world.answerLeaving(0, code, end);
            CHECK(world.sentTo(leaving, 20) == 0);
        }
    }
}

TEST_CASE("the leaving state of an endpoint is kept by later rows and cleared by a new start")
{
    leaving_fixture world(lookupRoute(), {"e1"});
    endpoint_record record = world.directory().all().at("e1")->record();
    record.startedAt = 100;
    record.rowVersion = 7;
    world.directory().apply(record, world.runtime.now());
    startFlow(world, requestFor(lookupRoute()));
    REQUIRE(world.calls.size() == 1);
    world.answerLeaving(0);
    record.rowVersion = 8;
    world.directory().apply(record, world.runtime.now());
    CHECK(world.sentTo("e1", 5) == 0);
    record.startedAt = 200;
    world.directory().apply(record, world.runtime.now());
    CHECK(world.sentTo("e1", 5) == 5);
}

TEST_CASE("callers are refused at once when all endpoints have stated that they are leaving")
{
    leaving_fixture world(lookupRoute(), {"e1"});
    startFlow(world, requestFor(lookupRoute()));
    world.answerLeaving(0);
    world.status = 0;
    startFlow(world, requestFor(lookupRoute()));
    CHECK(world.calls.size() == 1);
    CHECK(world.status == 503);
    CHECK_FALSE(findHeader(world.headers, "Retry-After").empty());
}

TEST_CASE("a broken stream is resumed at another endpoint when its endpoint is leaving")
{
    leaving_fixture world(draftRoute(), {"e1", "e2"});
    startFlow(world, requestFor(draftRoute()));
    proxy_answer answer;
    answer.status = 200;
    answer.signedByEndpoint = true;
    answer.confidence = 100;
    answer.endpointLeaving = true;
    world.calls[0].events.onAnswer(std::move(answer));
    world.data(0, eventText(1));
    CHECK_FALSE(world.calls[0].cancelled);
    world.end(0, call_end::broken);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.endpointOf(1) != world.endpointOf(0));
    world.end(1, call_end::broken);
    // The remaining endpoint is tried again rather than the leaving one.
    REQUIRE(world.calls.size() == 3);
    CHECK(world.endpointOf(2) == world.endpointOf(1));
}
