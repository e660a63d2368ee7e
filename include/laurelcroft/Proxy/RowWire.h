//===-- Proxy/RowWire.h - how entries tell each other rows -------*- C++ -*-===//
//
// One answer carries the news of several tables, in MessagePack; the rows of a table are packed
// apart and deflated when they are many.
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

/// Rows of a table, ready to be sent.
struct packed_rows
{
    std::string bytes;
    bool isDeflated = false;
};

packed_rows packRows(std::span<const store_row> rows);

/// News of one table, ready to be sent.
struct packed_news
{
    std::string table;
    aged_news about; ///< but for the rows
    packed_rows rows;
};

std::string encodeNews(std::span<const packed_news> tables);

/// News by table.
using table_news = std::map<std::string, aged_news>;

/// \returns the news, or what is wrong with \p bytes.
outcome<table_news, std::string> decodeNews(std::string_view bytes);

} // namespace laurelcroft

#endif
