//===-- EvidenceNotice.cpp - roll-out evidence by datagram ------------------===//
//
// A MessagePack array: entry, service, number of the version of the roll-out order's row, random id
// of the process, and for each route its name and three counts. Counts are cumulative, so that lost
// or late notices are harmless.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/EvidenceNotice.h"

#include "laurelcroft/Support/MessagePack.h"

#include <algorithm>
#include <utility>
#include <vector>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::size_t fieldsBeforeRoutes = 4;
constexpr std::size_t routeFields = 4;

} // namespace

std::string laurelcroft::encodeEvidenceNotice(const evidence_notice &notice)
{
    std::vector<std::pair<std::string, version_answers>> routes(notice.evidence.byRoute.begin(),
                                                                notice.evidence.byRoute.end());
    std::stable_sort(routes.begin(), routes.end(),
                     [](const auto &a, const auto &b) { return a.second.bad() > b.second.bad(); });
    if (routes.size() > evidence_notice::maxRoutes)
        routes.resize(evidence_notice::maxRoutes);
    json item = json::array({notice.entry, notice.service, notice.evidence.orderedAt.number,
                             notice.evidence.incarnation});
    for (const auto &[route, seen] : routes) {
        item.push_back(route);
        item.push_back(seen.good);
        item.push_back(seen.failed);
        item.push_back(seen.slow);
    }
    return encodeMessagePack(item);
}

static bool isWellFormed(const json &item)
{
    // Evidence of no route is never sent. A leaving notice has as many fields.
    if (!item.is_array() || item.size() <= fieldsBeforeRoutes)
        return false;
    if ((item.size() - fieldsBeforeRoutes) % routeFields != 0)
        return false;
    for (std::size_t i = 0; i < item.size(); ++i) {
        const bool isRoute = i >= fieldsBeforeRoutes && (i - fieldsBeforeRoutes) % routeFields == 0;
        const bool fits = i < 2 || isRoute ? isNonEmptyName(item[i]) : item[i].is_number_unsigned();
        if (!fits)
            return false;
    }
    return true;
}

std::optional<evidence_notice> laurelcroft::decodeEvidenceNotice(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    if (!isWellFormed(item))
        return std::nullopt;
    evidence_notice notice;
    notice.entry = item[0].get<std::string>();
    notice.service = item[1].get<std::string>();
    notice.evidence.orderedAt.number = item[2].get<std::uint64_t>();
    notice.evidence.incarnation = item[3].get<std::uint64_t>();
    for (std::size_t i = fieldsBeforeRoutes; i < item.size(); i += routeFields) {
        notice.evidence.byRoute[item[i].get<std::string>()]
                = {item[i + 1].get<std::uint64_t>(), item[i + 2].get<std::uint64_t>(),
                   item[i + 3].get<std::uint64_t>()};
    }
    return notice;
}
