//===-- RetryAfterTests.cpp - backoff after a Retry-After --------------------===//
//
// Guards against sending to an endpoint before the Retry-After of its refusal has elapsed.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

struct backoff_fixture : flow_fixture
{
    using flow_fixture::flow_fixture;

    /// Refuses call \p index with a Retry-After of \p time, if any.
    void refuse(std::size_t index, std::optional<milliseconds> time)
    {
        proxy_answer answer;
        answer.status = http_status::unavailable;
        answer.notRun = true;
        answer.retryAfter = time;
        this->answer(index, std::move(answer), call_end::complete);
    }

    /// \returns the number of \p count requests, 50 ms apart, whose first attempt goes to \p id.
    unsigned sentTo(const std::string &id, unsigned count)
    {
        unsigned sent = 0;
        for (unsigned i = 0; i < count; ++i) {
            const std::size_t before = calls.size();
            startFlow(*this, requestFor(lookupRoute()));
            sent += calls.size() > before && endpointOf(before) == id ? 1 : 0;
            if (calls.size() > before) {
                answer(before, 200);
                end(before, call_end::complete);
            }
            runtime.advance(milliseconds(50));
        }
        return sent;
    }
};

} // namespace

TEST_CASE("an endpoint that refused with Retry-After gets no request until then")
{
    backoff_fixture fixture(lookupRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(lookupRoute()));
    const std::string refusing = fixture.endpointOf(0);
    fixture.refuse(0, seconds(3));
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.sentTo(refusing, 59) == 0);
    fixture.runtime.advance(milliseconds(100));
    CHECK(fixture.sentTo(refusing, 40) > 0);
}

TEST_CASE("a shorter Retry-After does not shorten an endpoint's longer one")
{
    backoff_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    startFlow(fixture, requestFor(lookupRoute()));
    REQUIRE(fixture.calls.size() == 2);
    fixture.refuse(0, seconds(3));
    fixture.refuse(1, milliseconds(200));
    CHECK(fixture.sentTo("e1", 59) == 0);
    fixture.runtime.advance(milliseconds(100));
    CHECK(fixture.sentTo("e1", 1) == 1);
}

TEST_CASE("when all endpoints are in backoff, callers get the earliest end as Retry-After at once")
{
    backoff_fixture fixture(lookupRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.refuse(0, seconds(3));
    fixture.refuse(1, milliseconds(1500));
    CHECK(fixture.status == 503);
    CHECK(findHeader(fixture.headers, "Retry-After") == "1.500000");
    fixture.status = 0;
    fixture.runtime.advance(milliseconds(500));
    startFlow(fixture, requestFor(lookupRoute()));
    CHECK(fixture.calls.size() == 2);
    CHECK(fixture.status == 503);
    CHECK(findHeader(fixture.headers, "Retry-After") == "1.000000");
}

TEST_CASE("an endpoint that refused without a Retry-After, or with zero, is usable after 200 ms")
{
    for (const std::optional<milliseconds> time :
         {std::optional(milliseconds(0)), std::optional<milliseconds>()}) {
        backoff_fixture fixture(lookupRoute(), {"e1"});
        startFlow(fixture, requestFor(lookupRoute()));
        fixture.refuse(0, time);
        fixture.runtime.advance(milliseconds(200));
        CHECK(fixture.sentTo("e1", 1) == 1);
    }
}

TEST_CASE("a restarted endpoint is not in backoff")
{
    backoff_fixture fixture(lookupRoute(), {"e1"});
    endpoint_record record = fixture.routing.directory().all().at("e1")->record();
    record.startedAt = 100;
    fixture.routing.directory().apply(record, fixture.runtime.now());
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.refuse(0, seconds(30));
    CHECK(fixture.sentTo("e1", 1) == 0);
    record.startedAt = 200;
    fixture.routing.directory().apply(record, fixture.runtime.now());
    CHECK(fixture.sentTo("e1", 1) == 1);
}

TEST_CASE("a refused request is retried at an endpoint that accepts requests")
{
    backoff_fixture fixture(lookupRoute(), {"e1", "e2", "e3"});
    const auto &listed = fixture.routing.directory().all();
    for (const char *id : {"e1", "e2"})
        listed.at(id)->startBackoff(seconds(1), fixture.runtime.now());
    fixture.runtime.advance(seconds(1));
    // Load makes e3 the most expensive choice.
    for (unsigned i = 0; i < 20; ++i)
        listed.at("e3")->requestStarted();
    for (unsigned i = 0; i < 20; ++i) {
        fixture.earnFurtherSends("pool");
        const std::size_t first = fixture.calls.size();
        startFlow(fixture, requestFor(lookupRoute()));
        REQUIRE(fixture.calls.size() == first + 1);
        REQUIRE(fixture.endpointOf(first) != "e3");
        fixture.refuse(first, milliseconds(0));
        REQUIRE(fixture.calls.size() == first + 2);
        CHECK(fixture.endpointOf(first + 1) == "e3");
        fixture.answer(first + 1, 200);
        fixture.end(first + 1, call_end::complete);
        fixture.runtime.advance(milliseconds(200));
    }
}

TEST_CASE(
        "while an endpoint refuses requests, an answer is dropped only if a repeat is left as well")
{
    // Guards against answers that are lost: the larger model's endpoint refused, and the caller got
    // a 502 because no send was left.
    for (const bool refuses : {false, true}) {
        CAPTURE(refuses);
        flow_fixture fixture(draftRoute(), {"e1", "e2", "e3"});
        routing_bounds bounds;
        bounds.repeats = {0.5, 0, seconds(10)};
        routing_state charged(bounds, {0, 50}, 1);
        charged.setContract(fixture.routing.contract());
        const time_point now = fixture.runtime.now();
        for (const auto &[id, endpoint] : fixture.routing.directory().all())
            charged.directory().apply(endpoint->record(), now);
        for (int i = 0; i < 10; ++i)
            charged.waits("pool").addSample(0.1);
        while (charged.repeats("pool").availableSends(now, 0) < 1)
            charged.repeats("pool").countRequest(now, 0);
        if (refuses)
            charged.noteBackoffElsewhere({"e3", 0, seconds(3)}, now);
        fixture.routing = std::move(charged);
        startFlow(fixture, requestFor(draftRoute()));
        fixture.answer(0, 200, 5);
        CHECK(fixture.calls.size() == (refuses ? 1 : 2));
    }
}

TEST_CASE("an endpoint that refuses requests of another entry gets none while there are others")
{
    // Guards against callers who are refused because each entry meets refusing endpoints by itself.
    backoff_fixture fixture(lookupRoute(), {"e1", "e2"});
    fixture.routing.noteBackoffElsewhere({"e1", 0, seconds(3)}, fixture.runtime.now());
    CHECK(fixture.sentTo("e1", 59) == 0);
    fixture.runtime.advance(milliseconds(100));
    CHECK(fixture.sentTo("e1", 40) > 0);
}

TEST_CASE("the only endpoint out of backoff is found among many")
{
    backoff_fixture fixture(lookupRoute(), {});
    constexpr unsigned endpointCount = 300;
    for (unsigned i = 0; i < endpointCount; ++i)
        fixture.addEndpoint("e" + std::to_string(i));
    for (const auto &[id, endpoint] : fixture.routing.directory().all()) {
        if (id != "e123")
            endpoint->startBackoff(seconds(60), fixture.runtime.now());
    }
    CHECK(fixture.sentTo("e123", 10) == 10);
}

TEST_CASE("a started stream waits for an endpoint whose backoff ends soon")
{
    backoff_fixture fixture(draftRoute(), {"e1"});
    startFlow(fixture, requestFor(draftRoute()));
    fixture.answer(0, 200, 100);
    fixture.data(0, eventText(1));
    fixture.routing.directory().all().at("e1")->startBackoff(milliseconds(400),
                                                             fixture.runtime.now());
    fixture.end(0, call_end::broken);
    CHECK(fixture.calls.size() == 1);
    CHECK_FALSE(fixture.aborted);
    fixture.runtime.advance(milliseconds(450));
    CHECK(fixture.calls.size() == 2);
}
