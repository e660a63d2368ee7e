//===-- RateLimitNotice.cpp - rate limits by datagram -----------------------===//
//
// A MessagePack array: kind, endpoint id, start time, limit or nil, age in milliseconds, and
// remaining hops.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RateLimitNotice.h"

#include "EndpointNotice.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::string_view kind = "rate_limit";
constexpr std::size_t fields = 6;

} // namespace

std::string laurelcroft::encodeRateLimitNotice(const rate_limit_notice &notice)
{
    const json limit = notice.perSecond ? json(*notice.perSecond) : json();
    const auto age = static_cast<std::uint64_t>(std::max<std::int64_t>(0, notice.age.count()));
    return encodeMessagePack(
            json::array({kind, notice.endpoint, notice.startedAt, limit, age, notice.hops}));
}

/// \returns true for a finite rate of at least 0, or nil.
static bool isLimit(const json &item)
{
    if (item.is_null())
        return true;
    return item.is_number() && std::isfinite(item.get<double>()) && item.get<double>() >= 0;
}

static bool isWellFormed(const json &item)
{
    return isEndpointNotice(item, kind, fields) && isLimit(item[3]) && item[4].is_number_unsigned()
            && item[5].is_number_unsigned();
}

std::optional<rate_limit_notice> laurelcroft::decodeRateLimitNotice(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    if (!isWellFormed(item))
        return std::nullopt;
    const auto age = item[4].get<std::uint64_t>();
    const auto hops = item[5].get<std::uint64_t>();
    const bool isInRange = age <= static_cast<std::uint64_t>(rate_limit_notice::maxAge.count())
            && hops <= rate_limit_notice::maxHops;
    if (!isInRange)
        return std::nullopt;
    rate_limit_notice notice;
    notice.endpoint = item[1].get<std::string>();
    notice.startedAt = item[2].get<std::uint64_t>();
    if (!item[3].is_null())
        notice.perSecond = item[3].get<double>();
    notice.age = milliseconds(age);
    notice.hops = static_cast<unsigned>(hops);
    return notice;
}
