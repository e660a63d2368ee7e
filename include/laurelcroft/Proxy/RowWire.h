//===-- Proxy/RowWire.h - encoding of rows between entries ------*- C++ -*-===//
//
// One answer carries the changes of several tables as MessagePack. The rows of each table are
// packed separately, and deflated when they are large.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROWWIRE_H
#define LAURELCROFT_PROXY_ROWWIRE_H

#include "laurelcroft/Proxy/RowMirror.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Encoded rows of a table.
struct packed_rows
{
    std::string bytes;
    bool isDeflated = false;
};

packed_rows packRows(std::span<const store_row> rows);

/// Changes of one table with encoded rows.
struct packed_update
{
    std::string table;
    aged_update about; ///< everything but the rows
    packed_rows rows;
};

std::string encodeUpdates(std::span<const packed_update> tables);

/// Sets the era of all versions in \p batch.
void setEra(row_batch &batch, std::uint64_t era);

/// Changes keyed by table.
using table_updates = std::map<std::string, aged_update>;

/// \returns the changes, or an error message when \p bytes are malformed.
outcome<table_updates, std::string> decodeUpdates(std::string_view bytes);

} // namespace laurelcroft

#endif
