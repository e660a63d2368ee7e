//===-- Support/Settings.h - checked settings --------------------*- C++ -*-===//
//
// Each setting is a flag, an environment variable and a default, in this order,
// with a unit and a checked range. All errors are reported at once, by name.
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

/// What a setting's text must look like.
enum class setting_kind { text, number, flag };

/// Declaration of one setting.
struct setting
{
    std::string name; ///< flag without dashes; the variable is LAURELCROFT_NAME
    setting_kind kind;
    std::string defaultText; ///< empty and `required`: must be given
    std::string unit; ///< "ms", "bytes"; empty for none
    std::int64_t minimum;
    std::int64_t maximum;
    bool required;
    std::string help;
};

/// What the parsing ended with.
enum class settings_status { ready, helpShown, versionShown, failed };

/// The settings of one binary.
class settings
{
public:
    /// \param program the binary's name; \param summary one sentence for the help.
    settings(std::string program, std::string summary);

    void addText(std::string name, std::string defaultText, std::string help);
    void addRequired(std::string name, std::string help);
    void addNumber(std::string name, std::int64_t value, std::int64_t least, std::int64_t most,
                   std::string unit, std::string help);
    void addFlag(std::string name, std::string help);

    /// Reads flags and environment; prints help, version or errors itself.
    settings_status parse(int argc, const char *const *argv);

    /// Parses without printing. \returns one message for each wrong setting.
    std::vector<std::string> check(const std::vector<std::string> &arguments);

    const std::string &text(std::string_view name) const;
    std::int64_t number(std::string_view name) const;
    bool flag(std::string_view name) const;

    /// Words that are no flags, in order.
    const std::vector<std::string> &positionalArguments() const { return m_positionalArguments; }

    /// Lets words stand beside the flags; by default they are errors.
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

/// Parts of "host:port". \returns false when \p text is not of that form.
bool splitAddress(std::string_view text, std::string &host, std::uint16_t &port);

/// Splits at each \p separator; empty parts are left out.
std::vector<std::string> splitList(std::string_view text, char separator);

} // namespace laurelcroft

#endif
