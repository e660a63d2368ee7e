//===-- RowMirrorTests.cpp - tables as last read --------------------------===//
//
// Which rows a mirror serves, how old they may be, and how it remembers removals.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RowMirror.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("a mirror returns the changes since a version, including removals")
{
    row_mirror mirror(milliseconds(1500));
    const time_point now{seconds(100)};
    mirror.take("t", {{{"a", "1", 5, false}, {"b", "2", 6, false}}, 6, milliseconds(10)}, true,
                now);
    mirror.take("t", {{{"a", "", 7, true}, {"c", "3", 8, false}}, 8, milliseconds(20)}, false, now);
    // An older batch changes nothing.
    mirror.take("t", {{{"d", "4", 4, false}}, 4, milliseconds(5)}, false, now);
    const auto changes = mirror.read("t", 6, now + milliseconds(30));
    REQUIRE(changes);
    CHECK(!changes->update.whole);
    CHECK(changes->age == milliseconds(30));
    CHECK(changes->update.batch.storeTime == milliseconds(50));
    REQUIRE(changes->update.batch.rows.size() == 2);
    CHECK(changes->update.batch.rows[0].key == "c");
    CHECK(changes->update.batch.rows[1].removed);
    const auto whole = mirror.read("t", 3, now);
    REQUIRE(whole);
    CHECK(whole->update.whole);
    CHECK(whole->update.batch.rows.size() == 2);
}

TEST_CASE("a mirror serves only rows that the store confirmed recently")
{
    row_mirror mirror(milliseconds(1500));
    const time_point now{seconds(100)};
    mirror.take("t", {{}, 6, milliseconds(10)}, true, now);
    CHECK(mirror.read("t", 0, now + milliseconds(1500)));
    CHECK(!mirror.read("t", 0, now + milliseconds(1501)));
    CHECK(!mirror.read("u", 0, now));
    // Rows passed on by another entry keep their age, so two entries cannot keep confirming each
    // other's rows.
    mirror.take("t", {{}, 6, milliseconds(10)}, false, now - seconds(1));
    CHECK(!mirror.read("t", 0, now + milliseconds(1501)));
}

TEST_CASE("a table that is read again records removals of missing rows")
{
    row_mirror mirror(milliseconds(1500));
    const time_point now{seconds(100)};
    mirror.take("t", {{{"a", "1", 5, false}}, 6, {}}, true, now);
    mirror.take("t", {{{"b", "1", 8, false}}, 9, {}}, true, now);
    const auto update = mirror.read("t", 6, now);
    REQUIRE(update);
    CHECK(!update->update.whole);
    REQUIRE(update->update.batch.rows.size() == 2);
    CHECK(update->update.batch.rows[1].key == "a");
    CHECK(update->update.batch.rows[1].removed);
}

TEST_CASE("the store's clock is correct after any number of hops between entries")
{
    constexpr milliseconds reading{1000};
    constexpr milliseconds held{300};
    time_point now{seconds(100)};
    row_mirror first(milliseconds(1500));
    first.take("t", {{{"a", "1", 5, false}}, 6, reading}, true, now);
    row_mirror before = first;
    milliseconds passed{0};
    for (int hop = 0; hop < 4; ++hop) {
        now += held;
        passed += held;
        const auto told = before.read("t", 0, now);
        REQUIRE(told);
        CHECK(told->age == passed);
        CHECK(told->update.batch.storeTime == reading + passed);
        row_mirror next(milliseconds(1500));
        next.takeFromPeer("t", *told, now);
        before = next;
    }
}

TEST_CASE("an older confirmation does not set the store clock back")
{
    const time_point now{seconds(100)};
    row_mirror mirror(milliseconds(1500));
    mirror.take("t", {{}, 6, milliseconds(1000)}, true, now);
    mirror.take("t", {{{"a", "1", 7, false}}, 7, milliseconds(400)}, false,
                now - milliseconds(600));
    const auto told = mirror.read("t", 6, now);
    REQUIRE(told);
    CHECK(told->update.batch.storeTime == milliseconds(1000));
}

TEST_CASE("a table of a later era replaces the known one, and readers of the earlier era get all "
          "of it")
{
    row_mirror mirror(milliseconds(1500));
    const time_point now{seconds(100)};
    mirror.take("t", {{{"a", "1", {1, 39}, false}, {"b", "1", {1, 12}, false}}, {1, 40}, {}}, true,
                now);
    // Versions are given out again: 12 and 30 are of another history.
    mirror.take("t", {{{"b", "1", {2, 12}, false}, {"c", "1", {2, 30}, false}}, {2, 31}, {}}, true,
                now);
    const auto update = mirror.read("t", {1, 40}, now);
    REQUIRE(update);
    CHECK(update->update.whole);
    CHECK(update->update.batch.rows.size() == 2);
    mirror.take("t", {{{"c", "2", {2, 32}, false}}, {2, 32}, {}}, false, now);
    const auto changes = mirror.read("t", {2, 31}, now);
    REQUIRE(changes);
    CHECK(!changes->update.whole);
    CHECK(changes->update.batch.rows.size() == 1);
    CHECK(mirror.takeFormerRows("t").size() == 2);
    // Rows of the earlier era that arrive late change nothing.
    mirror.take("t", {{{"a", "2", {1, 50}, false}}, {1, 50}, {}}, true, now);
    CHECK(mirror.versionOf("t") == store_version(2, 32));
}

TEST_CASE("a mirror does not confirm rows to a reader that knows a later era")
{
    row_mirror mirror(milliseconds(1500));
    const time_point now{seconds(100)};
    mirror.take("t", {{{"a", "1", {1, 39}, false}}, {1, 40}, {}}, true, now);
    CHECK(!mirror.read("t", {2, 10}, now));
    CHECK(mirror.stateOf("t", {2, 10}, now).isOutdated);
    // Changes do not continue the table of another era.
    mirror.take("t", {{{"b", "1", {2, 11}, false}}, {2, 11}, {}}, false, now);
    CHECK(!mirror.read("t", {2, 10}, now));
}
