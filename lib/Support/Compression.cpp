//===-- Compression.cpp - zlib compression ----------------------------------===//
//
// Compresses a whole text in one call instead of a stream: the longest text is a table of rows.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/Compression.h"

#include <zlib.h>

#include <algorithm>

using namespace laurelcroft;

namespace {

/// Rows repeat their field names, so that the fastest level already reduces them to a tenth.
constexpr int level = Z_BEST_SPEED;
/// Initial size of the output buffer as a multiple of the input size; also the growth factor.
constexpr std::size_t initialSizeFactor = 8;

} // namespace

std::optional<std::string> laurelcroft::zlibCompress(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string bytes(size, '\0');
    const auto *from = reinterpret_cast<const Bytef *>(text.data());
    auto *to = reinterpret_cast<Bytef *>(bytes.data());
    if (compress2(to, &size, from, text.size(), level) != Z_OK)
        return std::nullopt;
    bytes.resize(size);
    return bytes;
}

std::optional<std::string> laurelcroft::zlibDecompress(std::string_view bytes, std::size_t maxSize)
{
    std::size_t capacity
            = std::min(maxSize, std::max<std::size_t>(1, bytes.size()) * initialSizeFactor);
    while (true) {
        std::string text(capacity, '\0');
        uLongf size = capacity;
        const auto *from = reinterpret_cast<const Bytef *>(bytes.data());
        auto *to = reinterpret_cast<Bytef *>(text.data());
        const int result = uncompress(to, &size, from, bytes.size());
        if (result == Z_OK) {
            text.resize(size);
            return text;
        }
        if (result != Z_BUF_ERROR || capacity >= maxSize)
            return std::nullopt;
        capacity = std::min(maxSize, capacity * initialSizeFactor);
    }
}
