//===-- RequestKey.cpp - key of a repeated request --------------------------===//
//
// The key is HMAC-SHA256 truncated to 64 bits. Its value depends on the byte order, which must be
// the same on all instances.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RequestKey.h"

#include "laurelcroft/Support/Crypto.h"

#include <array>
#include <charconv>
#include <cstring>

using namespace laurelcroft;

namespace {

constexpr std::size_t keyDigits = 16;
constexpr int hexadecimal = 16;

} // namespace

request_key laurelcroft::keyOf(const proxy_request &request)
{
    std::string text;
    text.reserve(request.host.size() + request.target.size() + request.body.size() + 2);
    // Neither host nor target can contain a zero byte, so distinct requests give distinct texts.
    text.append(request.host).push_back('\0');
    text.append(request.target).push_back('\0');
    text.append(request.body);
    const std::string digest = hmacSha256(request.key, text);
    request_key key = 0;
    std::memcpy(&key, digest.data(), sizeof(key));
    return key;
}

std::string laurelcroft::textOf(request_key key)
{
    std::string digits(keyDigits, '0');
    std::array<char, keyDigits> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), key, hexadecimal);
    const auto size = static_cast<std::size_t>(end.ptr - buffer.data());
    digits.replace(keyDigits - size, size, buffer.data(), size);
    return digits;
}

std::optional<request_key> laurelcroft::parseRequestKey(std::string_view text)
{
    request_key key = 0;
    const auto [end, error]
            = std::from_chars(text.data(), text.data() + text.size(), key, hexadecimal);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    return isWhole && text.size() == keyDigits ? std::optional(key) : std::nullopt;
}
