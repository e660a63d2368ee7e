//===-- Proxy/RowMirror.h - tables as this entry last read them --*- C++ -*-===//
//
// Kept so that an entry that the store turns away can read them here. Versions are the
// store's own, so that nobody ever goes back.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROWMIRROR_H
#define LAURELCROFT_PROXY_ROWMIRROR_H

#include "laurelcroft/Platform/RowStore.h"

#include <map>
#include <optional>
#include <string>

namespace laurelcroft {

/// Copies of tables.
class row_mirror
{
public:
    /// A copy that the store has not confirmed for longer is not given away.
    static constexpr milliseconds freshness{2500};

    /// Takes a whole table, or changes to it.
    void take(const std::string &table, const row_batch &batch, bool whole, time_point now);

    /// \returns the table; nothing when it is not known or not fresh.
    std::optional<row_batch> read(const std::string &table, time_point now) const;

private:
    struct copy
    {
        std::map<std::string, store_row> rows;
        std::uint64_t version = 0;
        milliseconds storeTime{0};
        time_point confirmedAt{};
    };
    std::map<std::string, copy> m_tables;
};

std::string encodeRows(const row_batch &batch);
outcome<row_batch, std::string> decodeRows(const std::string &text);

} // namespace laurelcroft

#endif
