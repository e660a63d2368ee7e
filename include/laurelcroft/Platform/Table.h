//===-- Platform/Table.h - the platform's table service ----------*- C++ -*-===//
//
// Interface of the transactional table: read, insert if absent, compare and set,
// and batches of inserts. docs/PLATFORM.md describes the protocol.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PLATFORM_TABLE_H
#define LAURELCROFT_PLATFORM_TABLE_H

#include "laurelcroft/Support/Outcome.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Why a call to the table failed.
enum class table_failure {
    notSent, ///< the call did not reach the table
    rateLimited, ///< refused by the table's rate limit: the call had no effect
    unknown, ///< no valid answer: a write may have taken effect
};

struct table_error
{
    table_failure kind = table_failure::unknown;
    milliseconds retryAfter{0};

    /// \returns true if a write is certain to have had no effect.
    bool hadNoEffect() const { return kind != table_failure::unknown; }
};

std::string_view textOf(table_failure failure);

struct table_row
{
    std::string value;
    std::uint64_t version = 0;
};

/// Result of a write. If \c done is false, \c row is the existing row that prevented the write.
struct write_result
{
    bool done = false;
    table_row row;
};

/// A row to insert.
struct new_row
{
    std::string key;
    std::string value;
};

template <class T>
using table_callback = std::function<void(outcome<T, table_error>)>;

/// A client of the table. Each callback is called exactly once, after the call has returned, on
/// the caller's thread.
template <class T>
concept table_like
        = requires(T table, const std::string &key, const std::string &value, std::uint64_t version,
                   std::vector<new_row> rows, table_callback<std::optional<table_row>> onRow,
                   table_callback<write_result> onWrite,
                   table_callback<std::vector<write_result>> onWrites)
{
    table.read(key, onRow);
    table.insert(key, value, onWrite);
    table.compareAndSet(key, version, value, onWrite);
    table.insertAll(rows, onWrites);
};

/// Inserts a row whose value no other process writes. If the answer is lost, reads the row back.
/// The result is either definite (whether the row has this value) or an error if the outcome
/// could not be determined.
template <table_like Table>
void insertResolved(Table &table, const std::string &key, const std::string &value,
                    table_callback<write_result> done)
{
    table.insert(key, value, [&table, key, value, done](outcome<write_result, table_error> first) {
        if (first || first.error().hadNoEffect()) {
            if (first && !first.value().done && first.value().row.value == value)
                done(write_result{true, first.value().row});
            else
                done(first);
            return;
        }
        table.read(key, [value, done](outcome<std::optional<table_row>, table_error> back) {
            if (!back) {
                // The insert may have taken effect, whatever the error of this read is.
                done(failure(table_error{table_failure::unknown, back.error().retryAfter}));
                return;
            }
            const std::optional<table_row> &row = back.value();
            if (!row)
                done(failure(table_error{table_failure::unknown, milliseconds(0)}));
            else
                done(write_result{row->value == value, *row});
        });
    });
}

} // namespace laurelcroft

#endif
