//===-- Support/Settings.h - validated settings -----------------*- C++ -*-===//
//
// A setting is read from a command-line flag, else from an environment variable, else from its
// default. Numbers have a unit and a range. All errors are reported at once, each with the name of
// its setting.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_SETTINGS_H
#define LAURELCROFT_SUPPORT_SETTINGS_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Type of a setting's value.
enum class setting_kind { text, number, flag };

/// Declaration of one setting.
struct setting
{
    std::string name; ///< flag without dashes; the environment variable is LAURELCROFT_NAME
    setting_kind kind;
    std::string defaultText; ///< default value; empty for a required setting
    std::string unit; ///< unit of a number, such as "ms" or "bytes"; may be empty
    std::int64_t minimum;
    std::int64_t maximum;
    bool required;
    std::string help;
};

/// Result of parsing the settings.
enum class settings_status { ready, helpShown, versionShown, failed };

/// Declares, parses and stores the settings of one program.
class settings
{
public:
    /// \param program name of the executable.
    /// \param summary one-sentence description for the help text.
    settings(std::string program, std::string summary);

    void addText(std::string name, std::string defaultText, std::string help);
    void addRequired(std::string name, std::string help);
    void addNumber(std::string name, std::int64_t value, std::int64_t minimum, std::int64_t maximum,
                   std::string unit, std::string help);
    void addFlag(std::string name, std::string help);

    /// Parses the command line and the environment, and prints the help, the version or the errors.
    settings_status parse(int argc, const char *const *argv);

    /// Parses \p arguments and the environment without printing.
    /// \returns one error message for each invalid setting.
    std::vector<std::string> check(const std::vector<std::string> &arguments);

    const std::string &text(std::string_view name) const;
    std::int64_t number(std::string_view name) const;
    bool flag(std::string_view name) const;

    /// \returns the positional arguments in order.
    const std::vector<std::string> &positionalArguments() const { return m_positionalArguments; }

    /// Accepts positional arguments, which are errors by default.
    void allowPositionalArguments() { m_positionalArgumentsAllowed = true; }

    std::string helpText() const;

private:
    std::string m_program;
    std::string m_summary;
    std::vector<setting> m_settings;
    std::map<std::string, std::string, std::less<>> m_values;
    std::vector<std::string> m_positionalArguments;
    bool m_positionalArgumentsAllowed = false;
};

/// Splits "host:port" into \p host and \p port.
/// \returns false if \p text does not have that form.
bool splitAddress(std::string_view text, std::string &host, std::uint16_t &port);

/// Splits \p text at each \p separator and omits empty parts.
std::vector<std::string> splitList(std::string_view text, char separator);

} // namespace laurelcroft

#endif
