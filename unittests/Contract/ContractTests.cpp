//===-- ContractTests.cpp - bundles: parse, validate, compare, sign ---------===//
//
// Includes the example bundles of both users.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Contract/BundleText.h"
#include "laurelcroft/Contract/SignOff.h"
#include "laurelcroft/Support/Crypto.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <random>

using namespace laurelcroft;

static std::string readExample(const std::string &name)
{
    std::ifstream in(std::string(EXAMPLES_DIR) + "/" + name);
    return {std::istreambuf_iterator<char>(in), {}};
}

static bundle bureau()
{
    return parseBundle(readExample("bureau.yaml")).value();
}

TEST_CASE("the example bundles are valid and their canonical text is stable")
{
    for (const char *name : {"bureau.yaml", "kartvik.yaml"}) {
        CAPTURE(name);
        const auto parsed = parseBundle(readExample(name));
        REQUIRE(parsed);
        const std::string text = canonicalText(parsed.value());
        const auto again = parseBundle(text);
        REQUIRE(again);
        CHECK(again.value() == parsed.value());
        CHECK(canonicalText(again.value()) == text);
    }
}

TEST_CASE("every error is reported at once, with line and column")
{
    const auto parsed = parseBundle(R"(laurelcroft: 1
site: x
pools:
  - {name: p, kind: motor}
models:
  - name: m
    pool: nowhere
    input_cost: -1
    output_cost: 1
    versions: [{name: "1", state: rollout}]
    colour: red
customers:
  - {name: c, key_sha256: abc, group: g, allowed: [z], requests_per_second: 1, burst: 1, max_concurrent: 1}
)");
    REQUIRE_FALSE(parsed);
    const std::string text = describe(parsed.error());
    CHECK(text.find("4:21: pools[0].kind: must be one of engine, service") != std::string::npos);
    CHECK(text.find("models[0].pool: no pool is called 'nowhere'") != std::string::npos);
    CHECK(text.find("8:17: models[0].input_cost: must lie in 0..1e+06") != std::string::npos);
    CHECK(text.find("models[0].colour: unknown field") != std::string::npos);
    CHECK(text.find("'1' is in roll-out, but no roll-out leads to it") != std::string::npos);
    CHECK(text.find("customers[0].key_sha256: must be 64") != std::string::npos);
    CHECK(text.find("customers[0].allowed: 'z' is no model") != std::string::npos);
}

TEST_CASE("a customer with a cascade must be allowed a version of every tier")
{
    bundle rules = bureau();
    for (customer &who : rules.customers) {
        if (who.name == "family-portal")
            who.allowed = {"portal-small", "substitution"};
    }
    const auto parsed = parseBundle(canonicalText(rules));
    REQUIRE_FALSE(parsed);
    CHECK(describe(parsed.error()).find("'substitution' needs its tier 'timetable-large' as well")
          != std::string::npos);
}

TEST_CASE("corrupted text never crashes the parser")
{
    const std::string good = readExample("bureau.yaml");
    std::mt19937 random(7);
    for (int i = 0; i < 400; ++i) {
        std::string text = good;
        for (int k = 0; k < 4; ++k)
            text[random() % text.size()] = static_cast<char>(random() % 256);
        text.resize(random() % text.size() + 1);
        const auto parsed = parseBundle(text);
        if (!parsed)
            CHECK_FALSE(parsed.error().empty());
    }
    CHECK_FALSE(parseBundle(std::string(100000, '[')));
    CHECK_FALSE(parseBundle(std::string(maxBundleBytes + 1, ' ')));
}

TEST_CASE("permissions: allowed names, versions, and never a withdrawn one")
{
    bundle rules = bureau();
    const customer &portal = *rules.findCustomer("family-portal");
    CHECK(mayUse(rules, portal, "portal-small", "3.1"));
    CHECK_FALSE(mayUse(rules, portal, "publish-week", ""));
    CHECK_FALSE(mayUse(rules, portal, "portal-small", "9"));
    rules.models[1].versions[0].state = version_state::withdrawn;
    CHECK_FALSE(mayUse(rules, portal, "portal-small", "3.1"));
    CHECK_FALSE(mayUseAnyVersion(rules, portal, "portal-small"));
}

TEST_CASE("a diff lists each change and the customers affected")
{
    const bundle before = bureau();
    bundle after = before;
    CHECK(diffBundles(before, after).empty());
    after.models[0].versions[1].state = version_state::withdrawn;
    after.rollouts.clear();
    after.customers[0].allowed.pop_back();
    const auto lines = diffBundles(before, after);
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].find("version timetable-large@2026.10 goes from rollout to withdrawn")
          != std::string::npos);
    CHECK(lines[0].find("bureau-office") != std::string::npos);
    CHECK(lines[1] == "roll-out of timetable-large to 2026.10 ends");
    CHECK(lines[2] == "customer bureau-office may no longer use publish-week");
}

TEST_CASE("sign-off needs enough distinct trusted keys")
{
    const signing_key a = makeSigningKey();
    const signing_key b = makeSigningKey();
    acceptance accepted;
    accepted.epoch = 3;
    accepted.hash = bundleHash(bureau());
    accepted.operationId = "o";
    const auto sign = [&](const signing_key &key) {
        return bundle_signature{key.publicHex,
                                *signEd25519(key.secretHex, signedText(accepted.hash))};
    };
    const signoff_rule rule{{a.publicHex, b.publicHex}, 2};
    accepted.signatures = {sign(a), sign(a)};
    CHECK_FALSE(isSignedOff(accepted, rule));
    accepted.signatures = {sign(a), sign(makeSigningKey())};
    CHECK_FALSE(isSignedOff(accepted, rule));
    accepted.signatures = {sign(a), sign(b)};
    CHECK(isSignedOff(accepted, rule));
    CHECK(decodeAcceptance(encodeAcceptance(accepted)) == accepted);
    accepted.hash[0] = accepted.hash[0] == '0' ? '1' : '0';
    CHECK_FALSE(isSignedOff(accepted, rule));
    CHECK_FALSE(decodeAcceptance("{}"));
    CHECK_FALSE(decodeAcceptance("not json"));
}
