//===-- SessionVersionTests.cpp - sessions while versions change ------------===//
//
// What users saw: while a good version was rolled out, requests of sessions under way were served
// by another version than the request before them. Over three did so in one run.
//
// The order of events: (1) the order of the roll-out; (2) 0.2 s later one entry writes the first
// stage, which gives the new version a part of all sessions, those under way among them; the part
// is worked out from the requests that this entry got in its last second. Or, later: (3) one entry
// finds the version bad by its own answers and goes back to the old one alone, while all others go
// on; (4) the rest of the entries hears of that, or of a stage, after it.
//
// The cause: an entry keeps nothing of a session, so that two of its requests get the same version
// only where both entries apply the same rule at both moments. A first stage in mid-session, a
// finding that is one entry's alone and a stage that comes into force as it is read break that.
//
// The evidence: in 72 plays of a good roll-out without any fault, 32 entries, 1 or 2 requests moved
// on 23 of them, all in the first half and to the new version. The shares of the first stage went
// from 5 to 47 permille for the same traffic. Real processes moved sessions on 3 of 28 plays.
//
//===----------------------------------------------------------------------===//
#include "EntryFleet.h"

#include "laurelcroft/Support/Crypto.h"

#include <doctest/doctest.h>

#include <map>

using namespace laurelcroft;

namespace {

constexpr std::size_t entryCount = 32;
constexpr unsigned endpointsPerVersion = 20; ///< endpoints
constexpr milliseconds stepLength{10};
constexpr double newSessionsPerStep = 0.9; ///< sessions that begin, of all entries
constexpr double followUpChance = 0.6; ///< of the requests, that another one of the session follows
constexpr milliseconds longestPause{3000};
constexpr milliseconds answerTime{300};
constexpr milliseconds window{10000}; ///< as the codec of these tests decodes an order

/// Sessions whose requests come to any entry, and what becomes of their versions.
struct session_world
{
    explicit session_world(std::uint64_t seed)
        : random(seed)
    {
        for (unsigned i = 0; i < endpointsPerVersion; ++i)
            entries.store.put("endpoints", "p" + std::to_string(i), "v1");
        entries.store.put("orders", "contract", "7");
        entries.start(0, entryCount);
        run(seconds(3));
    }

    void startRollout()
    {
        for (unsigned i = 0; i < endpointsPerVersion; ++i)
            entries.store.put("endpoints", "n" + std::to_string(i), "v2");
        entries.store.put("orders", "pool", "v2");
        orderedAt = entries.runtime.now();
    }

    void run(milliseconds time)
    {
        for (milliseconds at{0}; at < time; at += stepLength) {
            for (double left = newSessionsPerStep; left > 0; left -= 1) {
                if (random.chance(left))
                    due.emplace(entries.runtime.now(), ++lastSession);
            }
            while (!due.empty() && due.begin()->first <= entries.runtime.now()) {
                const std::uint64_t session = due.begin()->second;
                due.erase(due.begin());
                request(session);
            }
            entries.runtime.advance(stepLength);
        }
    }

    fleet_entry &anyEntry()
    {
        // Entries get unlike parts of the traffic: the sum of two draws, folded.
        const double part = random.uniform() * random.uniform();
        auto entry = entries.entries.begin();
        std::advance(entry, static_cast<std::ptrdiff_t>(part * entryCount));
        return *entry;
    }

    void request(std::uint64_t session)
    {
        fleet_entry &entry = anyEntry();
        rollout_tracker &rollouts = entry.routing.rollouts("pool");
        const time_point now = entries.runtime.now();
        rollouts.arrived(now);
        const auto &usable = entry.routing.directory().usable("pool");
        std::string version = "v1";
        if (!rollouts.mayUseAll(entry.routing.directory().onlyVersion("pool"))) {
            const auto endpoints
                    = rollouts.eligible(usable, {mixedBits(session * 0x9E3779B97F4A7C15), now, now})
                              .endpoints;
            if (endpoints.empty())
                return;
            version = endpoints.front()->record().softwareVersion;
        }
        recordVersion(session, version, now);
        const bool fails = &entry == failingEntry && version == "v2";
        const auto timing
                = fails ? std::nullopt : std::optional<answer_timing>({answerTime, {}, {}});
        rollouts.observe(version, "route", "m", timing, now);
        if (random.chance(followUpChance)) {
            const auto pause = std::chrono::duration_cast<milliseconds>(
                    random.uniform() * std::chrono::duration<double, std::milli>(longestPause));
            due.emplace(now + answerTime + pause, session);
        }
    }

    void recordVersion(std::uint64_t session, const std::string &version, time_point now)
    {
        const auto before = versions.find(session);
        if (before != versions.end() && before->second != version && orderedAt != time_point{}) {
            const bool firstHalf = now < orderedAt + window / 2;
            movedOver += version == "v2" && firstHalf ? 1 : 0;
            movedBack += version == "v1" && !isRolledBack() ? 1 : 0;
        }
        versions[session] = version;
        ++served[version];
    }

    bool isRolledBack() { return entries.store.valueOf("status", "pool") == "reverted"; }

    fleet entries;
    random_source random;
    std::multimap<time_point, std::uint64_t> due; ///< sessions by the moment of their next request
    std::uint64_t lastSession = 0;
    std::map<std::uint64_t, std::string> versions; ///< of the last request, by session
    std::map<std::string, unsigned> served; ///< requests by version
    time_point orderedAt{};
    fleet_entry *failingEntry = nullptr; ///< only failures of the new version come to this one
    unsigned movedOver = 0; ///< to the new version in the first half
    unsigned movedBack = 0; ///< to the old one while the new one is not taken back
};

} // namespace

TEST_CASE("no session under way goes over to a new version in the first half of its roll-out")
{
    unsigned over = 0;
    unsigned back = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        session_world world(seed);
        world.startRollout();
        world.run(seconds(12));
        over += world.movedOver;
        back += world.movedBack;
        CHECK(world.entries.store.valueOf("status", "pool") == "completed");
    }
    CHECK(over == 0);
    CHECK(back == 0);
}

TEST_CASE("an entry that finds a version bad doesn't go back alone while it can tell the others")
{
    unsigned back = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        session_world world(seed);
        // One of the busiest of those that read the rows from others.
        for (fleet_entry &entry : world.entries.entries) {
            if (!entry.readers.empty()) {
                world.failingEntry = &entry;
                break;
            }
        }
        REQUIRE(world.failingEntry);
        world.startRollout();
        world.run(seconds(12));
        CHECK(world.isRolledBack());
        back += world.movedBack;
    }
    CHECK(back == 0);
}

TEST_CASE("a stage that reaches some entries late moves no session back")
{
    unsigned back = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        session_world world(seed);
        unsigned number = 0;
        for (fleet_entry &entry : world.entries.entries) {
            if (!entry.readers.empty() && ++number % 2 == 0)
                entry.readDelay = milliseconds(700);
        }
        world.startRollout();
        world.run(seconds(12));
        back += world.movedBack;
    }
    CHECK(back == 0);
}
