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
            leaving_fixture fixture(lookupRoute(), {"e1", "e2"});
            startFlow(fixture, requestFor(lookupRoute()));
            const std::string leaving = fixture.endpointOf(0);
            fixture.answerLeaving(0, code, end);
            CHECK(fixture.sentTo(leaving, 20) == 0);
        }
    }
}

TEST_CASE("the leaving state of an endpoint is kept by later rows and cleared by a new start")
{
    leaving_fixture fixture(lookupRoute(), {"e1"});
    endpoint_record record = fixture.directory().all().at("e1")->record();
    record.startedAt = 100;
    record.rowVersion = 7;
    fixture.directory().apply(record, fixture.runtime.now());
    startFlow(fixture, requestFor(lookupRoute()));
    REQUIRE(fixture.calls.size() == 1);
    fixture.answerLeaving(0);
    record.rowVersion = 8;
    fixture.directory().apply(record, fixture.runtime.now());
    CHECK(fixture.sentTo("e1", 5) == 0);
    record.startedAt = 200;
    fixture.directory().apply(record, fixture.runtime.now());
    CHECK(fixture.sentTo("e1", 5) == 5);
}

TEST_CASE("callers are refused at once when all endpoints have stated that they are leaving")
{
    leaving_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answerLeaving(0);
    fixture.status = 0;
    startFlow(fixture, requestFor(lookupRoute()));
    CHECK(fixture.calls.size() == 1);
    CHECK(fixture.status == 503);
    CHECK_FALSE(findHeader(fixture.headers, "Retry-After").empty());
}

TEST_CASE("a broken stream is resumed at another endpoint when its endpoint is leaving")
{
    leaving_fixture fixture(draftRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(draftRoute()));
    proxy_answer answer;
    answer.status = 200;
    answer.signedByEndpoint = true;
    answer.confidence = 100;
    answer.endpointLeaving = true;
    fixture.calls[0].events.onAnswer(std::move(answer));
    fixture.data(0, eventText(1));
    CHECK_FALSE(fixture.calls[0].cancelled);
    fixture.end(0, call_end::broken);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.endpointOf(1) != fixture.endpointOf(0));
    fixture.end(1, call_end::broken);
    // The remaining endpoint is tried again rather than the leaving one.
    REQUIRE(fixture.calls.size() == 3);
    CHECK(fixture.endpointOf(2) == fixture.endpointOf(1));
}
