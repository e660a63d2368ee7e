//===-- Message.cpp - typed HTTP requests and replies -----------------------===//
//
// Header and query lookup, and percent-encoding.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Http/Message.h"

#include <algorithm>
#include <cctype>

using namespace laurelcroft;

bool laurelcroft::sameIgnoringCase(std::string_view left, std::string_view right)
{
    const auto lower = [](char c) { return std::tolower(static_cast<unsigned char>(c)); };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

std::string_view laurelcroft::findHeader(const http_headers &headers, std::string_view name)
{
    for (const http_header &header : headers) {
        if (sameIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

static bool isTokenByte(char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(c)) != 0
            || symbols.find(c) != std::string_view::npos;
}

bool laurelcroft::hasOnlyTokenBytes(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isTokenByte);
}

bool laurelcroft::hasControlBytes(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) {
        return c != '\t' && std::iscntrl(static_cast<unsigned char>(c)) != 0;
    });
}

std::string laurelcroft::queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string_view part = query.substr(0, end);
        const std::size_t equals = part.find('=');
        if (part.substr(0, equals) == name && equals != std::string_view::npos)
            return std::string(part.substr(equals + 1));
        if (end == std::string_view::npos)
            break;
        query.remove_prefix(end + 1);
    }
    return {};
}

std::string laurelcroft::percentEncoded(std::string_view text)
{
    constexpr std::string_view hexDigits = "0123456789ABCDEF";
    constexpr std::string_view plain = "-._~";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || plain.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += hexDigits[byte >> 4];
        encoded += hexDigits[byte & 15];
    }
    return encoded;
}
