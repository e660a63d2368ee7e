//===-- Support/MessagePack.h - bytes that entries send each other -*- C++ -*-===//
//
// Between a JSON value and its MessagePack.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_MESSAGEPACK_H
#define LAURELCROFT_SUPPORT_MESSAGEPACK_H

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace laurelcroft {

/// \returns \p value in MessagePack.
inline std::string packed(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

/// \returns what \p bytes say in MessagePack; a discarded value, which is of no type, when they are
/// none or more follows.
inline nlohmann::json unpacked(std::string_view bytes)
{
    constexpr bool strict = true;
    constexpr bool throws = false;
    return nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), strict, throws);
}

} // namespace laurelcroft

#endif
