//===-- Support/Compression.h - smaller texts --------------------*- C++ -*-===//
//
// zlib's format, for what entries send to each other.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_COMPRESSION_H
#define LAURELCROFT_SUPPORT_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// \returns \p text in zlib's format; nothing when there is no memory for it.
std::optional<std::string> zlibCompress(std::string_view text);

/// \param largest bytes that the result may have; a longer one is refused.
/// \returns the text that zlibCompress() made \p bytes of; nothing when they are malformed.
std::optional<std::string> zlibDecompress(std::string_view bytes, std::size_t largest);

} // namespace laurelcroft

#endif
