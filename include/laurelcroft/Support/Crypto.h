//===-- Support/Crypto.h - digests, keys and signatures ---------*- C++ -*-===//
//
// Thin wrappers over OpenSSL for SHA-256, HMAC, Ed25519 and random bytes; hexadecimal and base64
// encodings; and a non-cryptographic hash.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_CRYPTO_H
#define LAURELCROFT_SUPPORT_CRYPTO_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// \returns the 32 raw bytes of the SHA-256 of \p data.
std::string sha256(std::string_view data);

/// \returns the SHA-256 of \p data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// \returns the 32 raw bytes of the HMAC-SHA-256 of \p data under \p key.
std::string hmacSha256(std::string_view key, std::string_view data);

/// Compares two strings in a time that does not depend on the position of the first difference.
bool constantTimeEqual(std::string_view left, std::string_view right);

/// \returns \p size bytes from OpenSSL's random generator, as hexadecimal digits.
std::string randomHex(std::size_t size);

std::string toHex(std::string_view bytes);

/// \returns the decoded bytes, or std::nullopt if \p text is not hexadecimal.
std::optional<std::string> fromHex(std::string_view text);

/// Encodes without padding.
std::string toBase64Url(std::string_view bytes);

/// \returns the decoded bytes, or std::nullopt if \p text is not unpadded base64url.
std::optional<std::string> fromBase64Url(std::string_view text);

/// Encodes in standard base64 (RFC 4648) with padding.
std::string toBase64(std::string_view bytes);

/// Decodes standard base64; padding is optional.
/// \returns the decoded bytes, or std::nullopt if \p text contains any other character.
std::optional<std::string> fromBase64(std::string_view text);

/// Mixes \p value with the finalizer of splitmix64, so that each input bit affects all output bits.
/// Cheaper than stableHash() where the hash of a name is already known.
std::uint64_t mixBits(std::uint64_t value);

/// \returns a 64-bit hash that is the same in every process, for rendezvous hashing. Not
/// cryptographically secure.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/// An Ed25519 key pair in hexadecimal.
struct signing_key
{
    std::string secretHex;
    std::string publicHex;
};

/// Generates a new random key pair.
signing_key makeSigningKey();

/// \returns the public key that belongs to \p secretHex, or std::nullopt if that is not a valid
/// Ed25519 secret key.
std::optional<std::string> publicKeyOf(std::string_view secretHex);

/// \returns the signature in hexadecimal, or std::nullopt if the key is invalid.
std::optional<std::string> signEd25519(std::string_view secretHex, std::string_view data);

/// \returns true if \p signatureHex is a valid signature of \p data by the key \p publicHex.
bool verifyEd25519(std::string_view publicHex, std::string_view data,
                   std::string_view signatureHex);

} // namespace laurelcroft

#endif
