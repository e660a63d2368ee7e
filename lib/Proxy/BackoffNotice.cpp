//===-- BackoffNotice.cpp - refusing endpoints by datagram ------------------===//
//
// A MessagePack array: kind, endpoint id, start time, and time in milliseconds.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/BackoffNotice.h"

#include "EndpointNotice.h"

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::string_view kind = "backoff";
constexpr std::size_t fields = 4;

} // namespace

std::string laurelcroft::encodeBackoffNotice(const backoff_notice &notice)
{
    return encodeMessagePack(
            json::array({kind, notice.endpoint, notice.startedAt, notice.time.count()}));
}

std::optional<backoff_notice> laurelcroft::decodeBackoffNotice(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool isWellFormed = isEndpointNotice(item, kind, fields) && item[3].is_number_unsigned();
    if (!isWellFormed)
        return std::nullopt;
    const auto time = item[3].get<std::uint64_t>();
    if (time > static_cast<std::uint64_t>(backoff_notice::maxTime.count()))
        return std::nullopt;
    return backoff_notice{item[1].get<std::string>(), item[2].get<std::uint64_t>(),
                          milliseconds(time)};
}
