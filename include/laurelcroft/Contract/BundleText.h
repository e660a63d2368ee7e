//===-- Contract/BundleText.h - YAML form of a bundle ------------*- C++ -*-===//
//
// Reads, validates, prints and compares bundles. Reading reports every error at
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

/// One thing wrong with a bundle's text. Line and column count from 1.
struct bundle_error
{
    int line = 0;
    int column = 0;
    std::string path; ///< where, as `models[0].versions[1].state`
    std::string message;
};

using bundle_errors = std::vector<bundle_error>;

/// Format number that this release reads and writes.
inline constexpr int bundleFormat = 1;

/// Largest bundle text in bytes that is read at all.
inline constexpr std::size_t maxBundleBytes = 1U << 20;

/// Reads and validates \p text as a whole.
outcome<bundle, bundle_errors> parseBundle(std::string_view text);

/// \returns the canonical text: the same bundle always gives the same bytes.
std::string canonicalText(const bundle &rules);

/// \returns the hash that sign-off and storage use: SHA-256 of the canonical text.
std::string bundleHash(const bundle &rules);

/// \returns "line:column: path: message" for each error.
std::string describe(const bundle_errors &errors);

/// \returns one sentence for each change and whom it touches.
std::vector<std::string> diffBundles(const bundle &before, const bundle &after);

} // namespace laurelcroft

#endif
