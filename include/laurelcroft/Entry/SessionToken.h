//===-- Entry/SessionToken.h - stateless session tokens ---------*- C++ -*-===//
//
// A session is stored in a token that the caller sends with each request. The token contains
// customer, pinned versions and expiry time, and is authenticated with a key that all entries
// share.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_SESSIONTOKEN_H
#define LAURELCROFT_ENTRY_SESSIONTOKEN_H

#include "laurelcroft/Support/Outcome.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// A session and the model versions it is pinned to.
struct session
{
    std::string id;
    std::string customer;
    std::map<std::string, std::string> pins; ///< model to version
    std::int64_t expiresWallMs = 0;

    bool operator==(const session &) const = default;
};

/// A key that authenticates tokens, and the id by which a token refers to it.
struct session_key
{
    std::string id;
    std::string secret;
};

enum class session_error { malformed, unknownKey, forged, expired };

std::string_view textOf(session_error error);

/// Prefix of every token. Any other text is a session name that the caller chose.
inline constexpr std::string_view sessionTokenPrefix = "lcs1.";

/// Maximum size of a token or name, in bytes.
inline constexpr std::size_t maxSessionTextBytes = 4096;

/// Encodes sessions as tokens and decodes them.
class session_token_codec
{
public:
    /// \param keys new tokens use the first key; tokens with any of the keys are accepted, so that
    /// keys can be rotated.
    explicit session_token_codec(std::vector<session_key> keys);

    std::string encode(const session &item) const;

    /// \returns the session, or an error if the token is invalid or expired at \p nowWallMs.
    outcome<session, session_error> decode(std::string_view token, std::int64_t nowWallMs) const;

private:
    std::vector<session_key> m_keys;
};

/// Parses "id:secret,id:secret". \returns no keys if the text is malformed.
std::vector<session_key> parseSessionKeys(std::string_view text);

} // namespace laurelcroft

#endif
