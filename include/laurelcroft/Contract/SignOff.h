//===-- Contract/SignOff.h - signed acceptance of a bundle -------*- C++ -*-===//
//
// The table row that puts a bundle in force, with the signatures of operators. Every
// process verifies the signatures itself, against the public keys in its settings.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_CONTRACT_SIGNOFF_H
#define LAURELCROFT_CONTRACT_SIGNOFF_H

#include "laurelcroft/Contract/Bundle.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// An Ed25519 signature of a bundle's hash.
struct bundle_signature
{
    std::string publicKey; ///< hexadecimal
    std::string signature; ///< hexadecimal

    bool operator==(const bundle_signature &) const = default;
};

/// The row `bundle/current`, which names the bundle in force.
struct acceptance
{
    bundle_epoch epoch = 0;
    std::string hash;
    std::string operationId; ///< identifies the write of a command whose answer was lost
    std::string operatorName;
    std::vector<bundle_signature> signatures;

    bool operator==(const acceptance &) const = default;
};

/// Which keys may sign a bundle off, and how many must.
struct signoff_rule
{
    std::vector<std::string> trustedKeys; ///< hexadecimal public keys
    std::size_t required = 1; ///< number of distinct keys
};

/// \returns the text to sign: the hash after a fixed prefix, so that a signature made for
/// another purpose is not valid for a bundle.
std::string signedText(std::string_view hash);

/// \returns true if enough distinct trusted keys signed the hash of \p accepted.
bool isSignedOff(const acceptance &accepted, const signoff_rule &rule);

/// \returns the JSON encoding of the row.
std::string encodeAcceptance(const acceptance &accepted);
std::optional<acceptance> decodeAcceptance(std::string_view text);

} // namespace laurelcroft

#endif
