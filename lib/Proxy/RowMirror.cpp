//===-- RowMirror.cpp - tables as this entry last read them -----------------===//
//
// What entries say to each other is JSON with values in base64.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RowMirror.h"

#include "laurelcroft/Support/Crypto.h"

#include <nlohmann/json.hpp>

using namespace laurelcroft;
using nlohmann::json;

void row_mirror::take(const std::string &table, const row_batch &batch, bool whole, time_point now)
{
    copy &known = m_tables[table];
    if (batch.version < known.version)
        return;
    if (whole)
        known.rows.clear();
    for (const store_row &row : batch.rows) {
        if (row.removed)
            known.rows.erase(row.key);
        else
            known.rows[row.key] = row;
    }
    known.version = batch.version;
    known.storeTime = batch.storeTime;
    known.confirmedAt = now;
}

std::optional<row_batch> row_mirror::read(const std::string &table, time_point now) const
{
    const auto it = m_tables.find(table);
    if (it == m_tables.end() || now - it->second.confirmedAt > freshness)
        return std::nullopt;
    const copy &known = it->second;
    row_batch batch;
    batch.version = known.version;
    const auto age = std::chrono::duration_cast<milliseconds>(now - known.confirmedAt);
    batch.storeTime = known.storeTime + age;
    for (const auto &[key, row] : known.rows)
        batch.rows.push_back(row);
    return batch;
}

std::string laurelcroft::encodeRows(const row_batch &batch)
{
    json rows = json::array();
    for (const store_row &row : batch.rows)
        rows.push_back({{"key", row.key}, {"value", toBase64(row.value)}, {"version", row.version}});
    return json{{"rows", rows}, {"version", batch.version}, {"store_ms", batch.storeTime.count()}}
            .dump();
}

outcome<row_batch, std::string> laurelcroft::decodeRows(const std::string &text)
{
    try {
        const json object = json::parse(text);
        row_batch batch;
        batch.version = object.at("version").get<std::uint64_t>();
        batch.storeTime = milliseconds(object.at("store_ms").get<std::int64_t>());
        for (const json &item : object.at("rows")) {
            const auto value = fromBase64(item.at("value").get<std::string>());
            if (!value)
                return failure(std::string("a value is not base64"));
            batch.rows.push_back({item.at("key").get<std::string>(), *value,
                                  item.at("version").get<std::uint64_t>(), false});
        }
        return batch;
    } catch (const json::exception &error) {
        return failure(std::string(error.what()));
    }
}
