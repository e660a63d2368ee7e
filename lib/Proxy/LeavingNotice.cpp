//===-- LeavingNotice.cpp - leaving endpoints by datagram -------------------===//
//
// A MessagePack array: kind, endpoint id, start time, and remaining hops.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/LeavingNotice.h"

#include "EndpointNotice.h"

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::string_view kind = "leaving";
constexpr std::size_t fields = 4;

} // namespace

std::string laurelcroft::encodeLeavingNotice(const leaving_notice &notice)
{
    return encodeMessagePack(json::array({kind, notice.endpoint, notice.startedAt, notice.hops}));
}

std::optional<leaving_notice> laurelcroft::decodeLeavingNotice(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool isWellFormed = isEndpointNotice(item, kind, fields) && item[3].is_number_unsigned();
    if (!isWellFormed)
        return std::nullopt;
    const auto hops = item[3].get<std::uint64_t>();
    if (hops > leaving_notice::maxHops)
        return std::nullopt;
    return leaving_notice{item[1].get<std::string>(), item[2].get<std::uint64_t>(),
                          static_cast<unsigned>(hops)};
}
