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
    flow_fixture fixture;
    startFlow(fixture, requestFor(lookupRoute()));
    CHECK(fixture.status == 503);
    CHECK(findHeader(fixture.headers, "Retry-After") == "0.600000");
    CHECK(fixture.calls.empty());
}

TEST_CASE("an unknown route gets 404, an unknown key 401, and neither reaches an endpoint")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    auto request = requestFor(lookupRoute());
    request->path = "/b/x";
    startFlow(fixture, request);
    CHECK(fixture.status == 404);
    request = requestFor(lookupRoute());
    request->key = "nobody's";
    startFlow(fixture, request);
    CHECK(fixture.status == 401);
    CHECK(fixture.calls.empty());
}

TEST_CASE("the customer, its priority and the remaining time are sent to the endpoint")
{
    flow_fixture fixture(fetchRoute(), {"e1"});
    auto request = requestFor(fetchRoute());
    request->callerTimeout = milliseconds(1500);
    startFlow(fixture, request);
    REQUIRE(fixture.calls.size() == 1);
    CHECK(fixture.calls[0].attempt.customer == "daan");
    CHECK(fixture.calls[0].attempt.priority == 3);
    CHECK(fixture.calls[0].attempt.remaining == milliseconds(1500));
    CHECK(fixture.calls[0].attempt.atMostOnce);
}

TEST_CASE("a complete answer is passed on unchanged")
{
    flow_fixture fixture(fetchRoute(), {"e1"});
    startFlow(fixture, requestFor(fetchRoute()));
    fixture.answer(0, 200);
    fixture.data(0, "abc");
    fixture.data(0, "def");
    fixture.end(0, call_end::complete);
    CHECK(fixture.status == 200);
    CHECK(fixture.body == "abcdef");
    CHECK(findHeader(fixture.headers, "X-From") == "e1");
    CHECK(fixture.record->reason == flow_reason::served);
}

TEST_CASE("an at-most-once request is not retried after it may have run")
{
    for (const call_end end : {call_end::broken, call_end::complete}) {
        flow_fixture fixture(fetchRoute(), {"e1", "e2"});
        startFlow(fixture, requestFor(fetchRoute()));
        if (end == call_end::complete)
            fixture.answer(0, 500);
        fixture.end(0, end);
        CHECK(fixture.calls.size() == 1);
        // After a broken connection the outcome is unknown; an error answer is passed on.
        CHECK(fixture.status == (end == call_end::broken ? 502 : 500));
        CHECK(findHeader(fixture.headers, "Retry-After").empty());
    }
}

TEST_CASE("a request that was not sent is retried elsewhere, even an at-most-once one")
{
    flow_fixture fixture(fetchRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(fetchRoute()));
    fixture.end(0, call_end::notSent);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[0].attempt.endpoint != fixture.calls[1].attempt.endpoint);
    fixture.end(1, call_end::notSent);
    CHECK(fixture.status == 503);
}

TEST_CASE("a refusal that states that the request has not run is passed on as 503")
{
    flow_fixture fixture(fetchRoute(), {"e1"});
    startFlow(fixture, requestFor(fetchRoute()));
    fixture.refuseNotRun(0);
    CHECK(fixture.status == 503);
    CHECK(findHeader(fixture.headers, "Retry-After") == "0.250000");
    CHECK(fixture.record->reason == flow_reason::refusedByEndpoints);
}

TEST_CASE("an endpoint with another process at its address is avoided for longer than a full one")
{
    for (const bool misdirected : {false, true}) {
        flow_fixture fixture(lookupRoute(), {"e1", "e2"});
        startFlow(fixture, requestFor(lookupRoute()));
        const endpoint_ptr asked = fixture.calls[0].attempt.endpoint;
        fixture.refuseNotRun(0, misdirected);
        CHECK(fixture.calls.size() == 2);
        fixture.runtime.advance(milliseconds(300));
        CHECK(asked->isAvoided(fixture.runtime.now()) == misdirected);
    }
}

TEST_CASE("a misdirected attempt does not count against the limit of endpoints")
{
    flow_fixture fixture(fetchRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(fetchRoute()));
    fixture.refuseNotRun(0, true);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[1].attempt.endpoint != fixture.calls[0].attempt.endpoint);
    // This attempt reached the intended endpoint, so its refusal is final.
    fixture.refuseNotRun(1);
    CHECK(fixture.calls.size() == 2);
    CHECK(fixture.status == 503);
}

TEST_CASE("a request that may have run gets 502, not a refusal as not run")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.end(0, call_end::broken);
    REQUIRE(fixture.calls.size() == 2);
    fixture.refuseNotRun(1);
    CHECK(fixture.status == 502);
}

TEST_CASE("a repeatable request is retried after silence, up to the limit of endpoints")
{
    flow_fixture fixture(lookupRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.runtime.advance(milliseconds(601));
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[0].cancelled);
    CHECK(fixture.openCalls() == 1);
    fixture.answer(1, 500);
    fixture.end(1, call_end::complete);
    CHECK(fixture.status == 500);
    CHECK(fixture.calls.size() == 2);
}

TEST_CASE("an unsigned or encoded success is treated as a broken attempt")
{
    for (const bool encoded : {false, true}) {
        flow_fixture fixture(fetchRoute(), {"e1"});
        startFlow(fixture, requestFor(fetchRoute()));
        proxy_answer answer;
        answer.status = 200;
        answer.signedByEndpoint = encoded;
        answer.encoded = encoded;
        fixture.calls[0].events.onAnswer(std::move(answer));
        CHECK(fixture.status == 502);
        CHECK(fixture.calls[0].cancelled);
    }
}

TEST_CASE("at the route's timeout the caller gets 504 at once")
{
    flow_fixture fixture(fetchRoute(), {"e1"});
    startFlow(fixture, requestFor(fetchRoute()));
    fixture.runtime.advance(milliseconds(3999));
    CHECK(fixture.status == 0);
    fixture.runtime.advance(milliseconds(1));
    CHECK(fixture.status == 504);
    CHECK(fixture.calls[0].cancelled);
}

TEST_CASE("the current attempt is cancelled when the caller disconnects")
{
    flow_fixture fixture(draftRoute(), {"e1"});
    const auto flow = startFlow(fixture, requestFor(draftRoute()));
    flow->callerLeft();
    CHECK(fixture.calls[0].cancelled);
    CHECK(flow->isDone());
    CHECK(fixture.routing.directory().all().at("e1")->running() == 0);
    CHECK(fixture.runtime.pending() == 0);
}

TEST_CASE("a stream passes on complete events and resumes after the last one")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(draftRoute()));
    fixture.answer(0, 200, 90);
    fixture.data(0, eventText(1) + eventText(2) + "id: 3\nda");
    CHECK(fixture.body == eventText(1) + eventText(2));
    const std::string head(findHeader(fixture.headers, "X-From"));
    fixture.end(0, call_end::broken);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[1].attempt.afterEvent == 2);
    fixture.answer(1, 200, 90);
    fixture.data(1, eventText(2) + eventText(3));
    fixture.end(1, call_end::complete);
    CHECK(fixture.ended);
    CHECK(fixture.body == eventText(1) + eventText(2) + eventText(3));
    CHECK(findHeader(fixture.headers, "X-From") == head);
    CHECK(fixture.record->resumes == 1);
}

TEST_CASE("a stream that can't be resumed is aborted, so that it does not look complete")
{
    flow_fixture fixture(draftRoute(), {"e1"});
    startFlow(fixture, requestFor(draftRoute()));
    fixture.answer(0, 200, 90);
    fixture.data(0, eventText(1) + "id: 2");
    // No endpoint is left that could resume the stream.
    fixture.routing.directory().remove("e1", fixture.runtime.now());
    fixture.end(0, call_end::complete);
    CHECK(fixture.aborted);
    CHECK(!fixture.ended);
}

TEST_CASE("a paused stream is resumed elsewhere before the pause exceeds its limit")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    startFlow(fixture, requestFor(draftRoute()));
    fixture.answer(0, 200, 90);
    fixture.data(0, eventText(1));
    fixture.runtime.advance(milliseconds(1000));
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[0].cancelled);
    CHECK(fixture.steps.back().first == attempt_end::silent);
    CHECK(fixture.steps.back().second == next_step::resumeElsewhere);
}

TEST_CASE("a low-confidence answer of the small model is replaced by the large model's")
{
    flow_fixture fixture(draftRoute(), {"e1"});
    startFlow(fixture, requestFor(draftRoute()));
    CHECK(fixture.calls[0].attempt.model == "small");
    fixture.answer(0, 200, 20);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[0].cancelled);
    CHECK(fixture.calls[1].attempt.model == "large");
    fixture.answer(1, 200, 10);
    fixture.data(1, eventText(1));
    fixture.end(1, call_end::complete);
    CHECK(fixture.ended);
    CHECK(fixture.record->escalations == 1);
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
        flow_fixture fixture(draftRoute(), {"e1", "e2"});
        fixture.routing.promptRate("small").addSample(10'000, 100);
        auto request = requestFor(draftRoute());
        request->promptTokens = item.tokens;
        startFlow(fixture, request);
        fixture.runtime.advance(item.passed);
        fixture.answer(fixture.calls.size() - 1, 200, 5);
        CHECK(fixture.record.has_value() == false);
        CHECK((fixture.calls.back().attempt.model == "large") == item.asksAgain);
        fixture.end(fixture.calls.size() - 1, call_end::broken);
        fixture.routing.directory().replaceAll({}, fixture.runtime.now());
        fixture.runtime.advance(milliseconds(20000));
        REQUIRE(fixture.record);
        CHECK((fixture.record->largerExpectedAt <= 1) == item.asksAgain);
    }
}

TEST_CASE("the record keeps the reason of the choice when an escalation is not carried out")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2"});
    fixture.routing.promptRate("small").addSample(10'000, 100);
    auto request = requestFor(draftRoute());
    request->promptTokens = 40'000;
    startFlow(fixture, request);
    REQUIRE(fixture.calls.size() == 1);
    // The endpoint for the larger model would be chosen with the reason last_resort.
    for (const auto &[id, endpoint] : fixture.routing.directory().all())
        endpoint->recordUnreachable(fixture.runtime.now());
    fixture.runtime.advance(milliseconds(100));
    fixture.answer(0, 200, 5);
    fixture.data(0, eventText(1));
    fixture.end(0, call_end::complete);
    REQUIRE(fixture.calls.size() == 1);
    REQUIRE(fixture.record);
    CHECK(fixture.record->choice == "least_cost");
}

TEST_CASE("a model that the caller requests is never replaced")
{
    flow_fixture fixture(draftRoute(), {"e1"});
    auto request = requestFor(draftRoute());
    request->anyModel = false;
    request->model = "middle";
    startFlow(fixture, request);
    CHECK(fixture.calls[0].attempt.model.empty());
    fixture.answer(0, 200, 0);
    CHECK(fixture.calls.size() == 1);
}

TEST_CASE("a stopping process ends its requests with 504")
{
    flow_fixture fixture(draftRoute(), {"e1"});
    const auto flow = startFlow(fixture, requestFor(draftRoute()));
    flow->giveUp();
    CHECK(fixture.status == 504);
    CHECK(fixture.record->reason == flow_reason::stopping);
}

TEST_CASE("a request that fails on the trial's endpoints is served by the settled version")
{
    flow_fixture fixture;
    fixture.useRoute(lookupRoute());
    fixture.addEndpoint("old", "pool", "v1");
    fixture.addEndpoint("new", "pool", "v2");
    rollout_tracker &rollouts = fixture.routing.rollouts("pool");
    rollouts.setOrder({"pool", "v2", seconds(20), 7});
    rollouts.setRow({7, "v2", rollout_stage::trial, milliseconds(1), milliseconds(1), 1.0});
    startFlow(fixture, requestFor(lookupRoute()));
    REQUIRE(fixture.calls.size() == 1);
    CHECK(fixture.calls[0].attempt.endpoint->record().id == "new");
    fixture.answer(0, 500);
    fixture.end(0, call_end::complete);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[1].attempt.endpoint->record().id == "old");
}

TEST_CASE("the only endpoint is tried again after a failure, and its error answer is passed on")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 500);
    fixture.end(0, call_end::complete);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[1].attempt.endpoint->record().id == "e1");
    fixture.answer(1, 500);
    fixture.end(1, call_end::complete);
    CHECK(fixture.status == 500);
}

TEST_CASE("an error answer is passed on unchanged when its endpoint was removed meanwhile")
{
    flow_fixture fixture(lookupRoute(), {"e1"});
    startFlow(fixture, requestFor(lookupRoute()));
    fixture.answer(0, 500);
    fixture.data(0, "why");
    fixture.routing.directory().remove("e1", fixture.runtime.now());
    fixture.end(0, call_end::complete);
    CHECK(fixture.status == 500);
    CHECK(fixture.body == "why");
}

TEST_CASE("an endpoint that reads another entry's long prompt is avoided, and sends are reported")
{
    for (const char *busy : {"e1", "e2"}) {
        flow_fixture fixture(lookupRoute(), {"e1", "e2"});
        std::vector<std::string> reported;
        fixture.routing.setSendListener(
                [&](const service_endpoint &endpoint, double, std::span<const prompt_prefix>) {
                    reported.push_back(endpoint.record().id);
                });
        const auto &all = fixture.routing.directory().all();
        all.at(busy)->addRemotePrefill(milliseconds(400), fixture.runtime.now());
        startFlow(fixture, requestFor(lookupRoute()));
        REQUIRE(fixture.calls.size() == 1);
        CHECK(fixture.calls[0].attempt.endpoint->record().id != busy);
        CHECK(reported == std::vector<std::string>{fixture.calls[0].attempt.endpoint->record().id});
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
        flow_fixture fixture(draftRoute(), {"e1", "e2", "e3"});
        fixture.routing.noteSendElsewhere(holder, milliseconds(0), reported, fixture.runtime.now());
        fixture.routing.noteSendElsewhere("gone", milliseconds(0), reported, fixture.runtime.now());
        startFlow(fixture, prompted());
        REQUIRE(fixture.calls.size() == 1);
        CHECK(fixture.calls[0].attempt.endpoint->record().id == holder);
    }
}

TEST_CASE("an entry that shuts down refuses a request with a Retry-After")
{
    flow_fixture fixture(fetchRoute(), {"e1"});
    const auto flow
            = std::make_shared<fake_flow>(fake_environment{&fixture}, requestFor(fetchRoute()));
    flow->startDuringShutdown(fixture.runtime.now() + milliseconds(3900), milliseconds(1000));
    CHECK(fixture.status == 503);
    CHECK(findHeader(fixture.headers, "Retry-After") == "1.000000");
    CHECK(fixture.calls.empty());
    REQUIRE(fixture.record);
    CHECK(fixture.record->reason == flow_reason::stopping);
}

TEST_CASE("an entry that shuts down serves a request whose deadline is early enough")
{
    flow_fixture fixture(fetchRoute(), {"e1"});
    const auto flow
            = std::make_shared<fake_flow>(fake_environment{&fixture}, requestFor(fetchRoute()));
    flow->startDuringShutdown(fixture.runtime.now() + fetchRoute().timeout, milliseconds(1000));
    REQUIRE(fixture.calls.size() == 1);
    fixture.answer(0, 200);
    fixture.end(0, call_end::complete);
    CHECK(fixture.status == 200);
}

TEST_CASE("an entry that shuts down still answers an unknown route with 404")
{
    flow_fixture fixture(fetchRoute(), {"e1"});
    auto request = requestFor(fetchRoute());
    request->host = "elsewhere.example";
    const auto flow = std::make_shared<fake_flow>(fake_environment{&fixture}, request);
    flow->startDuringShutdown(fixture.runtime.now(), milliseconds(1000));
    CHECK(fixture.status == 404);
}

TEST_CASE("a stream is resumed in another data centre when its own one is lost")
{
    // Three local endpoints and one in another data centre, which costs more without failures.
    const service_route route = draftRoute();
    flow_fixture fixture(route, {"a1", "a2", "a3", "b1"});
    fixture.setDataCentre("b1", "other");
    const auto flow = startFlow(fixture, requestFor(route));
    fixture.answer(0, 200, 90);
    fixture.data(0, eventText(1));
    CHECK(fixture.calls[0].attempt.endpoint->record().dataCentre.empty());
    // The local data centre fails: the stream's connection is reset.
    fixture.end(0, call_end::broken);
    REQUIRE(fixture.calls.size() == 2);
    CHECK(fixture.calls[1].attempt.endpoint->record().id == "b1");
    fixture.answer(1, 200, 90);
    fixture.data(1, eventText(2));
    fixture.end(1, call_end::complete);
    CHECK(fixture.ended);
    CHECK(!fixture.aborted);
}

TEST_CASE("escalations are charged to the budget like repeats, and leave a part to repeats")
{
    // Guards against exceeding a service's bound on further sends, as users saw: while endpoints
    // hung and shed load, nearly every request was escalated to a larger model, and only its second
    // further send was charged.
    constexpr unsigned requests = 100;
    flow_fixture fixture(draftRoute(), {"e1", "e2", "e3", "e4"});
    routing_bounds bounds;
    bounds.repeats = {0.5, 0, seconds(10)};
    routing_state charged(bounds, {0, 50}, 1);
    charged.setContract(fixture.routing.contract());
    for (const auto &[id, endpoint] : fixture.routing.directory().all())
        charged.directory().apply(endpoint->record(), fixture.runtime.now());
    fixture.routing = std::move(charged);
    unsigned larger = 0;
    for (unsigned i = 0; i < requests; ++i) {
        startFlow(fixture, requestFor(draftRoute()));
        const std::size_t first = fixture.calls.size() - 1;
        fixture.answer(first, 200, 5);
        larger += fixture.calls.size() > first + 1 ? 1 : 0;
    }
    CHECK(larger > requests / 4);
    CHECK(larger < requests / 2);
    // The rest of the budget is left to requests whose endpoint broke off.
    unsigned repeats = 0;
    for (unsigned i = 0; i < requests / 20; ++i) {
        startFlow(fixture, requestFor(draftRoute()));
        const std::size_t first = fixture.calls.size() - 1;
        fixture.end(first, call_end::broken);
        repeats += fixture.calls.size() > first + 1 ? 1 : 0;
    }
    CHECK(repeats == requests / 20);
    CHECK(larger + repeats <= requests / 2);
}
