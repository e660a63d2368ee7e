//===-- Support/UdpAddress.h - where datagrams go ----------------*- C++ -*-===//
//
// Addresses as instances tell them to each other.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_UDPADDRESS_H
#define LAURELCROFT_SUPPORT_UDPADDRESS_H

#include "laurelcroft/Support/Settings.h"

#include <asio/ip/udp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// \returns the endpoint of "ip:port"; nothing for any other text.
inline std::optional<asio::ip::udp::endpoint> parseUdpEndpoint(std::string_view address)
{
    std::string host;
    std::uint16_t port = 0;
    if (!splitAddress(address, host, port))
        return std::nullopt;
    asio::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error)
        return std::nullopt;
    return asio::ip::udp::endpoint(ip, port);
}

} // namespace laurelcroft

#endif
