//===-- Support/MessagePack.h - bytes that entries send each other -*- C++ -*-===//
//
// Between a JSON value and its MessagePack.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_MESSAGEPACK_H
#define LAURELCROFT_SUPPORT_MESSAGEPACK_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Names of entries, endpoints, services, routes and customers are shorter.
inline constexpr std::size_t maxNameBytes = 200;

/// \returns \p value in MessagePack.
inline std::string encodeMessagePack(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

/// \returns what \p bytes say in MessagePack; a discarded value, which is of no type, when they are
/// none or more follows.
inline nlohmann::json decodeMessagePack(std::string_view bytes)
{
    constexpr bool strict = true;
    constexpr bool throws = false;
    return nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), strict, throws);
}

/// \returns true for a text that may be a name; it may be empty.
inline bool isName(const nlohmann::json &item)
{
    return item.is_string() && item.get_ref<const std::string &>().size() <= maxNameBytes;
}

} // namespace laurelcroft

#endif
