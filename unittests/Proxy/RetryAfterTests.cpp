//===-- RetryAfterTests.cpp - endpoints that ask for no requests ------------===//
//
// An endpoint that refused with a Retry-After gets nothing from this entry until then.
//
//===----------------------------------------------------------------------===//
#include "FlowWorld.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

struct rest_world : flow_world
{
    using flow_world::flow_world;

    /// Refuses call \p index and asks for no requests for \p time.
    void refuse(std::size_t index, std::optional<milliseconds> time)
    {
        proxy_answer answer;
        answer.status = http_status::unavailable;
        answer.notRun = true;
        answer.retryAfter = time;
        calls[index].events.onAnswer(std::move(answer));
        calls[index].events.onEnd(call_end::complete);
    }

    std::string endpointOf(std::size_t index) const
    {
        return calls[index].attempt.endpoint->record().id;
    }

    /// \returns how many of \p count requests, one each 50 ms, go to \p id first.
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
    rest_world world(lookupRoute(), {"e1", "e2"});
    startFlow(world, requestFor(lookupRoute()));
    const std::string resting = world.endpointOf(0);
    world.refuse(0, seconds(3));
    REQUIRE(world.calls.size() == 2);
    CHECK(world.sentTo(resting, 59) == 0);
    world.runtime.advance(milliseconds(100));
    CHECK(world.sentTo(resting, 40) > 0);
}

TEST_CASE("a shorter Retry-After does not shorten an endpoint's longer one")
{
    rest_world world(lookupRoute(), {"e1"});
    startFlow(world, requestFor(lookupRoute()));
    startFlow(world, requestFor(lookupRoute()));
    REQUIRE(world.calls.size() == 2);
    world.refuse(0, seconds(3));
    world.refuse(1, milliseconds(200));
    CHECK(world.sentTo("e1", 59) == 0);
    world.runtime.advance(milliseconds(100));
    CHECK(world.sentTo("e1", 1) == 1);
}

TEST_CASE("where all endpoints ask for no requests, callers are told the earliest end at once")
{
    rest_world world(lookupRoute(), {"e1", "e2"});
    startFlow(world, requestFor(lookupRoute()));
    world.refuse(0, seconds(3));
    world.refuse(1, milliseconds(1500));
    CHECK(world.status == 503);
    world.status = 0;
    world.runtime.advance(milliseconds(500));
    startFlow(world, requestFor(lookupRoute()));
    CHECK(world.calls.size() == 2);
    CHECK(world.status == 503);
    CHECK(findHeader(world.headers, "Retry-After") == "1.000000");
}

TEST_CASE("a Retry-After of zero, or none, leaves an endpoint usable within a moment")
{
    for (const std::optional<milliseconds> time :
         {std::optional(milliseconds(0)), std::optional<milliseconds>()}) {
        rest_world world(lookupRoute(), {"e1"});
        startFlow(world, requestFor(lookupRoute()));
        world.refuse(0, time);
        world.runtime.advance(milliseconds(200));
        CHECK(world.sentTo("e1", 1) == 1);
    }
}

TEST_CASE("an endpoint that starts again has asked for nothing yet")
{
    rest_world world(lookupRoute(), {"e1"});
    endpoint_record record = world.routing.directory().all().at("e1")->record();
    record.startedAt = 100;
    world.routing.directory().apply(record, world.runtime.now());
    startFlow(world, requestFor(lookupRoute()));
    world.refuse(0, seconds(30));
    CHECK(world.sentTo("e1", 1) == 0);
    record.startedAt = 200;
    world.routing.directory().apply(record, world.runtime.now());
    CHECK(world.sentTo("e1", 1) == 1);
}
