//===-- AgentTests.cpp - tests of endpoint answers and costs ----------------===//
//
// The agent core is tested by test/FaultMatrix.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Agent/EndpointClient.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

static const std::string streamText
        = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
          "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,"
          "\"prompt_tokens_details\":{\"cached_tokens\":4}},\"confidence\":0.75}\n\n"
          "data: [DONE]\n\n";

TEST_CASE("events are parsed for any size of the pieces that they arrive in")
{
    for (std::size_t size = 1; size < streamText.size(); ++size) {
        event_reader reader;
        std::string passed;
        for (std::size_t at = 0; at < streamText.size(); at += size)
            passed += reader.feed(std::string_view(streamText).substr(at, size));
        CHECK(reader.sawEnd());
        CHECK(passed + "data: [DONE]\n\n" == streamText);
        CHECK(reader.usage().cached_tokens() == 4);
        CHECK(reader.score() == doctest::Approx(0.75));
    }
}

TEST_CASE("a stream without the [DONE] marker is incomplete")
{
    event_reader reader;
    reader.feed(std::string_view(streamText).substr(0, streamText.size() - 5));
    CHECK_FALSE(reader.sawEnd());
    CHECK(countEvents(streamText) == 3);
    CHECK(countEvents("") == 0);
}

TEST_CASE("readUsage reads a complete answer and rejects bodies without usage")
{
    wire::usage usage;
    double score = 0;
    CHECK(readUsage(R"({"usage":{"prompt_tokens":3,"completion_tokens":5},"confidence":0.5})",
                    usage, score));
    CHECK(usage.generated_tokens() == 5);
    CHECK_FALSE(readUsage("{}", usage, score));
    CHECK_FALSE(readUsage("no json", usage, score));
}

TEST_CASE("cached prompt tokens cost less and a service has a fixed cost per call")
{
    bundle rules;
    rules.models = {{"m", "p", 1, 10, {}}};
    rules.services = {{"s", "p", true, 0.25}};
    wire::bill_step step;
    step.set_target("m");
    step.mutable_usage()->set_prompt_tokens(1000);
    step.mutable_usage()->set_generated_tokens(100);
    CHECK(costOf(rules, step) == doctest::Approx(2.0));
    step.mutable_usage()->set_cached_tokens(1000);
    CHECK(costOf(rules, step) == doctest::Approx(1.1));
    step.set_target("s");
    CHECK(costOf(rules, step) == doctest::Approx(0.25));
}
