//===-- Support/Crypto.h - digests, keys and signatures ----------*- C++ -*-===//
//
// Thin typed wrappers over OpenSSL: SHA-256, HMAC, Ed25519, random bytes and the
// text encodings that carry them.
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

/// Compares in a time that does not depend on where the first difference is.
bool constantTimeEqual(std::string_view left, std::string_view right);

/// \returns \p size bytes from the system's generator, as hexadecimal digits.
std::string randomHex(std::size_t size);

std::string toHex(std::string_view bytes);

/// \returns the bytes, or nothing when \p text is not hexadecimal.
std::optional<std::string> fromHex(std::string_view text);

std::string toBase64Url(std::string_view bytes);

/// \returns the bytes, or nothing when \p text is not unpadded base64url.
std::optional<std::string> fromBase64Url(std::string_view text);

/// The padded alphabet that stores and mail use.
std::string toBase64(std::string_view bytes);

/// \returns the bytes, or nothing when \p text is not padded base64.
std::optional<std::string> fromBase64(std::string_view text);

/// Spreads the bits of \p value over all of a number, by the finaliser of splitmix64. Cheap where
/// names were hashed before.
std::uint64_t mixedBits(std::uint64_t value);

/// A stable 64-bit hash for rendezvous ranking; not for security.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/// An Ed25519 key pair as hexadecimal digits.
struct signing_key
{
    std::string secretHex;
    std::string publicHex;
};

/// Makes a new key pair from the system's generator.
signing_key makeSigningKey();

/// \returns the public half of \p secretHex, or nothing when it is no Ed25519 key.
std::optional<std::string> publicKeyOf(std::string_view secretHex);

/// \returns the signature as hexadecimal digits, or nothing for a bad key.
std::optional<std::string> signEd25519(std::string_view secretHex, std::string_view data);

/// \returns true when \p signatureHex is \p publicHex's signature of \p data.
bool verifyEd25519(std::string_view publicHex, std::string_view data,
                   std::string_view signatureHex);

} // namespace laurelcroft

#endif
