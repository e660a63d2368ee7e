//===-- Commands.h - subcommands of the operators' command -------*- C++ -*-===//
//
// Private to Operator: one function per subcommand, and the report that it returns.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_OPERATOR_COMMANDS_H
#define LAURELCROFT_LIB_OPERATOR_COMMANDS_H

#include "Platform.h"
#include "laurelcroft/Contract/BundleText.h"
#include "laurelcroft/Contract/SignOff.h"
#include "laurelcroft/Operator/Operator.h"
#include "laurelcroft/Support/Settings.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace laurelcroft {

/// Result of a subcommand: text lines for people, JSON for programs.
struct report
{
    operator_exit exit = operator_exit::done;
    std::vector<std::string> lines;
    nlohmann::ordered_json data = nlohmann::ordered_json::object();
};

/// Settings, arguments and platform access of a subcommand.
struct command_context
{
    const settings &options;
    std::vector<std::string> arguments; ///< those after the subcommand's name
    operator_platform &platform;
};

report validateCommand(command_context &context);
report diffCommand(command_context &context);
report keygenCommand(command_context &context);
report proposeCommand(command_context &context);
report signCommand(command_context &context);
report acceptCommand(command_context &context);
report rollForwardCommand(command_context &context);
report withdrawCommand(command_context &context);
report statusCommand(command_context &context);
report historyCommand(command_context &context);
report explainCommand(command_context &context);

/// \returns a report of one error line.
report failedReport(operator_exit exit, std::string line);

/// The bundle in force and its table row.
struct current_bundle
{
    acceptance accepted;
    std::uint64_t rowVersion = 0;
    bundle rules; ///< empty before the first acceptance
};

/// Reads the bundle in force from the table and the object store.
outcome<current_bundle, report> readCurrent(operator_platform &platform);

} // namespace laurelcroft

#endif
