//===-- CrashNotices.cpp - crash notices between entries --------------------===//
//
// Datagrams are MessagePack arrays whose first item is the kind. No other notice starts with the
// same kind followed by the same fields. Rows are JSON, so that operators can read them.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/CrashNotices.h"

#include "laurelcroft/Support/MessagePack.h"

#include <algorithm>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::string_view crashKind = "end";
constexpr std::string_view withheldKind = "withheld";
constexpr std::string_view clearedKind = "cleared";
constexpr std::string_view withheldPrefix = "withheld/";
constexpr std::size_t crashNoticeFields = 4;
constexpr std::size_t requestFields = 5;
constexpr std::size_t withheldNoticeFields = 6;
/// With the other keys that a request must hold; left out if there are none.
constexpr std::size_t conditionalNoticeFields = 7;
constexpr std::size_t clearedNoticeFields = 3;
/// With further keys; left out if there are none.
constexpr std::size_t clearedNoticeFieldsMany = 4;
/// Maximum number of versions and of endpoints listed for one request.
constexpr std::size_t maxListed = 8;

} // namespace

static bool isKind(const json &item, std::string_view kind)
{
    return item.is_string() && item.get_ref<const std::string &>() == kind;
}

bool crash_notice::isUrgent() const
{
    return std::any_of(requests.begin(), requests.end(), [](const reported_request &request) {
        return request.ends >= crash_suspects::minEndsToExplain;
    });
}

std::string laurelcroft::encodeCrashNotice(const crash_notice &notice)
{
    std::vector<reported_request> requests = notice.requests;
    std::stable_sort(requests.begin(), requests.end(),
                     [](const auto &a, const auto &b) { return a.ends > b.ends; });
    if (requests.size() > crash_notice::maxRequests)
        requests.resize(crash_notice::maxRequests);
    json item = json::array({crashKind, notice.endpoint, notice.service, notice.version});
    for (const reported_request &request : requests) {
        item.push_back(request.key);
        for (const milliseconds time : {request.age, request.runTime})
            item.push_back(static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count())));
        item.push_back(request.ends);
        item.push_back(request.earlier);
    }
    return encodeMessagePack(item);
}

static bool isNumberList(const json &list, std::size_t longest)
{
    return list.is_array() && list.size() <= longest
            && std::all_of(list.begin(), list.end(),
                           [](const json &hash) { return hash.is_number_unsigned(); });
}

static bool isHashList(const json &list)
{
    return isNumberList(list, maxListed);
}

static bool isKeyList(const json &list)
{
    return isNumberList(list, crash_suspects::maxKeysWith);
}

/// \returns true if the items starting at \p fields encode a request.
static bool isRequest(const json *fields)
{
    const bool areNumbers = std::all_of(fields, fields + requestFields - 1, [](const json &field) {
        return field.is_number_unsigned();
    });
    return areNumbers && isHashList(fields[requestFields - 1]);
}

/// \returns the duration in \p item, limited to the window in which crashes are counted.
static milliseconds decodeTime(const json &item)
{
    const milliseconds longest = crash_suspects::unexplainedEndsWindow;
    return milliseconds(
            std::min<std::uint64_t>(item.get<std::uint64_t>(), std::uint64_t(longest.count())));
}

std::optional<crash_notice> laurelcroft::decodeCrashNotice(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool isWellFormed = item.is_array() && item.size() >= crashNoticeFields
            && isKind(item[0], crashKind) && item[1].is_number_unsigned() && isName(item[2])
            && isName(item[3]) && (item.size() - crashNoticeFields) % requestFields == 0
            && (item.size() - crashNoticeFields) / requestFields <= crash_notice::maxRequests;
    if (!isWellFormed)
        return std::nullopt;
    crash_notice notice{item[1].get<std::uint64_t>(), item[2], item[3], {}};
    for (std::size_t i = crashNoticeFields; i < item.size(); i += requestFields) {
        if (!isRequest(&item[i]))
            return std::nullopt;
        const auto ends = std::min<std::uint64_t>(item[i + 3].get<std::uint64_t>(),
                                                  crash_suspects::endsToWithholdUnstable);
        notice.requests.push_back({item[i].get<request_key>(), decodeTime(item[i + 1]),
                                   decodeTime(item[i + 2]), static_cast<unsigned>(ends),
                                   item[i + 4].get<std::vector<std::uint64_t>>()});
    }
    return notice;
}

std::string laurelcroft::encodeWithheldNotice(const withheld_notice &notice)
{
    json item = json::array({withheldKind, notice.key, notice.service, notice.versions,
                             notice.ended, notice.remaining.count()});
    if (!notice.with.empty())
        item.push_back(notice.with);
    return encodeMessagePack(item);
}

/// Reads the lists of versions and endpoint hashes into \p notice.
/// \returns false if a list is malformed.
static bool readLists(const json &versions, const json &ended, withheld_notice &notice)
{
    const bool areWellFormed = versions.is_array() && versions.size() <= maxListed
            && isHashList(ended) && std::all_of(versions.begin(), versions.end(), isName);
    if (!areWellFormed)
        return false;
    notice.versions = versions.get<std::vector<std::string>>();
    notice.ended = ended.get<std::vector<std::uint64_t>>();
    return true;
}

std::optional<withheld_notice> laurelcroft::decodeWithheldNotice(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool hasFields = item.is_array()
            && (item.size() == withheldNoticeFields
                || (item.size() == conditionalNoticeFields
                    && isKeyList(item[withheldNoticeFields])));
    const bool isWellFormed = hasFields && isKind(item[0], withheldKind)
            && item[1].is_number_unsigned() && isName(item[2]) && item[5].is_number_unsigned();
    withheld_notice notice;
    if (!isWellFormed || !readLists(item[3], item[4], notice))
        return std::nullopt;
    notice.key = item[1].get<request_key>();
    notice.service = item[2].get<std::string>();
    const milliseconds longest = crash_suspects::withheldFor;
    const auto left
            = std::min<std::uint64_t>(item[5].get<std::uint64_t>(), std::uint64_t(longest.count()));
    notice.remaining = milliseconds(left);
    if (item.size() == conditionalNoticeFields)
        notice.with = item[withheldNoticeFields].get<std::vector<request_key>>();
    return notice;
}

std::string laurelcroft::encodeClearedNotice(const cleared_notice &notice)
{
    json item = json::array({clearedKind, notice.key, notice.version});
    if (!notice.others.empty())
        item.push_back(notice.others);
    return encodeMessagePack(item);
}

std::optional<cleared_notice> laurelcroft::decodeClearedNotice(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool hasFields = item.is_array()
            && (item.size() == clearedNoticeFields
                || (item.size() == clearedNoticeFieldsMany
                    && isKeyList(item[clearedNoticeFields])));
    const bool isWellFormed = hasFields && isKind(item[0], clearedKind)
            && item[1].is_number_unsigned() && isName(item[2]);
    if (!isWellFormed)
        return std::nullopt;
    cleared_notice notice{item[1].get<request_key>(), item[2].get<std::string>()};
    if (item.size() == clearedNoticeFieldsMany)
        notice.others = item[clearedNoticeFields].get<std::vector<request_key>>();
    return notice;
}

std::string laurelcroft::withheldRowKey(request_key key)
{
    return std::string(withheldPrefix) + textOf(key);
}

std::optional<request_key> laurelcroft::requestOfRowKey(std::string_view key)
{
    if (!key.starts_with(withheldPrefix))
        return std::nullopt;
    return parseRequestKey(key.substr(withheldPrefix.size()));
}

std::string laurelcroft::encodeWithheldRow(const withheld_row &row)
{
    return json{{"service", row.service}, {"versions", row.versions},
                {"ended", row.ended},     {"until_ms", row.until.count()},
                {"route", row.route},     {"customer", row.customer},
                {"with", row.with}}
            .dump();
}

outcome<withheld_row, std::string> laurelcroft::decodeWithheldRow(const std::string &value)
{
    try {
        const json object = json::parse(value);
        withheld_row row;
        row.service = object.at("service").get<std::string>();
        row.versions = object.at("versions").get<std::vector<std::string>>();
        row.ended = object.at("ended").get<std::vector<std::uint64_t>>();
        row.until = milliseconds(object.at("until_ms").get<std::int64_t>());
        row.route = object.value("route", "");
        row.customer = object.value("customer", "");
        row.with = object.value("with", std::vector<request_key>());
        return row;
    } catch (const json::exception &error) {
        return failure(std::string(error.what()));
    }
}
