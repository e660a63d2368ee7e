//===-- Operator/Edit.h - edits of a bundle ----------------------*- C++ -*-===//
//
// Implements roll-forward and withdrawal as pure functions on a bundle.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_OPERATOR_EDIT_H
#define LAURELCROFT_OPERATOR_EDIT_H

#include "laurelcroft/Contract/Bundle.h"
#include "laurelcroft/Support/Outcome.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Sets the share of the roll-out of \p model; 100 settles the new version and ends the
/// roll-out.
/// \returns the edited bundle or an error message.
outcome<bundle, std::string> rollForward(bundle rules, std::string_view model,
                                         std::uint32_t sharePercent);

/// Withdraws \p version of \p model and ends any roll-out to it.
/// \returns the edited bundle or an error message.
outcome<bundle, std::string> withdrawVersion(bundle rules, std::string_view model,
                                             std::string_view version);

} // namespace laurelcroft

#endif
