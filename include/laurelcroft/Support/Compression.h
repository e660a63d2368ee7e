//===-- Support/Compression.h - zlib compression ----------------*- C++ -*-===//
//
// Compresses the data that entries send to each other, in the zlib format.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_COMPRESSION_H
#define LAURELCROFT_SUPPORT_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// \returns \p text compressed in the zlib format, or std::nullopt if zlib fails to allocate
/// memory.
std::optional<std::string> zlibCompress(std::string_view text);

/// Reverses zlibCompress().
/// \param maxSize largest accepted size of the decompressed text in bytes.
/// \returns the decompressed text, or std::nullopt if \p bytes is malformed or the text is too
/// long.
std::optional<std::string> zlibDecompress(std::string_view bytes, std::size_t maxSize);

} // namespace laurelcroft

#endif
