//===-- Support/UdpAddress.h - parsing of UDP addresses ---------*- C++ -*-===//
//
// Parses the textual UDP addresses that instances send to each other.
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

/// Parses "ip:port".
/// \returns the endpoint, or std::nullopt if \p address does not have that form.
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
