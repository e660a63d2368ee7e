//===-- CarriedRowsTests.cpp - rows that a copy does not have -------------===//
//
// Which rows are kept, for how long, and what ends it.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/CarriedRows.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr time_point now{seconds(100)};
constexpr time_point end = now + seconds(2);

row_map rowsOf(std::initializer_list<const char *> keys)
{
    row_map rows;
    for (const char *key : keys)
        rows[key] = {key, "old", {1, 9}, false};
    return rows;
}

row_batch batchOf(std::initializer_list<store_row> rows)
{
    return {rows, {2, 5}, {}};
}

} // namespace

TEST_CASE(
        "rows that the copy does not list are added to the whole table until they are listed again")
{
    carried_rows carried;
    carried.begin(rowsOf({"a", "b", "c"}), batchOf({{"a", "new", {2, 4}, false}}), end);
    CHECK(carried.missing().size() == 2);
    row_update whole{batchOf({{"a", "new", {2, 4}, false}}), true};
    carried.complete(whole);
    CHECK(whole.batch.rows.size() == 3);
    row_update change{batchOf({{"b", "new", {2, 6}, false}, {"c", "", {2, 7}, true}}), false};
    carried.complete(change);
    CHECK(change.batch.rows.size() == 2);
    CHECK(carried.missing().empty());
}

TEST_CASE("rows that nobody writes again are removed once, at the end of their time")
{
    carried_rows carried;
    carried.begin(rowsOf({"a"}), batchOf({}), end);
    CHECK(carried.takeExpired(end - milliseconds(1), {2, 6}).empty());
    const std::vector<store_row> removals = carried.takeExpired(end, {2, 6});
    REQUIRE(removals.size() == 1);
    CHECK(removals[0].removed);
    CHECK(removals[0].version == store_version(2, 6));
    CHECK(carried.takeExpired(end, {2, 6}).empty());
}

TEST_CASE("rows are kept through a second return of the store")
{
    carried_rows carried;
    carried.begin(rowsOf({"a"}), batchOf({}), end);
    carried.begin(rowsOf({"b"}), batchOf({}), end + seconds(1));
    CHECK(carried.missing().size() == 2);
    CHECK(carried.takeExpired(end, {3, 1}).empty());
}
