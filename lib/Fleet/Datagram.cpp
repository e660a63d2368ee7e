//===-- Datagram.cpp - datagram authentication ------------------------------===//
//
// A datagram is an HMAC truncated to 16 bytes, followed by the serialized protobuf
// message. This suffices against forgery. A replay changes nothing, because all
// updates are ordered by incarnation and epoch.
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
