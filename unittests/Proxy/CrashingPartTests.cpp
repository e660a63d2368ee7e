//===-- CrashingPartTests.cpp - prompt parts that crash endpoints -----------===//
//
// Guards against a part of prompts that crashes every endpoint that begins to answer a request with
// it. No two of these requests are alike in anything but that part, and harmless requests share
// their other parts and their caller.
//
//===----------------------------------------------------------------------===//
#include "CrashFixture.h"
#include "FlowFixture.h"

#include <doctest/doctest.h>

#include <vector>

using namespace laurelcroft;

namespace {

constexpr std::size_t crashesToDetect = 5;
constexpr unsigned maxLaterArrivals = 3;
constexpr milliseconds crasherInterval{150};
/// From the start until harmless requests have to be served as usual: the crashes until the part is
/// found, and twice the detection time.
constexpr seconds recoveryTime{8};
constexpr double minServedAfterwards = 0.97;

const prompt_part sharedPart{"5c1e07a2", 800};
const prompt_part crashingPart{"bad0bad0", 400};
const prompt_part subjectPart{"91bd3f06", 410};

/// Makes all crashing requests differ in all but \p parts.
void usePart(crash_fixture &fixture, const std::vector<prompt_part> &parts)
{
    fixture.crashers = 1'000'000;
    fixture.crasherParts = parts;
    fixture.othersParts = {sharedPart, subjectPart};
}

/// \returns the share of harmless requests that are served from the recovery on.
double servedAfterRecovery(crash_fixture &fixture, milliseconds crashPause)
{
    fixture.simulate(recoveryTime, crashPause);
    CHECK(fixture.outcomes["others"].withheld == 0);
    fixture.outcomes.clear();
    fixture.simulate(seconds(12), crashPause);
    CHECK(fixture.outcomes["others"].withheld == 0);
    return fixture.outcomes["others"].share();
}

/// Checks that the part is found in time.
/// \returns the share of harmless requests that are served afterwards.
double servedAfterDetection(crash_fixture &fixture)
{
    const double served = servedAfterRecovery(fixture, crasherInterval);
    CHECK(fixture.endedAt.size() >= 3);
    CHECK(fixture.laterArrivals(crashesToDetect) <= maxLaterArrivals);
    CHECK(fixture.outcomes["crasher"].withheld > 0);
    return served;
}

/// Checks that the part is found in time and that harmless requests are served afterwards.
void checkPart(crash_fixture &fixture)
{
    CHECK(servedAfterDetection(fixture) >= minServedAfterwards);
}

} // namespace

TEST_CASE("requests that share only a crashing prompt part are withheld, for any number of entries")
{
    for (const std::size_t entryCount : {3, 12, 100}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            CAPTURE(entryCount);
            CAPTURE(seed);
            crash_fixture fixture(entryCount, seed);
            usePart(fixture, {sharedPart, crashingPart});
            checkPart(fixture);
        }
    }
}

TEST_CASE("a crashing prompt part is found as the first part and beside parts that others share")
{
    const std::vector<std::vector<prompt_part>> prompts{
            {crashingPart, sharedPart},
            {sharedPart, crashingPart, subjectPart},
            {sharedPart, subjectPart, crashingPart},
    };
    for (const std::size_t entryCount : {3, 100}) {
        for (const std::vector<prompt_part> &prompt : prompts) {
            CAPTURE(entryCount);
            CAPTURE(prompt.front().id);
            crash_fixture fixture(entryCount);
            usePart(fixture, prompt);
            checkPart(fixture);
        }
    }
}

TEST_CASE("a crashing prompt part is found without the store, and when datagrams are lost")
{
    for (const std::size_t entryCount : {3, 12, 100}) {
        CAPTURE(entryCount);
        crash_fixture lossy(entryCount);
        lossy.lostDatagrams = 0.3;
        usePart(lossy, {sharedPart, crashingPart});
        checkPart(lossy);

        crash_fixture without(entryCount);
        without.entries.store.away = true;
        usePart(without, {sharedPart, crashingPart});
        without.simulate(seconds(8), crasherInterval);
        CHECK(without.laterArrivals(crashesToDetect) <= maxLaterArrivals);
        CHECK(without.outcomes["others"].withheld == 0);
    }
}

TEST_CASE("a crashing prompt part is found while endpoints also crash without a cause")
{
    // The unrelated crashes alone interrupt harmless requests, so these are compared with plays
    // without the crashing part.
    constexpr std::uint64_t seeds = 5;
    constexpr double maxLoss = 1 - minServedAfterwards;
    for (const std::size_t entryCount : {3, 12, 100}) {
        CAPTURE(entryCount);
        double servedBeside = 0;
        double servedWithout = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(seed);
            crash_fixture beside(entryCount, seed);
            beside.unrelatedCrashInterval = milliseconds(500);
            usePart(beside, {sharedPart, crashingPart});
            servedBeside += servedAfterDetection(beside);

            crash_fixture without(entryCount, seed);
            without.unrelatedCrashInterval = milliseconds(500);
            usePart(without, {});
            servedWithout += servedAfterRecovery(without, milliseconds(0));
        }
        CHECK(servedBeside / seeds >= servedWithout / seeds - maxLoss);
    }
}

TEST_CASE("no prompt part is withheld when endpoints crash without a cause")
{
    // Eight of 24 endpoints crash each second, and all requests share all parts but the last.
    for (const std::size_t entryCount : {3, 12, 100}) {
        for (const std::uint64_t seed : {1, 2, 3, 4}) {
            CAPTURE(entryCount);
            CAPTURE(seed);
            crash_fixture fixture(entryCount, seed);
            fixture.unrelatedCrashInterval = milliseconds(130);
            fixture.othersParts = {sharedPart, subjectPart};
            fixture.simulate(seconds(20), milliseconds(0));
            CHECK(fixture.outcomes["others"].withheld == 0);
            for (fleet_entry &entry : fixture.entries.entries)
                CHECK(entry.routing.suspects().withheld().empty());
        }
    }
}

TEST_CASE("a prompt part that crashes endpoints for one customer is not withheld from another")
{
    flow_fixture fixture(draftRoute(), {"e1", "e2", "e3"});
    crash_watch &crashes = fixture.routing.crashes();
    const auto request = requestFor(draftRoute());
    request->promptParts = {crashingPart, {"own", 100}};
    const auto sendFor = [&](const std::string &customer, unsigned number) {
        const auto item = std::make_shared<proxy_request>(*request);
        item->body = customer + std::to_string(number);
        endpoint_record record;
        record.id = "gone" + item->body;
        record.service = "pool";
        record.softwareVersion = "v1";
        const auto run = crashes.runs().add(record.id, item, fixture.runtime.now());
        run->partKeys = partKeysOf(*item, customer);
        fixture.runtime.advance(milliseconds(150));
        crashes.endpointEnded(service_endpoint(record), fixture.runtime.now());
    };
    const auto isWithheldFrom = [&](const std::string &customer) {
        const std::vector<request_key> keys = partKeysOf(*request, customer);
        return crashes.suspects().withholdingKey(keys, "v1", fixture.runtime.now()).has_value();
    };
    for (unsigned i = 0; i < 4; ++i)
        sendFor("first", i);
    CHECK(isWithheldFrom("first"));
    CHECK_FALSE(isWithheldFrom("second"));
    // The second customer's request is tried, and shows that the part alone is the cause.
    sendFor("second", 0);
    CHECK(isWithheldFrom("second"));
    CHECK(isWithheldFrom("third"));
}
