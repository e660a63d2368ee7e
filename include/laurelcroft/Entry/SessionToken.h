//===-- Entry/SessionToken.h - sessions without a store ----------*- C++ -*-===//
//
// A session is a token that the caller carries: customer, pinned versions and
// expiry, authenticated with a key that all entries share.
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

/// The versions that one session holds.
struct session
{
    std::string id;
    std::string customer;
    std::map<std::string, std::string> pins; ///< model to version
    std::int64_t expiresWallMs = 0;

    bool operator==(const session &) const = default;
};

/// A key for tokens, and its name inside them.
struct session_key
{
    std::string id;
    std::string secret;
};

enum class session_error { malformed, unknownKey, forged, expired };

std::string_view textOf(session_error error);

/// Tokens begin with this; any other text is a name that the caller chose.
inline constexpr std::string_view sessionTokenPrefix = "lcs1.";

/// Largest token or name that is read, in bytes.
inline constexpr std::size_t largestSessionText = 4096;

/// Mints and reads tokens.
class session_token_codec
{
public:
    /// \param keys the first one signs; all of them are accepted, so that keys rotate.
    explicit session_token_codec(std::vector<session_key> keys);

    std::string encode(const session &item) const;
    outcome<session, session_error> decode(std::string_view token, std::int64_t nowWallMs) const;

private:
    std::vector<session_key> m_keys;
};

/// Reads "id:secret,id:secret". \returns no keys when the text is malformed.
std::vector<session_key> parseSessionKeys(std::string_view text);

} // namespace laurelcroft

#endif
