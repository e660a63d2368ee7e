//===-- Platform/RowStore.h - versioned rows with a change feed --*- C++ -*-===//
//
// Interface of a row store: read a table, follow its changes, and write several rows
// conditionally. Versions come from a single counter that increases with every write; it goes back
// when the store comes back from a copy, and the era rises then. Every answer contains a reading of
// the store's own steady clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PLATFORM_ROWSTORE_H
#define LAURELCROFT_PLATFORM_ROWSTORE_H

#include "laurelcroft/Support/Outcome.h"
#include "laurelcroft/Support/Runtime.h"
#include "laurelcroft/Support/StoreVersion.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Why a call to the store or to a relay failed.
enum class row_failure {
    notDone, ///< refused or never sent: the call had no effect
    unknown, ///< no answer: a write may have taken effect or may still do so
    /// The feed does not cover the version asked for, also when the store came back from a copy:
    /// reread the table.
    historyGone,
    outdated ///< only from a relay: its last answer from the store is too old
};

std::string_view textOf(row_failure failure);

/// A row of a table, or its removal.
struct store_row
{
    std::string key;
    std::string value;
    store_version version{};
    bool removed = false; ///< set only in a change feed
};

/// A consistent snapshot of a table, or the changes up to a version.
struct row_batch
{
    std::vector<store_row> rows;
    store_version version{}; ///< version from which to follow the feed
    milliseconds storeTime{0}; ///< reading of the store's clock
};

/// A row and its table.
struct table_entry
{
    std::string table;
    store_row row;
};

/// One row of a conditional write.
struct row_write
{
    std::string table;
    std::string key;
    std::string value;
    /// Version that the row must have; unknownVersion: the row must not exist; empty: no condition.
    /// The version of an earlier era matches no row.
    std::optional<store_version> expected;
    bool remove = false; ///< removes the row instead of writing it
};

/// Result of a conditional write.
struct conditional_write
{
    bool done = false;
    store_version version{}; ///< version of the written rows; after a conflict only its era
    milliseconds storeTime{0}; ///< time of the write by the store's clock
    /// After a conflict: the current state of the rows that had a condition. unknownVersion means
    /// that the row does not exist.
    std::vector<table_entry> current;
};

/// \returns the result of a write as text for the log.
inline std::string_view textOf(const outcome<conditional_write, row_failure> &result)
{
    if (!result)
        return textOf(result.error());
    return result.value().done ? "done" : "conflict";
}

template <class T>
using row_callback = std::function<void(outcome<T, row_failure>)>;

/// A client of the store. Each callback is called exactly once, after the call has returned, on
/// the caller's thread.
template <class S>
concept row_store_like
        = requires(S store, const std::string &table, store_version since, milliseconds wait,
                   std::vector<row_write> writes, row_callback<row_batch> onRows,
                   row_callback<conditional_write> onWrite)
{
    store.list(table, onRows);
    store.follow(table, since, wait, onRows);
    store.write(writes, onWrite);
};

} // namespace laurelcroft

#endif
