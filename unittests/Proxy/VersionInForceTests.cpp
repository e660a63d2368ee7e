//===-- VersionInForceTests.cpp - the version in force --------------------===//
//
// Orders that follow each other, are rewritten, or were carried out before an entry started, and
// stages that have not begun yet.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RolloutTracker.h"

#include <doctest/doctest.h>

#include <set>

using namespace laurelcroft;

namespace {

constexpr time_point start{seconds(100)};
constexpr std::uint64_t session = 1ULL << 63U; ///< in the middle of the hash range

std::vector<endpoint_ptr> endpointsOf(std::initializer_list<const char *> versions)
{
    std::vector<endpoint_ptr> endpoints;
    for (const char *version : versions) {
        endpoint_record record;
        record.id = "e" + std::to_string(endpoints.size());
        record.softwareVersion = version;
        endpoints.push_back(std::make_shared<service_endpoint>(record));
    }
    return endpoints;
}

rollout_order orderOf(const std::string &version, store_version at)
{
    return {"pool", version, seconds(20), at};
}

rollout_row rowOf(const std::string &version, store_version orderedAt, rollout_stage stage)
{
    rollout_row row;
    row.orderedAt = orderedAt;
    row.targetVersion = version;
    row.stage = stage;
    row.share = shareOf(stage, {});
    return row;
}

std::set<std::string> versionsOf(const version_choice &choice)
{
    std::set<std::string> versions;
    for (const endpoint_ptr &endpoint : choice.endpoints)
        versions.insert(endpoint->record().softwareVersion);
    return versions;
}

/// \returns a tracker that saw only \p version before the first order.
rollout_tracker trackerWith(const std::string &version)
{
    rollout_tracker tracker(0.15);
    tracker.mayUseAll(&version);
    return tracker;
}

} // namespace

TEST_CASE("endpoints of a reverted version get no requests while the next order waits")
{
    rollout_tracker tracker = trackerWith("v1");
    const auto endpoints = endpointsOf({"v1", "v2", "v2", "v2", "v3"});
    tracker.setOrder(orderOf("v2", 7));
    tracker.setRow(rowOf("v2", 7, rollout_stage::reverted));
    tracker.setOrder(orderOf("v3", 9));
    CHECK(versionsOf(tracker.eligible(endpoints, {session, start, start}))
          == std::set<std::string>{"v1"});
    tracker.setRow(rowOf("v3", 9, rollout_stage::waiting));
    CHECK(versionsOf(tracker.eligible(endpoints, {session, start, start}))
          == std::set<std::string>{"v1"});
    // They also get no requests when attempts on the next trial have failed.
    tracker.setRow(rowOf("v3", 9, rollout_stage::trial));
    CHECK(versionsOf({tracker.settled(endpoints)}) == std::set<std::string>{"v1"});
    // After completion the new version is the version in force.
    tracker.setRow(rowOf("v3", 9, rollout_stage::completed));
    tracker.setOrder(orderOf("v4", 11));
    CHECK(versionsOf(tracker.eligible(endpoints, {session, start, start}))
          == std::set<std::string>{"v3"});
}

TEST_CASE("a rewritten order does not move sessions")
{
    for (const rollout_stage stage : {rollout_stage::full, rollout_stage::completed}) {
        rollout_tracker tracker = trackerWith("v1");
        const auto endpoints = endpointsOf({"v1", "v2"});
        tracker.setOrder(orderOf("v2", 7));
        tracker.setRow(rowOf("v2", 7, stage));
        tracker.setOrder(orderOf("v2", 9));
        CHECK(versionsOf(tracker.eligible(endpoints, {session, start, start}))
              == std::set<std::string>{"v2"});
        const auto next = tracker.nextRow(seconds(200), endpoints, 3);
        REQUIRE(next);
        CHECK(next->stage == stage);
        CHECK(next->orderedAt.number == 9);
        tracker.setRow(*next);
        CHECK(versionsOf(tracker.eligible(endpoints, {session, start, start}))
              == std::set<std::string>{"v2"});
    }
    // A rewritten order after a revert starts from the beginning.
    rollout_tracker tracker = trackerWith("v1");
    tracker.setOrder(orderOf("v2", 7));
    tracker.setRow(rowOf("v2", 7, rollout_stage::reverted));
    tracker.setOrder(orderOf("v2", 9));
    const auto next = tracker.nextRow(seconds(200), endpointsOf({"v1", "v2"}), 3);
    REQUIRE(next);
    CHECK(next->stage == rollout_stage::waiting);
}

TEST_CASE("an entry that knows an order but not its stage uses the old version, or the new one if "
          "it is the only one left")
{
    rollout_tracker tracker(0.15);
    tracker.setOrder(orderOf("v2", 7));
    const version_choice left
            = tracker.eligible(endpointsOf({"v2", "v2"}), {session, start, start});
    CHECK(versionsOf(left) == std::set<std::string>{"v2"});
    CHECK(left.reason == version_reason::stageUnknown);
    const version_choice both
            = tracker.eligible(endpointsOf({"v1", "v2", "v2"}), {session, start, start});
    CHECK(versionsOf(both) == std::set<std::string>{"v1"});
}

TEST_CASE("a stage applies from its start, and the previous one until then")
{
    rollout_tracker tracker = trackerWith("v1");
    const auto endpoints = endpointsOf({"v1", "v2"});
    tracker.setOrder(orderOf("v2", 7));
    rollout_row row = rowOf("v2", 7, rollout_stage::full);
    row.shareBefore = 0.1;
    tracker.setRow(row, start + seconds(1));
    const auto versionAt = [&](std::uint64_t hash, time_point now) {
        return *versionsOf(tracker.eligible(endpoints, {hash, now, now})).begin();
    };
    CHECK(versionAt(session, start) == "v1");
    CHECK(versionAt(1, start) == "v2");
    CHECK(versionAt(session, start + seconds(1)) == "v2");
}

TEST_CASE("stages are written before they begin, and none ends before it has begun")
{
    const rollout_order order = orderOf("v2", 7);
    rollout_view view;
    view.targetListed = true;
    view.evaluatedAnswers = 100;
    view.exposure = 0.15;
    view.requestsPerSecond = 100;
    std::optional<rollout_row> row;
    for (milliseconds now{0}; now < order.window; now += milliseconds(100)) {
        view.now = now;
        const auto next = nextRolloutRow(order, row, view);
        if (!next)
            continue;
        if (row)
            CHECK(now >= row->stageSince);
        const bool movesSessions
                = next->stage == rollout_stage::trial || next->stage == rollout_stage::full;
        if (movesSessions)
            CHECK(next->stageSince - now >= milliseconds(900));
        row = next;
    }
    REQUIRE(row);
    CHECK(row->stage == rollout_stage::completed);
}

TEST_CASE("a request that is sent again keeps the version in force when it arrived")
{
    rollout_tracker tracker = trackerWith("v1");
    const auto endpoints = endpointsOf({"v1", "v2"});
    tracker.setOrder(orderOf("v2", 7));
    rollout_row row = rowOf("v2", 7, rollout_stage::full);
    row.shareBefore = 0.1;
    tracker.setRow(row, start);
    const session_request earlier{session, start - seconds(2), start + seconds(1)};
    CHECK(versionsOf(tracker.eligible(endpoints, earlier)) == std::set<std::string>{"v1"});
    // A completed or reverted roll-out overrides this: the old version may have ended, or the new
    // one is bad.
    rollout_view view;
    view.now = seconds(2);
    view.foundBad = true;
    view.targetListed = true;
    const auto reverted = nextRolloutRow(orderOf("v2", 7), row, view);
    REQUIRE(reverted);
    REQUIRE(reverted->stage == rollout_stage::reverted);
    tracker.setRow(*reverted, start + seconds(1));
    const session_request onNew{1, start, start + seconds(2)};
    CHECK(versionsOf(tracker.eligible(endpoints, onNew)) == std::set<std::string>{"v1"});
    rollout_row completed = rowOf("v2", 7, rollout_stage::completed);
    completed.shareBefore = 1;
    tracker.setRow(completed, start + seconds(1));
    CHECK(versionsOf(tracker.eligible(endpoints, earlier)) == std::set<std::string>{"v2"});
}
