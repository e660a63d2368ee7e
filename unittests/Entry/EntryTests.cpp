//===-- EntryTests.cpp - session tokens, parsing, errors, guards ----------===//
//
// Tests the parts of an entry that need no other process.
//
//===----------------------------------------------------------------------===//
#include "Entry/CallerParser.h"
#include "laurelcroft/Entry/EntryErrors.h"
#include "laurelcroft/Entry/SessionToken.h"
#include "laurelcroft/Entry/VersionGuardSet.h"
#include "laurelcroft/Support/Crypto.h"
#include "laurelcroft/Support/Random.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

static const session_key oldKey{"k1", "an old secret of the tests"};
static const session_key newKey{"k2", "a new secret of the tests"};

static session exampleSession()
{
    return {"s1", "school", {{"m", "1"}}, 1000};
}

TEST_CASE("session tokens: encode, decode, rotate keys, expire")
{
    const session_token_codec codec({oldKey});
    const std::string token = codec.encode(exampleSession());
    CHECK(codec.decode(token, 999).value() == exampleSession());
    CHECK(codec.decode(token, 1000).error() == session_error::expired);
    const session_token_codec rotated({newKey, oldKey});
    CHECK(rotated.decode(token, 0));
    const session_token_codec withoutOldKey({newKey});
    CHECK(withoutOldKey.decode(token, 0).error() == session_error::unknownKey);
}

TEST_CASE("session tokens: forged or damaged tokens are refused")
{
    const session_token_codec codec({oldKey});
    const std::string token = codec.encode(exampleSession());
    const session_token_codec otherCodec({session_key{"k1", "another secret of the tests"}});
    CHECK(otherCodec.decode(token, 0).error() == session_error::forged);
    random_source random(2);
    for (int i = 0; i < 500; ++i) {
        std::string damaged = token;
        const std::size_t at = random.index(damaged.size());
        damaged[at] = damaged[at] == 'A' ? 'B' : 'A';
        CHECK_FALSE(codec.decode(damaged, 0));
    }
    CHECK(codec.decode("lcs1..", 0).error() == session_error::malformed);
    CHECK(parseSessionKeys("k1:short").empty());
    CHECK(parseSessionKeys("k1:0123456789abcdef,k2:0123456789abcdef").size() == 2);
}

static http_request chat(const std::string &body)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"authorization", "Bearer key-1"}};
    request.body = body;
    return request;
}

static std::string codeOf(const http_request &request)
{
    const auto parsed = parseCaller(request, {});
    return parsed ? "fine" : parsed.error().code;
}

TEST_CASE("callers' requests are parsed into typed messages")
{
    http_request request = chat(R"({"model":"m@2","stream":true,"max_tokens":7,"messages":[{}]})");
    request.headers.push_back({"Idempotency-Key", "i1"});
    request.headers.push_back({"X-Laurelcroft-Timeout-Ms", "1500"});
    request.headers.push_back({"X-Laurelcroft-Repeatable", "no"});
    const auto parsed = parseCaller(request, {});
    REQUIRE(parsed);
    const auto &run = std::get<caller_request>(parsed.value());
    CHECK(run.key == "key-1");
    CHECK(run.target == "m");
    CHECK(run.requestedVersion == "2");
    CHECK(run.stream);
    CHECK(run.outputTokens == 7);
    CHECK(run.idempotencyKey == "i1");
    CHECK(run.timeout == milliseconds(1500));
    CHECK_FALSE(run.repeatable);
}

TEST_CASE("each kind of invalid request has its own error code and is reported as not run")
{
    CHECK(codeOf(chat("not json")) == "bad_json");
    CHECK(codeOf(chat("[]")) == "bad_json");
    CHECK(codeOf(chat(R"({"messages":[{}]})")) == "bad_model");
    CHECK(codeOf(chat(R"({"model":"m","messages":[]})")) == "bad_messages");
    CHECK(codeOf(chat(R"({"model":"m","messages":[{}],"stream":1})")) == "bad_stream");
    CHECK(codeOf(chat(R"({"model":"m","messages":[{}],"max_tokens":-1})")) == "bad_max_tokens");
    CHECK(codeOf(chat(std::string(2 << 20, 'x'))) == "body_too_large");
    http_request get = chat("{}");
    get.method = "GET";
    CHECK(codeOf(get) == "bad_method");
    get.path = "/v2";
    CHECK(codeOf(get) == "unknown_path");
    http_request timeout = chat(R"({"model":"m","messages":[{}]})");
    timeout.headers.push_back({"X-Laurelcroft-Timeout-Ms", "soon"});
    CHECK(codeOf(timeout) == "bad_header");
    random_source random(6);
    const std::string good = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
    for (int i = 0; i < 300; ++i) {
        std::string damaged = good;
        damaged[random.index(damaged.size())] = static_cast<char>(random.index(256));
        const auto parsed = parseCaller(chat(damaged), {});
        if (!parsed)
            CHECK(parsed.error().ran == executed::no);
    }
}

TEST_CASE("errors have a common format and state when to retry")
{
    const whole_answer answer = errorAnswer(overloaded());
    CHECK(answer.status == 503);
    CHECK(findHeader(answer.headers, "retry-after") == "1");
    CHECK(answer.body.find("\"executed\":\"no\"") != std::string::npos);
    CHECK(answer.body.find("\"retry_after_ms\":250") != std::string::npos);
    CHECK(errorAnswer(badKey()).body.find("retry_after_ms") == std::string::npos);
}

TEST_CASE("customers are found by API key, and request ids are recognized by format")
{
    bundle rules;
    rules.customers = {{"a", sha256Hex("key-a"), "g", {}, 1, 1, 1, 0},
                       {"b", sha256Hex("key-b"), "g", {}, 1, 1, 1, 0}};
    CHECK(authenticate(rules, "key-b")->name == "b");
    CHECK(authenticate(rules, "key-c") == nullptr);
    CHECK(authenticate(rules, "") == nullptr);
    CHECK(isRequestId("r0123456789abcdef0123456789abcdef"));
    CHECK_FALSE(isRequestId("my-request"));
}

static bundle bundleWithRollout(std::uint32_t share)
{
    bundle rules;
    rules.rollouts = {{"m", "1", "2", share, {0.1, 0.001, 30}}};
    return rules;
}

TEST_CASE("guards detect a version that is bad for one group only")
{
    version_guard_set guards;
    guards.onBundle(bundleWithRollout(10));
    int answers = 0;
    while (!guards.isStopped("m") && answers < 2000) {
        const std::string group = answers % 10 == 0 ? "small" : "large";
        guards.add({"m", "1", group, evidence_kind::errors, true});
        guards.add({"m", "2", group, evidence_kind::errors, group == "large"});
        answers += 1;
    }
    CHECK(answers < 200);
}

TEST_CASE("guards stop a bad version once, and only a changed roll-out resumes it")
{
    version_guard_set guards;
    guards.onBundle(bundleWithRollout(10));
    int stops = 0;
    for (int i = 0; i < 100; ++i) {
        guards.add({"m", "1", "g", evidence_kind::errors, true});
        stops += guards.add({"m", "2", "g", evidence_kind::errors, i % 2 == 0}) ? 1 : 0;
    }
    CHECK(stops == 1);
    CHECK(guards.isStopped("m"));
    guards.onBundle(bundleWithRollout(10));
    CHECK(guards.isStopped("m"));
    guards.onBundle(bundleWithRollout(20));
    CHECK_FALSE(guards.isStopped("m"));
    CHECK(guards.stop("m", "2"));
    CHECK_FALSE(guards.stop("m", "2"));
    CHECK_FALSE(guards.stop("m", "1"));
}
