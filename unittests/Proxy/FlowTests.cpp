//===-- FlowTests.cpp - tests of request_flow -------------------------------===//
//
// Covers each way in which an attempt can end, for each kind of route.
//
//===----------------------------------------------------------------------===//
#include "FlowFixture.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("without a contract, a request is refused with a Retry-After")
{
    flow_fixture world;
    startFlow(world, requestFor(lookupRoute()));
    CHECK(world.status == 503);
    CHECK(findHeader(world.headers, "Retry-After") == "0.600000");
    CHECK(world.calls.empty());
}

TEST_CASE("an unknown route gets 404, an unknown key 401, and neither reaches an endpoint")
{
    flow_fixture world(lookupRoute(), {"e1"});
    auto request = requestFor(lookupRoute());
    request->path = "/b/x";
    startFlow(world, request);
    CHECK(world.status == 404);
    request = requestFor(lookupRoute());
    request->key = "nobody's";
    startFlow(world, request);
    CHECK(world.status == 401);
    CHECK(world.calls.empty());
}

TEST_CASE("the customer, its priority and the remaining time are sent to the endpoint")
{
    flow_fixture world(fetchRoute(), {"e1"});
    auto request = requestFor(fetchRoute());
    request->patience = milliseconds(1500);
    startFlow(world, request);
    REQUIRE(world.calls.size() == 1);
    CHECK(world.calls[0].attempt.customer == "daan");
    CHECK(world.calls[0].attempt.priority == 3);
    CHECK(world.calls[0].attempt.remaining == milliseconds(1500));
    CHECK(world.calls[0].attempt.atMostOnce);
}

TEST_CASE("a complete answer is passed on unchanged")
{
    flow_fixture world(fetchRoute(), {"e1"});
    startFlow(world, requestFor(fetchRoute()));
    world.answer(0, 200);
    world.data(0, "abc");
    world.data(0, "def");
    world.end(0, call_end::complete);
    CHECK(world.status == 200);
    CHECK(world.body == "abcdef");
    CHECK(findHeader(world.headers, "X-From") == "e1");
    CHECK(world.record->reason == flow_reason::served);
}

TEST_CASE("an at-most-once request is not retried after it may have run")
{
    for (const call_end end : {call_end::broken, call_end::complete}) {
        flow_fixture world(fetchRoute(), {"e1", "e2"});
        startFlow(world, requestFor(fetchRoute()));
        if (end == call_end::complete)
            world.answer(0, 500);
        world.end(0, end);
        CHECK(world.calls.size() == 1);
        // After a broken connection the outcome is unknown; an error answer is passed on.
        CHECK(world.status == (end == call_end::broken ? 502 : 500));
        CHECK(findHeader(world.headers, "Retry-After").empty());
    }
}

TEST_CASE("a request that was not sent is retried elsewhere, even an at-most-once one")
{
    flow_fixture world(fetchRoute(), {"e1", "e2"});
    startFlow(world, requestFor(fetchRoute()));
    world.end(0, call_end::notSent);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[0].attempt.endpoint != world.calls[1].attempt.endpoint);
    world.end(1, call_end::notSent);
    CHECK(world.status == 503);
}

TEST_CASE("a refusal that states that the request has not run is passed on as 503")
{
    flow_fixture world(fetchRoute(), {"e1"});
    startFlow(world, requestFor(fetchRoute()));
    world.refuseNotRun(0);
    CHECK(world.status == 503);
    CHECK(findHeader(world.headers, "Retry-After") == "0.250000");
    CHECK(world.record->reason == flow_reason::refusedByEndpoints);
}

TEST_CASE("an endpoint with another process at its address is avoided for longer than a full one")
{
    for (const bool misdirected : {false, true}) {
        flow_fixture world(lookupRoute(), {"e1", "e2"});
        startFlow(world, requestFor(lookupRoute()));
        const endpoint_ptr asked = world.calls[0].attempt.endpoint;
        world.refuseNotRun(0, misdirected);
        CHECK(world.calls.size() == 2);
        world.runtime.advance(milliseconds(300));
        CHECK(asked->isAvoided(world.runtime.now()) == misdirected);
    }
}

TEST_CASE("a misdirected attempt does not count against the limit of endpoints")
{
    flow_fixture world(fetchRoute(), {"e1", "e2"});
    startFlow(world, requestFor(fetchRoute()));
    world.refuseNotRun(0, true);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[1].attempt.endpoint != world.calls[0].attempt.endpoint);
    // This attempt reached the intended endpoint, so its refusal is final.
    world.refuseNotRun(1);
    CHECK(world.calls.size() == 2);
    CHECK(world.status == 503);
}

TEST_CASE("a request that may have run gets 502, not a refusal as not run")
{
    flow_fixture world(lookupRoute(), {"e1", "e2"});
    startFlow(world, requestFor(lookupRoute()));
    world.end(0, call_end::broken);
    REQUIRE(world.calls.size() == 2);
    world.refuseNotRun(1);
    CHECK(world.status == 502);
}

TEST_CASE("a repeatable request is retried after silence, up to the limit of endpoints")
{
    flow_fixture world(lookupRoute(), {"e1", "e2"});
    startFlow(world, requestFor(lookupRoute()));
    world.runtime.advance(milliseconds(601));
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[0].cancelled);
    CHECK(world.openCalls() == 1);
    world.answer(1, 500);
    world.end(1, call_end::complete);
    CHECK(world.status == 500);
    CHECK(world.calls.size() == 2);
}

TEST_CASE("an unsigned or encoded success is treated as a broken attempt")
{
    for (const bool encoded : {false, true}) {
        flow_fixture world(fetchRoute(), {"e1"});
        startFlow(world, requestFor(fetchRoute()));
        proxy_answer answer;
        answer.status = 200;
        answer.signedByEndpoint = encoded;
        answer.encoded = encoded;
        world.calls[0].events.onAnswer(std::move(answer));
        CHECK(world.status == 502);
        CHECK(world.calls[0].cancelled);
    }
}

TEST_CASE("at the route's timeout the caller gets 504 at once")
{
    flow_fixture world(fetchRoute(), {"e1"});
    startFlow(world, requestFor(fetchRoute()));
    world.runtime.advance(milliseconds(3999));
    CHECK(world.status == 0);
    world.runtime.advance(milliseconds(1));
    CHECK(world.status == 504);
    CHECK(world.calls[0].cancelled);
}

TEST_CASE("the current attempt is cancelled when the caller disconnects")
{
    flow_fixture world(draftRoute(), {"e1"});
    const auto flow = startFlow(world, requestFor(draftRoute()));
    flow->callerLeft();
    CHECK(world.calls[0].cancelled);
    CHECK(flow->isDone());
    CHECK(world.routing.directory().all().at("e1")->running() == 0);
    CHECK(world.runtime.pending() == 0);
}

TEST_CASE("a stream passes on complete events and resumes after the last one")
{
    flow_fixture world(draftRoute(), {"e1", "e2"});
    startFlow(world, requestFor(draftRoute()));
    world.answer(0, 200, 90);
    world.data(0, eventText(1) + eventText(2) + "id: 3\nda");
    CHECK(world.body == eventText(1) + eventText(2));
    const std::string head(findHeader(world.headers, "X-From"));
    world.end(0, call_end::broken);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[1].attempt.afterEvent == 2);
    world.answer(1, 200, 90);
    world.data(1, eventText(2) + eventText(3));
    world.end(1, call_end::complete);
    CHECK(world.ended);
    CHECK(world.body == eventText(1) + eventText(2) + eventText(3));
    CHECK(findHeader(world.headers, "X-From") == head);
    CHECK(world.record->resumes == 1);
}

TEST_CASE("a stream that can't be resumed is aborted, so that it does not look complete")
{
    flow_fixture world(draftRoute(), {"e1"});
    startFlow(world, requestFor(draftRoute()));
    world.answer(0, 200, 90);
    world.data(0, eventText(1) + "id: 2");
    // No endpoint is left that could resume the stream.
    world.routing.directory().remove("e1", world.runtime.now());
    world.end(0, call_end::complete);
    CHECK(world.aborted);
    CHECK(!world.ended);
}

TEST_CASE("a paused stream is resumed elsewhere before the pause exceeds its limit")
{
    flow_fixture world(draftRoute(), {"e1", "e2"});
    startFlow(world, requestFor(draftRoute()));
    world.answer(0, 200, 90);
    world.data(0, eventText(1));
    world.runtime.advance(milliseconds(1000));
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[0].cancelled);
    CHECK(world.steps.back().first == attempt_end::silent);
    CHECK(world.steps.back().second == next_step::resumeElsewhere);
}

TEST_CASE("a low-confidence answer of the small model is replaced by the large model's")
{
    flow_fixture world(draftRoute(), {"e1"});
    startFlow(world, requestFor(draftRoute()));
    CHECK(world.calls[0].attempt.model == "small");
    world.answer(0, 200, 20);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[0].cancelled);
    CHECK(world.calls[1].attempt.model == "large");
    world.answer(1, 200, 10);
    world.data(1, eventText(1));
    world.end(1, call_end::complete);
    CHECK(world.ended);
    CHECK(world.record->escalations == 1);
}

TEST_CASE("a low-confidence answer is kept when the large model's would be late")
{
    // The small model reads 10,000 tokens in 100 ms; the large one costs ten times as much.
    struct row
    {
        unsigned tokens;
        milliseconds passed;
        bool asksAgain;
    };
    const row rows[] = {{10'000, milliseconds(100), true},
                        {40'000, milliseconds(100), false},
                        {10'000, milliseconds(1500), false}};
    for (const row &item : rows) {
        flow_fixture world(draftRoute(), {"e1", "e2"});
        world.routing.promptRate("small").note(10'000, 100);
        auto request = requestFor(draftRoute());
        request->promptTokens = item.tokens;
        startFlow(world, request);
        world.runtime.advance(item.passed);
        world.answer(world.calls.size() - 1, 200, 5);
        CHECK(world.record.has_value() == false);
        CHECK((world.calls.back().attempt.model == "large") == item.asksAgain);
        world.end(world.calls.size() - 1, call_end::broken);
        world.routing.directory().replaceAll({}, world.runtime.now());
        world.runtime.advance(milliseconds(20000));
        REQUIRE(world.record);
        CHECK((world.record->largerExpectedAt <= 1) == item.asksAgain);
    }
}

TEST_CASE("the record keeps the reason of the choice when an escalation is not carried out")
{
    flow_fixture world(draftRoute(), {"e1", "e2"});
    world.routing.promptRate("small").note(10'000, 100);
    auto request = requestFor(draftRoute());
    request->promptTokens = 40'000;
    startFlow(world, request);
    REQUIRE(world.calls.size() == 1);
    // The endpoint for the larger model would be chosen with the reason last_resort.
    for (const auto &[id, endpoint] : world.routing.directory().all())
        endpoint->unreachable(world.runtime.now());
    world.runtime.advance(milliseconds(100));
    world.answer(0, 200, 5);
    world.data(0, eventText(1));
    world.end(0, call_end::complete);
    REQUIRE(world.calls.size() == 1);
    REQUIRE(world.record);
    CHECK(world.record->choice == "least_cost");
}

TEST_CASE("a model that the caller requests is never replaced")
{
    flow_fixture world(draftRoute(), {"e1"});
    auto request = requestFor(draftRoute());
    request->anyModel = false;
    request->model = "middle";
    startFlow(world, request);
    CHECK(world.calls[0].attempt.model.empty());
    world.answer(0, 200, 0);
    CHECK(world.calls.size() == 1);
}

TEST_CASE("a stopping process ends its requests with 504")
{
    flow_fixture world(draftRoute(), {"e1"});
    const auto flow = startFlow(world, requestFor(draftRoute()));
    flow->giveUp();
    CHECK(world.status == 504);
    CHECK(world.record->reason == flow_reason::stopping);
}

TEST_CASE("a request that fails on the trial's endpoints is served by the settled version")
{
    flow_fixture world;
    world.useRoute(lookupRoute());
    world.addEndpoint("old", "pool", "v1");
    world.addEndpoint("new", "pool", "v2");
    rollout_tracker &rollouts = world.routing.rollouts("pool");
    rollouts.setOrder({"pool", "v2", seconds(20), 7});
    rollouts.setRow({7, "v2", rollout_stage::trial, milliseconds(1), milliseconds(1), 1.0});
    startFlow(world, requestFor(lookupRoute()));
    REQUIRE(world.calls.size() == 1);
    CHECK(world.calls[0].attempt.endpoint->record().id == "new");
    world.answer(0, 500);
    world.end(0, call_end::complete);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[1].attempt.endpoint->record().id == "old");
}

TEST_CASE("the only endpoint is tried again after a failure, and its error answer is passed on")
{
    flow_fixture world(lookupRoute(), {"e1"});
    startFlow(world, requestFor(lookupRoute()));
    world.answer(0, 500);
    world.end(0, call_end::complete);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[1].attempt.endpoint->record().id == "e1");
    world.answer(1, 500);
    world.end(1, call_end::complete);
    CHECK(world.status == 500);
}

TEST_CASE("an error answer is passed on unchanged when its endpoint was removed meanwhile")
{
    flow_fixture world(lookupRoute(), {"e1"});
    startFlow(world, requestFor(lookupRoute()));
    world.answer(0, 500);
    world.data(0, "why");
    world.routing.directory().remove("e1", world.runtime.now());
    world.end(0, call_end::complete);
    CHECK(world.status == 500);
    CHECK(world.body == "why");
}

TEST_CASE("an endpoint that reads another entry's long prompt is avoided, and sends are reported")
{
    for (const char *busy : {"e1", "e2"}) {
        flow_fixture world(lookupRoute(), {"e1", "e2"});
        std::vector<std::string> reported;
        world.routing.setSendListener(
                [&](const service_endpoint &endpoint, double, std::span<const prompt_prefix>) {
                    reported.push_back(endpoint.record().id);
                });
        const auto &all = world.routing.directory().all();
        all.at(busy)->beganElsewhere(milliseconds(400), world.runtime.now());
        startFlow(world, requestFor(lookupRoute()));
        REQUIRE(world.calls.size() == 1);
        CHECK(world.calls[0].attempt.endpoint->record().id != busy);
        CHECK(reported == std::vector<std::string>{world.calls[0].attempt.endpoint->record().id});
    }
}

TEST_CASE("a prompt is sent to the endpoint that keeps its shared part from another entry")
{
    const auto prompted = [] {
        auto request = requestFor(draftRoute());
        request->promptTokens = 12'000;
        request->promptParts = {{"shared", 10'000}, {"own", 2000}};
        return request;
    };
    std::vector<prompt_prefix> reported;
    flow_fixture sender(draftRoute(), {"e1"});
    sender.routing.setSendListener(
            [&](const service_endpoint &, double, std::span<const prompt_prefix> prefixes) {
                reported.assign(prefixes.begin(), prefixes.end());
            });
    startFlow(sender, prompted());
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].tokens == 10'000);
    for (const char *holder : {"e1", "e2", "e3"}) {
        flow_fixture world(draftRoute(), {"e1", "e2", "e3"});
        world.routing.noteSendElsewhere(holder, milliseconds(0), reported, world.runtime.now());
        world.routing.noteSendElsewhere("gone", milliseconds(0), reported, world.runtime.now());
        startFlow(world, prompted());
        REQUIRE(world.calls.size() == 1);
        CHECK(world.calls[0].attempt.endpoint->record().id == holder);
    }
}

TEST_CASE("an entry that shuts down refuses a request with a Retry-After")
{
    flow_fixture world(fetchRoute(), {"e1"});
    const auto flow
            = std::make_shared<fake_flow>(fake_environment{&world}, requestFor(fetchRoute()));
    flow->startDuringShutdown(world.runtime.now() + milliseconds(3900), milliseconds(1000));
    CHECK(world.status == 503);
    CHECK(findHeader(world.headers, "Retry-After") == "1.000000");
    CHECK(world.calls.empty());
    REQUIRE(world.record);
    CHECK(world.record->reason == flow_reason::stopping);
}

TEST_CASE("an entry that shuts down serves a request whose deadline is early enough")
{
    flow_fixture world(fetchRoute(), {"e1"});
    const auto flow
            = std::make_shared<fake_flow>(fake_environment{&world}, requestFor(fetchRoute()));
    flow->startDuringShutdown(world.runtime.now() + fetchRoute().timeout, milliseconds(1000));
    REQUIRE(world.calls.size() == 1);
    world.answer(0, 200);
    world.end(0, call_end::complete);
    CHECK(world.status == 200);
}

TEST_CASE("an entry that shuts down still answers an unknown route with 404")
{
    flow_fixture world(fetchRoute(), {"e1"});
    auto request = requestFor(fetchRoute());
    request->host = "elsewhere.example";
    const auto flow = std::make_shared<fake_flow>(fake_environment{&world}, request);
    flow->startDuringShutdown(world.runtime.now(), milliseconds(1000));
    CHECK(world.status == 404);
}

TEST_CASE("a stream is resumed in another data centre when its own one is lost")
{
    // Three local endpoints and one in another data centre, which costs more without failures.
    const service_route route = draftRoute();
    flow_fixture world(route, {"a1", "a2", "a3", "b1"});
    world.setDataCentre("b1", "other");
    const auto flow = startFlow(world, requestFor(route));
    world.answer(0, 200, 90);
    world.data(0, eventText(1));
    CHECK(world.calls[0].attempt.endpoint->record().dataCentre.empty());
    // The local data centre fails: the stream's connection is reset.
    world.end(0, call_end::broken);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[1].attempt.endpoint->record().id == "b1");
    world.answer(1, 200, 90);
    world.data(1, eventText(2));
    world.end(1, call_end::complete);
    CHECK(world.ended);
    CHECK(!world.aborted);
}

TEST_CASE("escalations are charged to the budget like repeats, and leave a part to repeats")
{
    // Guards against exceeding a service's bound on further sends, as users saw: while endpoints
    // hung and shed load, nearly every request was escalated to a larger model, and only its second
    // further send was charged.
    constexpr unsigned requests = 100;
    flow_fixture world(draftRoute(), {"e1", "e2", "e3", "e4"});
    routing_bounds bounds;
    bounds.repeats = {0.5, 0, seconds(10)};
    routing_state charged(bounds, {0, 50}, 1);
    charged.setContract(world.routing.contract());
    for (const auto &[id, endpoint] : world.routing.directory().all())
        charged.directory().apply(endpoint->record(), world.runtime.now());
    world.routing = std::move(charged);
    unsigned larger = 0;
    for (unsigned i = 0; i < requests; ++i) {
        startFlow(world, requestFor(draftRoute()));
        const std::size_t first = world.calls.size() - 1;
        world.answer(first, 200, 5);
        larger += world.calls.size() > first + 1 ? 1 : 0;
    }
    CHECK(larger > requests / 4);
    CHECK(larger < requests / 2);
    // The rest of the budget is left to requests whose endpoint broke off.
    unsigned repeats = 0;
    for (unsigned i = 0; i < requests / 20; ++i) {
        startFlow(world, requestFor(draftRoute()));
        const std::size_t first = world.calls.size() - 1;
        world.end(first, call_end::broken);
        repeats += world.calls.size() > first + 1 ? 1 : 0;
    }
    CHECK(repeats == requests / 20);
    CHECK(larger + repeats <= requests / 2);
}
