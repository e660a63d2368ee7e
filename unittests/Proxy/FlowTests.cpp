//===-- FlowTests.cpp - one request on the direct path ----------------------===//
//
// Every way in which an attempt ends, for each kind of request.
//
//===----------------------------------------------------------------------===//
#include "FlowWorld.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("without a contract a request is refused, truly and with a time to come back")
{
    flow_world world;
    startFlow(world, requestFor(lookupRoute()));
    CHECK(world.status == 503);
    CHECK(findHeader(world.headers, "Retry-After") == "0.600000");
    CHECK(world.calls.empty());
}

TEST_CASE("no route is 404, an unknown key is 401, and neither reaches an endpoint")
{
    flow_world world(lookupRoute(), {"e1"});
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

TEST_CASE("the customer, its priority and what is left of the time go to the endpoint")
{
    flow_world world(fetchRoute(), {"e1"});
    auto request = requestFor(fetchRoute());
    request->patience = milliseconds(1500);
    startFlow(world, request);
    REQUIRE(world.calls.size() == 1);
    CHECK(world.calls[0].attempt.customer == "daan");
    CHECK(world.calls[0].attempt.priority == 3);
    CHECK(world.calls[0].attempt.remaining == milliseconds(1500));
    CHECK(world.calls[0].attempt.atMostOnce);
}

TEST_CASE("a whole answer is passed on unchanged")
{
    flow_world world(fetchRoute(), {"e1"});
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

TEST_CASE("what may run only once is never sent again after it may have run")
{
    for (const call_end end : {call_end::broken, call_end::complete}) {
        flow_world world(fetchRoute(), {"e1", "e2"});
        startFlow(world, requestFor(fetchRoute()));
        if (end == call_end::complete)
            world.answer(0, 500);
        world.end(0, end);
        CHECK(world.calls.size() == 1);
        // Nothing is known after a break; the endpoint's own failure is passed on.
        CHECK(world.status == (end == call_end::broken ? 502 : 500));
        CHECK(findHeader(world.headers, "Retry-After").empty());
    }
}

TEST_CASE("what never left this process goes to another endpoint, whatever its kind")
{
    flow_world world(fetchRoute(), {"e1", "e2"});
    startFlow(world, requestFor(fetchRoute()));
    world.end(0, call_end::notSent);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[0].attempt.endpoint != world.calls[1].attempt.endpoint);
    world.end(1, call_end::notSent);
    CHECK(world.status == 503);
}

TEST_CASE("a refusal that the endpoint vouches for is passed on as a true one")
{
    flow_world world(fetchRoute(), {"e1"});
    startFlow(world, requestFor(fetchRoute()));
    world.refuseNotRun(0);
    CHECK(world.status == 503);
    CHECK(findHeader(world.headers, "Retry-After") == "0.250000");
    CHECK(world.record->reason == flow_reason::refusedByEndpoints);
}

TEST_CASE("an endpoint that lives no more at its address is left alone until its record goes")
{
    for (const bool misdirected : {false, true}) {
        flow_world world(lookupRoute(), {"e1", "e2"});
        startFlow(world, requestFor(lookupRoute()));
        const endpoint_ptr asked = world.calls[0].attempt.endpoint;
        world.refuseNotRun(0, misdirected);
        CHECK(world.calls.size() == 2);
        world.runtime.advance(milliseconds(300));
        CHECK(asked->isAvoided(world.runtime.now()) == misdirected);
    }
}

TEST_CASE("a request for one endpoint goes on when another process lives at the address")
{
    flow_world world(fetchRoute(), {"e1", "e2"});
    startFlow(world, requestFor(fetchRoute()));
    world.refuseNotRun(0, true);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[1].attempt.endpoint != world.calls[0].attempt.endpoint);
    // The one that is meant has it now: its refusal is the last word.
    world.refuseNotRun(1);
    CHECK(world.calls.size() == 2);
    CHECK(world.status == 503);
}

TEST_CASE("after a run anywhere, no refusal claims that there was none")
{
    flow_world world(lookupRoute(), {"e1", "e2"});
    startFlow(world, requestFor(lookupRoute()));
    world.end(0, call_end::broken);
    REQUIRE(world.calls.size() == 2);
    world.refuseNotRun(1);
    CHECK(world.status == 502);
}

TEST_CASE("a repeatable request moves on from a failure and from silence")
{
    flow_world world(lookupRoute(), {"e1", "e2"});
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

TEST_CASE("a success without the endpoint's mark, or in a coding, is no success")
{
    for (const bool encoded : {false, true}) {
        flow_world world(fetchRoute(), {"e1"});
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

TEST_CASE("at the route's timeout the final answer comes at once")
{
    flow_world world(fetchRoute(), {"e1"});
    startFlow(world, requestFor(fetchRoute()));
    world.runtime.advance(milliseconds(3999));
    CHECK(world.status == 0);
    world.runtime.advance(milliseconds(1));
    CHECK(world.status == 504);
    CHECK(world.calls[0].cancelled);
}

TEST_CASE("a caller that leaves stops what runs for it")
{
    flow_world world(draftRoute(), {"e1"});
    const auto flow = startFlow(world, requestFor(draftRoute()));
    flow->callerLeft();
    CHECK(world.calls[0].cancelled);
    CHECK(flow->isDone());
    CHECK(world.routing.directory().all().at("e1")->running() == 0);
    CHECK(world.runtime.pending() == 0);
}

TEST_CASE("a stream passes whole events on, and resumes after the last one")
{
    flow_world world(draftRoute(), {"e1", "e2"});
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

TEST_CASE("a stream that can't go on is cut, so that it never looks whole")
{
    flow_world world(draftRoute(), {"e1"});
    startFlow(world, requestFor(draftRoute()));
    world.answer(0, 200, 90);
    world.data(0, eventText(1) + "id: 2");
    // Its only endpoint is gone, so that there is nobody to resume it at.
    world.routing.directory().remove("e1", world.runtime.now());
    world.end(0, call_end::complete);
    CHECK(world.aborted);
    CHECK(!world.ended);
}

TEST_CASE("a pause in a stream moves it before the pause is too long")
{
    flow_world world(draftRoute(), {"e1", "e2"});
    startFlow(world, requestFor(draftRoute()));
    world.answer(0, 200, 90);
    world.data(0, eventText(1));
    world.runtime.advance(milliseconds(1000));
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[0].cancelled);
    CHECK(world.steps.back().first == attempt_end::silent);
    CHECK(world.steps.back().second == next_step::resumeElsewhere);
}

TEST_CASE("a doubtful answer of the small model is dropped for the large one's")
{
    flow_world world(draftRoute(), {"e1"});
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

TEST_CASE("a doubtful answer is kept when the large model's would be late")
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
        flow_world world(draftRoute(), {"e1", "e2"});
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

TEST_CASE("the log keeps why an endpoint was chosen when no larger model is asked after all")
{
    flow_world world(draftRoute(), {"e1", "e2"});
    world.routing.promptRate("small").note(10'000, 100);
    auto request = requestFor(draftRoute());
    request->promptTokens = 40'000;
    startFlow(world, request);
    REQUIRE(world.calls.size() == 1);
    // The choice for the larger model would be a last resort.
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

TEST_CASE("the caller's own model is never replaced")
{
    flow_world world(draftRoute(), {"e1"});
    auto request = requestFor(draftRoute());
    request->anyModel = false;
    request->model = "middle";
    startFlow(world, request);
    CHECK(world.calls[0].attempt.model.empty());
    world.answer(0, 200, 0);
    CHECK(world.calls.size() == 1);
}

TEST_CASE("a stopping process ends what it can't finish")
{
    flow_world world(draftRoute(), {"e1"});
    const auto flow = startFlow(world, requestFor(draftRoute()));
    flow->giveUp();
    CHECK(world.status == 504);
    CHECK(world.record->reason == flow_reason::stopping);
}

TEST_CASE("what fails on a trial's few endpoints is served by the settled version")
{
    flow_world world;
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

TEST_CASE("the only endpoint is asked again after a failure, and its own failure is passed on")
{
    flow_world world(lookupRoute(), {"e1"});
    startFlow(world, requestFor(lookupRoute()));
    world.answer(0, 500);
    world.end(0, call_end::complete);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[1].attempt.endpoint->record().id == "e1");
    world.answer(1, 500);
    world.end(1, call_end::complete);
    CHECK(world.status == 500);
}

TEST_CASE("a failure is passed on as it came when its endpoint has gone since")
{
    flow_world world(lookupRoute(), {"e1"});
    startFlow(world, requestFor(lookupRoute()));
    world.answer(0, 500);
    world.data(0, "why");
    world.routing.directory().remove("e1", world.runtime.now());
    world.end(0, call_end::complete);
    CHECK(world.status == 500);
    CHECK(world.body == "why");
}

TEST_CASE("an endpoint that reads another entry's long prompt is passed over, and sends are told")
{
    for (const char *busy : {"e1", "e2"}) {
        flow_world world(lookupRoute(), {"e1", "e2"});
        std::vector<std::string> told;
        world.routing.setSendListener(
                [&](const service_endpoint &endpoint, double, std::span<const prompt_prefix>) {
                    told.push_back(endpoint.record().id);
                });
        const auto &all = world.routing.directory().all();
        all.at(busy)->beganElsewhere(milliseconds(400), world.runtime.now());
        startFlow(world, requestFor(lookupRoute()));
        REQUIRE(world.calls.size() == 1);
        CHECK(world.calls[0].attempt.endpoint->record().id != busy);
        CHECK(told == std::vector<std::string>{world.calls[0].attempt.endpoint->record().id});
    }
}

TEST_CASE("a prompt goes where another entry's prompt left its shared part")
{
    const auto prompted = [] {
        auto request = requestFor(draftRoute());
        request->promptTokens = 12'000;
        request->promptParts = {{"shared", 10'000}, {"own", 2000}};
        return request;
    };
    std::vector<prompt_prefix> told;
    flow_world teller(draftRoute(), {"e1"});
    teller.routing.setSendListener(
            [&](const service_endpoint &, double, std::span<const prompt_prefix> prefixes) {
                told.assign(prefixes.begin(), prefixes.end());
            });
    startFlow(teller, prompted());
    REQUIRE(told.size() == 1);
    CHECK(told[0].tokens == 10'000);
    for (const char *keeper : {"e1", "e2", "e3"}) {
        flow_world world(draftRoute(), {"e1", "e2", "e3"});
        world.routing.noteSendElsewhere(keeper, milliseconds(0), told, world.runtime.now());
        world.routing.noteSendElsewhere("gone", milliseconds(0), told, world.runtime.now());
        startFlow(world, prompted());
        REQUIRE(world.calls.size() == 1);
        CHECK(world.calls[0].attempt.endpoint->record().id == keeper);
    }
}

TEST_CASE("an entry that ends refuses truly, with the time to come back, and asks no endpoint")
{
    flow_world world(fetchRoute(), {"e1"});
    const auto flow
            = std::make_shared<fake_flow>(fake_environment{&world}, requestFor(fetchRoute()));
    flow->startDuringShutdown(world.runtime.now() + milliseconds(3900), milliseconds(1000));
    CHECK(world.status == 503);
    CHECK(findHeader(world.headers, "Retry-After") == "1.000000");
    CHECK(world.calls.empty());
    REQUIRE(world.record);
    CHECK(world.record->reason == flow_reason::stopping);
}

TEST_CASE("an entry that ends still serves what is over before")
{
    flow_world world(fetchRoute(), {"e1"});
    const auto flow
            = std::make_shared<fake_flow>(fake_environment{&world}, requestFor(fetchRoute()));
    flow->startDuringShutdown(world.runtime.now() + fetchRoute().timeout, milliseconds(1000));
    REQUIRE(world.calls.size() == 1);
    world.answer(0, 200);
    world.end(0, call_end::complete);
    CHECK(world.status == 200);
}

TEST_CASE("an entry that ends says of an unknown route what it always says")
{
    flow_world world(fetchRoute(), {"e1"});
    auto request = requestFor(fetchRoute());
    request->host = "elsewhere.example";
    const auto flow = std::make_shared<fake_flow>(fake_environment{&world}, request);
    flow->startDuringShutdown(world.runtime.now(), milliseconds(1000));
    CHECK(world.status == 404);
}

TEST_CASE("a stream whose data centre is lost goes on in another one, with its last attempt")
{
    // Three endpoints here and one elsewhere; an endpoint elsewhere costs more while all is well.
    const service_route route = draftRoute();
    flow_world world(route, {"a1", "a2", "a3", "b1"});
    world.setDataCentre("b1", "other");
    const auto flow = startFlow(world, requestFor(route));
    world.answer(0, 200, 90);
    world.data(0, eventText(1));
    CHECK(world.calls[0].attempt.endpoint->record().dataCentre.empty());
    // All here reset their connections at once, and take none.
    world.end(0, call_end::broken);
    REQUIRE(world.calls.size() == 2);
    CHECK(world.calls[1].attempt.endpoint->record().id == "b1");
    world.answer(1, 200, 90);
    world.data(1, eventText(2));
    world.end(1, call_end::complete);
    CHECK(world.ended);
    CHECK(!world.aborted);
}

TEST_CASE("a larger model's send is charged like a repeat, and leaves repeats their part")
{
    // Users saw more further sends at a service than its bound: nearly each request got a larger
    // model while endpoints hung and shed, and only its second further send was charged.
    constexpr unsigned requests = 100;
    flow_world world(draftRoute(), {"e1", "e2", "e3", "e4"});
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
    // What is left is for requests whose endpoint broke off.
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
