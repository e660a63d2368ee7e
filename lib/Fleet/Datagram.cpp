//===-- Datagram.cpp - sealed datagrams -------------------------------------===//
//
// Sixteen bytes of HMAC stand in front of the protobuf text: enough against
// forgery of a message whose replay changes nothing, because all its news are
// ordered by incarnation and epoch.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/Membership.h"

using namespace laurelcroft;

namespace {
constexpr std::size_t macSize = 16;
}

std::string laurelcroft::sealDatagram(std::string_view key, const wire::datagram &message)
{
    const std::string body = message.SerializeAsString();
    return hmacSha256(key, body).substr(0, macSize) + body;
}

std::optional<wire::datagram> laurelcroft::openDatagram(std::string_view key,
                                                        std::string_view bytes)
{
    if (bytes.size() < macSize || bytes.size() > 2 * maxDatagramBytes)
        return std::nullopt;
    const std::string_view body = bytes.substr(macSize);
    const std::string mac = hmacSha256(key, body).substr(0, macSize);
    wire::datagram message;
    if (!constantTimeEqual(mac, bytes.substr(0, macSize)))
        return std::nullopt;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())))
        return std::nullopt;
    return message;
}
