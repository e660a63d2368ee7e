//===-- RowMirror.cpp - tables as this entry last read them -----------------===//
//
// What entries say to each other is JSON with values in base64.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RowMirror.h"

#include "laurelcroft/Support/Crypto.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace laurelcroft;
using nlohmann::json;

void row_mirror::forgetRemoved(copy &known)
{
    while (known.removed.size() > mostRemoved) {
        const auto oldest = std::min_element(
                known.removed.begin(), known.removed.end(),
                [](const auto &a, const auto &b) { return a.second < b.second; });
        known.changesFrom = std::max(known.changesFrom, oldest->second);
        known.removed.erase(oldest);
    }
}

void row_mirror::take(const std::string &table, const row_batch &batch, bool whole,
                      time_point confirmedAt)
{
    copy &known = m_tables[table];
    if (batch.version < known.version)
        return;
    if (known.version == 0)
        known.changesFrom = batch.version;
    if (whole) {
        for (const auto &[key, row] : known.rows)
            known.removed[key] = batch.version;
        known.rows.clear();
    }
    for (const store_row &row : batch.rows) {
        if (row.removed) {
            known.rows.erase(row.key);
            known.removed[row.key] = row.version;
            continue;
        }
        known.rows[row.key] = row;
        known.removed.erase(row.key);
    }
    forgetRemoved(known);
    known.version = batch.version;
    known.storeTime = batch.storeTime;
    known.confirmedAt = std::max(known.confirmedAt, confirmedAt);
}

std::optional<aged_news> row_mirror::read(const std::string &table, std::uint64_t since,
                                          time_point now) const
{
    const auto it = m_tables.find(table);
    if (it == m_tables.end() || now - it->second.confirmedAt > freshness)
        return std::nullopt;
    const copy &known = it->second;
    aged_news result;
    result.age = std::chrono::duration_cast<milliseconds>(now - known.confirmedAt);
    result.news.whole = since < known.changesFrom;
    row_batch &batch = result.news.batch;
    batch.version = known.version;
    batch.storeTime = known.storeTime + result.age;
    for (const auto &[key, row] : known.rows) {
        if (result.news.whole || row.version > since)
            batch.rows.push_back(row);
    }
    if (result.news.whole)
        return result;
    for (const auto &[key, version] : known.removed) {
        if (version > since)
            batch.rows.push_back({key, "", version, true});
    }
    return result;
}

static json jsonOf(const store_row &row)
{
    if (row.removed)
        return {{"key", row.key}, {"version", row.version}, {"removed", true}};
    return {{"key", row.key}, {"version", row.version}, {"value", toBase64(row.value)}};
}

std::string laurelcroft::encodeNews(const aged_news &news)
{
    json rows = json::array();
    for (const store_row &row : news.news.batch.rows)
        rows.push_back(jsonOf(row));
    return json{{"rows", rows},
                {"whole", news.news.whole},
                {"version", news.news.batch.version},
                {"store_ms", news.news.batch.storeTime.count()},
                {"age_ms", news.age.count()}}
            .dump();
}

/// \returns nothing when a value is not base64.
static std::optional<store_row> rowOf(const json &item)
{
    store_row row;
    row.key = item.at("key").get<std::string>();
    row.version = item.at("version").get<std::uint64_t>();
    row.removed = item.value("removed", false);
    if (row.removed)
        return row;
    std::optional<std::string> value = fromBase64(item.at("value").get<std::string>());
    if (!value)
        return std::nullopt;
    row.value = std::move(*value);
    return row;
}

outcome<aged_news, std::string> laurelcroft::decodeNews(const std::string &text)
{
    try {
        const json object = json::parse(text);
        aged_news result;
        result.age = milliseconds(object.at("age_ms").get<std::int64_t>());
        result.news.whole = object.at("whole").get<bool>();
        row_batch &batch = result.news.batch;
        batch.version = object.at("version").get<std::uint64_t>();
        batch.storeTime = milliseconds(object.at("store_ms").get<std::int64_t>());
        for (const json &item : object.at("rows")) {
            std::optional<store_row> row = rowOf(item);
            if (!row)
                return failure(std::string("a value is not base64"));
            batch.rows.push_back(std::move(*row));
        }
        return result;
    } catch (const json::exception &error) {
        return failure(std::string(error.what()));
    }
}
