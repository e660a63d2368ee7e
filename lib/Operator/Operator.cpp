//===-- Operator.cpp - the operators' command -------------------------------===//
//
// Parses the settings, runs the named subcommand and prints its report.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Operator/Operator.h"

#include "Commands.h"

#include <array>
#include <iostream>

using namespace laurelcroft;

namespace {

struct command
{
    std::string_view name;
    std::string_view help;
    report (*run)(command_context &);
};

constexpr std::array<command, 11> commands = {{
        {"validate", "FILE             report every error of a bundle", &validateCommand},
        {"diff", "FILE FILE            list changes and the customers affected", &diffCommand},
        {"keygen", "FILE               make a key for signing off", &keygenCommand},
        {"propose", "FILE              store a bundle for signing off", &proposeCommand},
        {"sign", "HASH                 sign a proposal off (--key-file)", &signCommand},
        {"accept", "HASH               put a signed proposal in force", &acceptCommand},
        {"roll-forward", "MODEL SHARE  set a roll-out's share; 100 settles it",
         &rollForwardCommand},
        {"withdraw", "MODEL@VERSION    withdraw a version at once", &withdrawCommand},
        {"status", "                   epoch in force, and at how many instances", &statusCommand},
        {"history", "                  every epoch that was accepted", &historyCommand},
        {"explain", "CUSTOMER TARGET   which version and endpoints would serve it",
         &explainCommand},
}};

} // namespace

static settings declareSettings()
{
    std::string summary = "proposes, signs off, rolls out and withdraws bundles\n\nCommands:\n";
    for (const command &item : commands)
        summary += "  " + std::string(item.name) + " " + std::string(item.help) + "\n";
    summary += "\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid bundle, 4 another "
               "operator was first,\n5 the platform cannot be reached, 6 more operators must sign";
    settings declared("laurelcroft", summary);
    declared.allowPositionalArguments();
    declared.addText("table-url", "", "table service");
    declared.addText("objects-url", "", "object store");
    declared.addText("admin-url", "", "admin address of an entry, for status and explain");
    declared.addText("operator", "operator", "name that the history shows");
    declared.addText("key-file", "", "secret key for signing off");
    declared.addText("signoff-keys", "", "public keys that may sign off, separated by commas");
    declared.addNumber("signoff-required", 1, 1, 16, "keys", "distinct keys that must sign off");
    declared.addText("base-epoch", "", "accept only if this epoch is in force");
    declared.addText("output", "text", "text or json");
    return declared;
}

static void print(const report &result, bool asJson)
{
    if (asJson) {
        std::cout << result.data.dump() << "\n";
        return;
    }
    std::ostream &out = result.exit == operator_exit::done ? std::cout : std::cerr;
    for (const std::string &line : result.lines)
        out << line << "\n";
}

int laurelcroft::runOperator(int argc, char **argv)
{
    settings given = declareSettings();
    switch (given.parse(argc, argv)) {
    case settings_status::failed:
        return static_cast<int>(operator_exit::usage);
    case settings_status::ready:
        break;
    default:
        return 0;
    }
    const std::string name
            = given.positionalArguments().empty() ? "" : given.positionalArguments().front();
    for (const command &item : commands) {
        if (item.name != name)
            continue;
        operator_platform platform(given.text("table-url"), given.text("objects-url"));
        command_context context{
                given,
                {given.positionalArguments().begin() + 1, given.positionalArguments().end()},
                platform};
        const report result = item.run(context);
        print(result, given.text("output") == "json");
        return static_cast<int>(result.exit);
    }
    std::cerr << "laurelcroft: error: "
              << (name.empty() ? "no command given" : "unknown command '" + name + "'")
              << "; --help lists them\n";
    return static_cast<int>(operator_exit::usage);
}
