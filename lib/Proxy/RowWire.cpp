//===-- RowWire.cpp - encoding of rows between entries --------------------===//
//
// An answer is an array of tables. A table is an array of its name, whether it has all rows, the
// version's number, the store time and the age in milliseconds, whether the rows are deflated, the
// rows and the era of all versions, which earlier releases neither send nor accept. A row is an
// array of key, version number and value; a removed row has no value.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RowWire.h"

#include "laurelcroft/Support/Compression.h"
#include "laurelcroft/Support/MessagePack.h"

#include <utility>

using namespace laurelcroft;
using nlohmann::json;

namespace {

/// Smaller rows are not deflated: they fit into one packet either way.
constexpr std::size_t minDeflatedSize = 1000;
/// Maximum size of one table's rows: a tenth of an entry's memory.
constexpr std::size_t maxRowBytes = 16U << 20;
constexpr std::size_t fieldCountWithoutEra = 7;
constexpr std::size_t fieldCountWithEra = 8;
constexpr std::size_t rowFieldCount = 3;
constexpr std::size_t removedRowFieldCount = 2;

} // namespace

static json::binary_t toBinary(std::string_view text)
{
    return json::binary_t({text.begin(), text.end()});
}

static std::string toText(const json &value)
{
    const json::binary_t &bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

packed_rows laurelcroft::packRows(std::span<const store_row> rows)
{
    json items = json::array();
    for (const store_row &row : rows) {
        json item = json::array({row.key, row.version.number});
        if (!row.removed)
            item.push_back(toBinary(row.value));
        items.push_back(std::move(item));
    }
    packed_rows result{encodeMessagePack(items), false};
    if (result.bytes.size() < minDeflatedSize)
        return result;
    std::optional<std::string> smaller = zlibCompress(result.bytes);
    if (!smaller)
        return result;
    return {std::move(*smaller), true};
}

std::string laurelcroft::encodeUpdates(std::span<const packed_update> tables)
{
    json items = json::array();
    for (const packed_update &update : tables) {
        const row_batch &batch = update.about.update.batch;
        json item = json::array({update.table, update.about.update.whole, batch.version.number,
                                 batch.storeTime.count(), update.about.age.count(),
                                 update.rows.isDeflated, toBinary(update.rows.bytes)});
        if (update.about.statesEra)
            item.push_back(batch.version.era);
        items.push_back(std::move(item));
    }
    return encodeMessagePack(items);
}

void laurelcroft::setEra(row_batch &batch, std::uint64_t era)
{
    batch.version.era = era;
    for (store_row &row : batch.rows)
        row.version.era = era;
}

static std::vector<store_row> decodeRows(const std::string &bytes)
{
    std::vector<store_row> rows;
    for (const json &item : json::from_msgpack(bytes)) {
        store_row row;
        row.key = item.at(0).get<std::string>();
        row.version.number = item.at(1).get<std::uint64_t>();
        row.removed = item.size() == removedRowFieldCount;
        if (!row.removed)
            row.value = toText(item.at(rowFieldCount - 1));
        rows.push_back(std::move(row));
    }
    return rows;
}

/// \returns the changes of one table; nothing when deflated rows are malformed.
static std::optional<aged_update> decodeTable(const json &item)
{
    aged_update result;
    row_batch &batch = result.update.batch;
    std::size_t field = 1;
    result.update.whole = item.at(field++).get<bool>();
    batch.version.number = item.at(field++).get<std::uint64_t>();
    batch.storeTime = milliseconds(item.at(field++).get<std::int64_t>());
    result.age = milliseconds(item.at(field++).get<std::int64_t>());
    const bool isDeflated = item.at(field++).get<bool>();
    std::optional<std::string> rows = toText(item.at(field++));
    result.statesEra = item.size() == fieldCountWithEra;
    const std::uint64_t era = result.statesEra ? item.at(field).get<std::uint64_t>() : 0;
    if (isDeflated)
        rows = zlibDecompress(*rows, maxRowBytes);
    if (!rows)
        return std::nullopt;
    batch.rows = decodeRows(*rows);
    setEra(batch, era);
    return result;
}

outcome<table_updates, std::string> laurelcroft::decodeUpdates(std::string_view bytes)
{
    try {
        table_updates tables;
        const json items = json::from_msgpack(bytes.begin(), bytes.end());
        if (!items.is_array())
            return failure(std::string("not an array of tables"));
        for (const json &item : items) {
            if (item.size() != fieldCountWithoutEra && item.size() != fieldCountWithEra)
                return failure(std::string("table has the wrong number of fields"));
            std::optional<aged_update> update = decodeTable(item);
            if (!update)
                return failure(std::string("rows cannot be inflated"));
            tables[item.at(0).get<std::string>()] = std::move(*update);
        }
        return tables;
    } catch (const json::exception &error) {
        return failure(std::string(error.what()));
    }
}
