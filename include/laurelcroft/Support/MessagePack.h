//===-- Support/MessagePack.h - MessagePack encoding ------------*- C++ -*-===//
//
// Converts between JSON values and MessagePack, the encoding of messages between entries.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_MESSAGEPACK_H
#define LAURELCROFT_SUPPORT_MESSAGEPACK_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Longest accepted name of an entry, endpoint, service, route or customer, in bytes.
inline constexpr std::size_t maxNameBytes = 200;

/// Encodes \p value as MessagePack.
inline std::string encodeMessagePack(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

/// Decodes a MessagePack value.
/// \returns the value, or a discarded JSON value, for which every type check fails, if \p bytes is
/// malformed or has trailing data.
inline nlohmann::json decodeMessagePack(std::string_view bytes)
{
    constexpr bool strict = true;
    constexpr bool throws = false;
    return nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), strict, throws);
}

/// \returns true if \p item is a string short enough to be a name. The string may be empty.
inline bool isName(const nlohmann::json &item)
{
    return item.is_string() && item.get_ref<const std::string &>().size() <= maxNameBytes;
}

/// \returns true if \p item is a name that is not empty.
inline bool isNonEmptyName(const nlohmann::json &item)
{
    return isName(item) && !item.get_ref<const std::string &>().empty();
}

/// \returns the non-negative integer in \p item; nothing if it is none or above \p max.
inline std::optional<unsigned> unsignedUpTo(const nlohmann::json &item, unsigned max)
{
    if (!item.is_number_unsigned() || item.get<std::uint64_t>() > max)
        return std::nullopt;
    return item.get<unsigned>();
}

} // namespace laurelcroft

#endif
