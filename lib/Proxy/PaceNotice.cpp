//===-- PaceNotice.cpp - pace of endpoints by datagram ----------------------===//
//
// A MessagePack array: kind, whether it tells of changes, and for each endpoint its id and three
// numbers.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PaceNotice.h"

#include "laurelcroft/Support/MessagePack.h"

#include <algorithm>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::string_view kind = "pace";
constexpr std::size_t fieldsBeforeReports = 2;
constexpr std::size_t reportFields = 4;

} // namespace

std::string laurelcroft::encodePaceNotice(const pace_notice &notice)
{
    json item = json::array({kind, notice.tellsChanges});
    const std::size_t count = std::min(notice.reports.size(), pace_notice::maxReports);
    for (std::size_t i = 0; i < count; ++i) {
        const pace_report &report = notice.reports[i];
        item.push_back(report.endpoint);
        item.push_back(report.statedPercent);
        item.push_back(report.observedPercent);
        item.push_back(report.samples);
    }
    return encodeMessagePack(item);
}

std::optional<pace_notice> laurelcroft::decodePaceNotice(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool isPaceNotice = item.is_array() && item.size() >= fieldsBeforeReports
            && item[0] == json(kind) && item[1].is_boolean();
    if (!isPaceNotice)
        return std::nullopt;
    const std::size_t fields = item.size() - fieldsBeforeReports;
    if (fields % reportFields != 0 || fields / reportFields > pace_notice::maxReports)
        return std::nullopt;
    pace_notice notice;
    notice.tellsChanges = item[1].get<bool>();
    for (std::size_t i = fieldsBeforeReports; i < item.size(); i += reportFields) {
        const std::optional<unsigned> stated = unsignedUpTo(item[i + 1], pace_notice::maxPercent);
        const std::optional<unsigned> observed = unsignedUpTo(item[i + 2], pace_notice::maxPercent);
        const std::optional<unsigned> samples = unsignedUpTo(item[i + 3], pace_notice::maxSamples);
        if (!isNonEmptyName(item[i]) || !stated || !observed || !samples)
            return std::nullopt;
        notice.reports.push_back({item[i].get<std::string>(), *stated, *observed, *samples});
    }
    return notice;
}
