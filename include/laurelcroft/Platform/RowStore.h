//===-- Platform/RowStore.h - rows with versions and a feed ------*- C++ -*-===//
//
// What laurelcroft asks of a store of rows: read a table, follow its changes, and write
// several rows under conditions. Versions come from one counter that rises with every
// write; every answer tells the store's own steady clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PLATFORM_ROWSTORE_H
#define LAURELCROFT_PLATFORM_ROWSTORE_H

#include "laurelcroft/Support/Outcome.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Why the store gave no result.
enum class row_failure {
    notDone, ///< refused or never sent: nothing happened
    unknown, ///< no answer came; a write may take effect even later
    historyGone, ///< the feed no longer reaches back: read the table again
    outdated ///< of a relay: it has not heard from the store for too long
};

std::string_view textOf(row_failure failure);

/// One row.
struct store_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false; ///< only in a feed
};

/// Rows as of one moment, or changes up to one.
struct row_batch
{
    std::vector<store_row> rows;
    std::uint64_t version = 0; ///< where a feed goes on
    milliseconds storeTime{0};
};

/// A row with the table it stands in.
struct table_entry
{
    std::string table;
    store_row row;
};

/// One row of a write.
struct row_write
{
    std::string table;
    std::string key;
    std::string value;
    /// The version that must stand there; 0: no row. Empty: any.
    std::optional<std::uint64_t> expected;
    bool remove = false; ///< drops the row instead
};

/// What a conditional write came to.
struct conditional_write
{
    bool done = false;
    std::uint64_t version = 0; ///< of the rows that were written
    milliseconds storeTime{0}; ///< when it was done
    /// After a conflict, the rows that had a condition as they stand now; a version of 0
    /// means that there is none.
    std::vector<table_entry> current;
};

/// \returns what a write came to, for the log.
inline std::string_view textOf(const outcome<conditional_write, row_failure> &result)
{
    if (!result)
        return textOf(result.error());
    return result.value().done ? "done" : "conflict";
}

template <class T>
using row_callback = std::function<void(outcome<T, row_failure>)>;

/// A client of the store. Callbacks come later, once each, on the caller's thread.
template <class S>
concept row_store_like
        = requires(S store, const std::string &table, std::uint64_t since, milliseconds wait,
                   std::vector<row_write> writes, row_callback<row_batch> onRows,
                   row_callback<conditional_write> onWrite)
{
    store.list(table, onRows);
    store.follow(table, since, wait, onRows);
    store.write(writes, onWrite);
};

} // namespace laurelcroft

#endif
