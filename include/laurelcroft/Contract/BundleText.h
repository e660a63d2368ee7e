//===-- Contract/BundleText.h - YAML form of a bundle ------------*- C++ -*-===//
//
// Parses, validates, prints and compares bundles. The parser reports all errors at
// once, with line and column.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_CONTRACT_BUNDLETEXT_H
#define LAURELCROFT_CONTRACT_BUNDLETEXT_H

#include "laurelcroft/Contract/Bundle.h"
#include "laurelcroft/Support/Outcome.h"

#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// An error in a bundle's text. Line and column are counted from 1.
struct bundle_error
{
    int line = 0;
    int column = 0;
    std::string path; ///< field, such as `models[0].versions[1].state`
    std::string message;
};

using bundle_errors = std::vector<bundle_error>;

/// Version of the text format that this release reads and writes.
inline constexpr int bundleFormat = 1;

/// Size in bytes above which a bundle text is refused without being parsed.
inline constexpr std::size_t maxBundleBytes = 1U << 20;

/// Parses and validates \p text.
outcome<bundle, bundle_errors> parseBundle(std::string_view text);

/// \returns the canonical text; equal bundles give equal bytes.
std::string canonicalText(const bundle &rules);

/// \returns the SHA-256 of the canonical text, which identifies the bundle when it is signed
/// and stored.
std::string bundleHash(const bundle &rules);

/// \returns one line for each error: "line:column: path: message".
std::string describe(const bundle_errors &errors);

/// \returns one sentence for each change. Changes of models, versions and roll-outs name the
/// customers that they affect.
std::vector<std::string> diffBundles(const bundle &before, const bundle &after);

} // namespace laurelcroft

#endif
