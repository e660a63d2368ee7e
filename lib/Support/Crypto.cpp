//===-- Crypto.cpp - digests, keys and signatures ---------------------------===//
//
// Digests and signatures use OpenSSL's EVP interface.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/Crypto.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cassert>
#include <memory>

using namespace laurelcroft;

namespace {

constexpr std::size_t sha256Size = 32;
constexpr std::size_t ed25519KeySize = 32;
constexpr std::size_t ed25519SignatureSize = 64;

struct key_deleter
{
    void operator()(EVP_PKEY *key) const { EVP_PKEY_free(key); }
};
struct context_deleter
{
    void operator()(EVP_MD_CTX *context) const { EVP_MD_CTX_free(context); }
};
using key_ptr = std::unique_ptr<EVP_PKEY, key_deleter>;
using context_ptr = std::unique_ptr<EVP_MD_CTX, context_deleter>;

} // namespace

static const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

static unsigned char *bytesOf(std::string &text)
{
    return reinterpret_cast<unsigned char *>(text.data());
}

static key_ptr readSecretKey(std::string_view secretHex)
{
    const auto raw = fromHex(secretHex);
    if (!raw || raw->size() != ed25519KeySize)
        return nullptr;
    return key_ptr(
            EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytesOf(*raw), raw->size()));
}

std::string laurelcroft::sha256(std::string_view data)
{
    std::string digest(sha256Size, '\0');
    EVP_Digest(data.data(), data.size(), bytesOf(digest), nullptr, EVP_sha256(), nullptr);
    return digest;
}

std::string laurelcroft::sha256Hex(std::string_view data)
{
    return toHex(sha256(data));
}

std::string laurelcroft::hmacSha256(std::string_view key, std::string_view data)
{
    std::string mac(sha256Size, '\0');
    unsigned int size = sha256Size;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(data), data.size(),
         bytesOf(mac), &size);
    return mac;
}

bool laurelcroft::constantTimeEqual(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string laurelcroft::randomHex(std::size_t size)
{
    std::string bytes(size, '\0');
    const int result = RAND_bytes(bytesOf(bytes), static_cast<int>(size));
    assert(result == 1 && "OpenSSL's random generator failed");
    (void)result;
    return toHex(bytes);
}

std::string laurelcroft::toHex(std::string_view bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

static int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::optional<std::string> laurelcroft::fromHex(std::string_view text)
{
    if (text.size() % 2 != 0)
        return std::nullopt;
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2) {
        const int high = hexValue(text[i]);
        const int low = hexValue(text[i + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        bytes += static_cast<char>(high * 16 + low);
    }
    return bytes;
}

static constexpr std::string_view base64UrlDigits
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
static constexpr std::string_view base64Digits
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static std::string encodeSixBits(std::string_view bytes, std::string_view digits)
{
    std::string text;
    text.reserve(bytes.size() * 4 / 3 + 4);
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const char c : bytes) {
        buffer = (buffer << 8) | static_cast<unsigned char>(c);
        bits += 8;
        while (bits >= 6) {
            bits -= 6;
            text += digits[(buffer >> bits) & 63];
        }
    }
    if (bits > 0)
        text += digits[(buffer << (6 - bits)) & 63];
    return text;
}

static std::optional<std::string> decodeSixBits(std::string_view text, std::string_view digits)
{
    constexpr int invalidDigit = -1;
    std::array<int, 256> values{};
    values.fill(invalidDigit);
    for (std::size_t i = 0; i < digits.size(); ++i)
        values[static_cast<unsigned char>(digits[i])] = static_cast<int>(i);
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const char c : text) {
        const int value = values[static_cast<unsigned char>(c)];
        if (value == invalidDigit)
            return std::nullopt;
        buffer = (buffer << 6) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits < 8)
            continue;
        bits -= 8;
        bytes += static_cast<char>((buffer >> bits) & 255);
    }
    return bytes;
}

std::string laurelcroft::toBase64Url(std::string_view bytes)
{
    return encodeSixBits(bytes, base64UrlDigits);
}

std::optional<std::string> laurelcroft::fromBase64Url(std::string_view text)
{
    return decodeSixBits(text, base64UrlDigits);
}

std::string laurelcroft::toBase64(std::string_view bytes)
{
    std::string text = encodeSixBits(bytes, base64Digits);
    constexpr std::size_t group = 4;
    while (text.size() % group != 0)
        text += '=';
    return text;
}

std::optional<std::string> laurelcroft::fromBase64(std::string_view text)
{
    while (text.ends_with('='))
        text.remove_suffix(1);
    return decodeSixBits(text, base64Digits);
}

std::uint64_t laurelcroft::mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint64_t laurelcroft::stableHash(std::string_view data, std::uint64_t seed)
{
    // FNV-1a followed by a finalizer: FNV-1a alone gives similar names similar ranks.
    std::uint64_t hash = 14695981039346656037ULL ^ seed;
    for (const char c : data) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    }
    return mixBits(hash);
}

signing_key laurelcroft::makeSigningKey()
{
    signing_key key;
    key.secretHex = randomHex(ed25519KeySize);
    key.publicHex = publicKeyOf(key.secretHex).value_or("");
    return key;
}

std::optional<std::string> laurelcroft::publicKeyOf(std::string_view secretHex)
{
    const key_ptr key = readSecretKey(secretHex);
    if (!key)
        return std::nullopt;
    std::string raw(ed25519KeySize, '\0');
    std::size_t size = raw.size();
    if (EVP_PKEY_get_raw_public_key(key.get(), bytesOf(raw), &size) != 1)
        return std::nullopt;
    return toHex(raw);
}

std::optional<std::string> laurelcroft::signEd25519(std::string_view secretHex,
                                                    std::string_view data)
{
    const key_ptr key = readSecretKey(secretHex);
    if (!key)
        return std::nullopt;
    const context_ptr context(EVP_MD_CTX_new());
    std::string signature(ed25519SignatureSize, '\0');
    std::size_t size = signature.size();
    if (EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1)
        return std::nullopt;
    if (EVP_DigestSign(context.get(), bytesOf(signature), &size, bytesOf(data), data.size()) != 1)
        return std::nullopt;
    return toHex(signature);
}

bool laurelcroft::verifyEd25519(std::string_view publicHex, std::string_view data,
                                std::string_view signatureHex)
{
    const auto raw = fromHex(publicHex);
    const auto signature = fromHex(signatureHex);
    if (!raw || raw->size() != ed25519KeySize || !signature)
        return false;
    const key_ptr key(
            EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytesOf(*raw), raw->size()));
    const context_ptr context(EVP_MD_CTX_new());
    if (!key || EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1)
        return false;
    return EVP_DigestVerify(context.get(), bytesOf(*signature), signature->size(), bytesOf(data),
                            data.size())
            == 1;
}
