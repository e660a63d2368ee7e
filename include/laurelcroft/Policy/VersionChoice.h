//===-- Policy/VersionChoice.h - version of a session -----------*- C++ -*-===//
//
// Selects a model version at the start of a session; the session then keeps it.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_VERSIONCHOICE_H
#define LAURELCROFT_POLICY_VERSIONCHOICE_H

#include "laurelcroft/Contract/Bundle.h"
#include "laurelcroft/Support/Outcome.h"
#include "laurelcroft/Support/Random.h"

#include <string>
#include <string_view>

namespace laurelcroft {

/// State of versions that is not part of the bundle.
struct version_knowledge
{
    bool confirmed = true; ///< the epoch was confirmed within the time limit for roll-outs
    bool rolloutStopped = false; ///< the guard stopped the version under roll-out
};

enum class version_reason { settled, rolloutShare, rolloutPaused, rolloutStopped, wanted };

std::string_view textOf(version_reason reason);

struct version_choice
{
    std::string version;
    version_reason reason = version_reason::settled;
};

enum class version_refusal { unknownModel, notAllowed, withdrawn, noVersion, stopped };

std::string_view textOf(version_refusal refusal);

/// Chooses the version of \p name for a new session of \p who.
/// \param wanted the version that the caller requested; empty if any allowed version will do.
outcome<version_choice, version_refusal>
chooseVersion(const bundle &rules, const customer &who, std::string_view name,
              std::string_view wanted, const version_knowledge &known, random_source &random);

/// Checks the version that a session already uses.
/// \returns success if it may still be used.
outcome<void, version_refusal> checkVersion(const bundle &rules, const customer &who,
                                            std::string_view name, std::string_view version);

} // namespace laurelcroft

#endif
