//===-- SessionToken.cpp - stateless session tokens -----------------------===//
//
// A token consists of prefix, key id, payload and MAC, separated by dots. The MAC covers everything
// before it.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/SessionToken.h"

#include "laurelcroft/Support/Crypto.h"
#include "laurelcroft/Support/Settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

using namespace laurelcroft;
using nlohmann::json;

std::string_view laurelcroft::textOf(session_error error)
{
    switch (error) {
    case session_error::malformed:
        return "the session token is malformed";
    case session_error::unknownKey:
        return "the session token's key is no longer in use";
    case session_error::forged:
        return "the session token is not genuine";
    case session_error::expired:
        return "the session has expired";
    }
    return "unknown";
}

session_token_codec::session_token_codec(std::vector<session_key> keys)
    : m_keys(std::move(keys))
{
    assert(!m_keys.empty() && "the codec needs at least one key");
}

std::string session_token_codec::encode(const session &item) const
{
    const json payload
            = {{"i", item.id}, {"c", item.customer}, {"p", item.pins}, {"x", item.expiresWallMs}};
    const session_key &key = m_keys.front();
    const std::string body
            = std::string(sessionTokenPrefix) + key.id + "." + toBase64Url(payload.dump());
    return body + "." + toBase64Url(hmacSha256(key.secret, body));
}

static outcome<session, session_error> readPayload(std::string_view text)
{
    const auto bytes = fromBase64Url(text);
    const json payload = bytes ? json::parse(*bytes, nullptr, false) : json();
    if (!payload.is_object())
        return failure(session_error::malformed);
    try {
        session item;
        item.id = payload.at("i").get<std::string>();
        item.customer = payload.at("c").get<std::string>();
        item.pins = payload.at("p").get<std::map<std::string, std::string>>();
        item.expiresWallMs = payload.at("x").get<std::int64_t>();
        return item;
    } catch (const json::exception &) {
        return failure(session_error::malformed);
    }
}

outcome<session, session_error> session_token_codec::decode(std::string_view token,
                                                            std::int64_t nowWallMs) const
{
    const std::vector<std::string> parts = splitList(token, '.');
    if (token.size() > maxSessionTextBytes || parts.size() != 4)
        return failure(session_error::malformed);
    const auto key = std::find_if(m_keys.begin(), m_keys.end(),
                                  [&](const session_key &item) { return item.id == parts[1]; });
    if (key == m_keys.end())
        return failure(session_error::unknownKey);
    const std::string body = std::string(sessionTokenPrefix) + parts[1] + "." + parts[2];
    const std::string wanted = body + "." + toBase64Url(hmacSha256(key->secret, body));
    if (!constantTimeEqual(wanted, token))
        return failure(session_error::forged);
    auto item = readPayload(parts[2]);
    if (item && item.value().expiresWallMs <= nowWallMs)
        return failure(session_error::expired);
    return item;
}

std::vector<session_key> laurelcroft::parseSessionKeys(std::string_view text)
{
    std::vector<session_key> keys;
    for (const std::string &part : splitList(text, ',')) {
        const std::size_t colon = part.find(':');
        const bool wellFormed = colon != std::string::npos && colon > 0 && part.size() - colon > 16
                && part.find('.') == std::string::npos;
        if (!wellFormed)
            return {};
        keys.push_back({part.substr(0, colon), part.substr(colon + 1)});
    }
    return keys;
}
