//===-- Settings.cpp - validated settings -----------------------------------===//
//
// Boost.Program_options reads flag values as text. Their type and range are checked here, so that
// the same rules apply to flags, environment variables and defaults.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/Settings.h"

#include <boost/program_options.hpp>

#include <cassert>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace po = boost::program_options;
using namespace laurelcroft;

#ifndef LAURELCROFT_VERSION
#define LAURELCROFT_VERSION "0.1.0"
#endif

static std::string environmentVariableName(std::string_view name)
{
    std::string variable = "LAURELCROFT_";
    for (const char c : name)
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return variable;
}

static bool parseInteger(std::string_view text, std::int64_t &value)
{
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && stop == end;
}

/// \returns an error message, or an empty string if \p value is valid for \p item.
static std::string checkValue(const setting &item, std::string_view value)
{
    if (item.required && value.empty())
        return "--" + item.name + " (or " + environmentVariableName(item.name) + ") is required";
    if (item.kind != setting_kind::number)
        return {};
    std::int64_t number = 0;
    if (!parseInteger(value, number))
        return "--" + item.name + ": '" + std::string(value) + "' is not a whole number";
    if (number >= item.minimum && number <= item.maximum)
        return {};
    std::ostringstream out;
    out << "--" << item.name << ": " << number << " is outside " << item.minimum << ".."
        << item.maximum;
    if (!item.unit.empty())
        out << " " << item.unit;
    return out.str();
}

settings::settings(std::string program, std::string summary)
    : m_program(std::move(program))
    , m_summary(std::move(summary))
{
}

void settings::addText(std::string name, std::string defaultText, std::string help)
{
    m_settings.push_back({std::move(name), setting_kind::text, std::move(defaultText), "", 0, 0,
                          false, std::move(help)});
}

void settings::addRequired(std::string name, std::string help)
{
    m_settings.push_back(
            {std::move(name), setting_kind::text, "", "", 0, 0, true, std::move(help)});
}

void settings::addNumber(std::string name, std::int64_t value, std::int64_t minimum,
                         std::int64_t maximum, std::string unit, std::string help)
{
    assert(value >= minimum && value <= maximum && "the default must lie in the range");
    m_settings.push_back({std::move(name), setting_kind::number, std::to_string(value),
                          std::move(unit), minimum, maximum, false, std::move(help)});
}

void settings::addFlag(std::string name, std::string help)
{
    m_settings.push_back(
            {std::move(name), setting_kind::flag, "false", "", 0, 0, false, std::move(help)});
}

static po::options_description makeOptionsDescription(const std::vector<setting> &items)
{
    po::options_description description;
    auto add = description.add_options();
    add("help,h", "print this help");
    add("version", "print the version");
    for (const setting &item : items) {
        if (item.kind == setting_kind::flag)
            add(item.name.c_str(), po::bool_switch());
        else
            add(item.name.c_str(), po::value<std::string>());
    }
    add("words", po::value<std::vector<std::string>>());
    return description;
}

std::vector<std::string> settings::check(const std::vector<std::string> &arguments)
{
    const po::options_description description = makeOptionsDescription(m_settings);
    po::positional_options_description positional;
    positional.add("words", -1);
    po::variables_map given;
    try {
        po::store(po::command_line_parser(arguments)
                          .options(description)
                          .positional(positional)
                          .style(po::command_line_style::default_style
                                 & ~po::command_line_style::allow_guessing)
                          .run(),
                  given);
    } catch (const po::error &error) {
        return {error.what()};
    }
    m_values["help"] = given.count("help") ? "true" : "false";
    m_values["version"] = given.count("version") ? "true" : "false";
    if (given.count("words"))
        m_positionalArguments = given["words"].as<std::vector<std::string>>();

    std::vector<std::string> errors;
    if (!m_positionalArguments.empty() && !m_positionalArgumentsAllowed)
        errors.push_back("unexpected positional argument '" + m_positionalArguments.front() + "'");
    for (const setting &item : m_settings) {
        std::string value = item.defaultText;
        if (const char *variable = std::getenv(environmentVariableName(item.name).c_str()))
            value = variable;
        if (item.kind == setting_kind::flag) {
            if (given[item.name].as<bool>())
                value = "true";
        } else if (given.count(item.name)) {
            value = given[item.name].as<std::string>();
        }
        const std::string error = checkValue(item, value);
        if (!error.empty())
            errors.push_back(error);
        m_values[item.name] = value;
    }
    return errors;
}

settings_status settings::parse(int argc, const char *const *argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::vector<std::string> errors = check(arguments);
    if (m_values["help"] == "true") {
        std::cout << helpText();
        return settings_status::helpShown;
    }
    if (m_values["version"] == "true") {
        std::cout << m_program << " " << LAURELCROFT_VERSION << "\n";
        return settings_status::versionShown;
    }
    for (const std::string &error : errors)
        std::cerr << m_program << ": error: " << error << "\n";
    return errors.empty() ? settings_status::ready : settings_status::failed;
}

const std::string &settings::text(std::string_view name) const
{
    const auto it = m_values.find(name);
    assert(it != m_values.end() && "the setting must have been declared and parsed");
    return it->second;
}

std::int64_t settings::number(std::string_view name) const
{
    std::int64_t value = 0;
    parseInteger(text(name), value);
    return value;
}

bool settings::flag(std::string_view name) const
{
    return text(name) == "true" || text(name) == "1";
}

std::string settings::helpText() const
{
    std::ostringstream out;
    out << m_program << " - " << m_summary << "\n\nSettings (flag, environment variable):\n";
    for (const setting &item : m_settings) {
        out << "  --" << item.name << "  " << environmentVariableName(item.name) << "\n      "
            << item.help;
        if (item.kind == setting_kind::number)
            out << " (" << item.minimum << ".." << item.maximum
                << (item.unit.empty() ? "" : " " + item.unit) << ")";
        if (item.required)
            out << " [required]\n";
        else
            out << " [default: " << (item.defaultText.empty() ? "none" : item.defaultText) << "]\n";
    }
    out << "  --help, --version\n";
    return out.str();
}

bool laurelcroft::splitAddress(std::string_view text, std::string &host, std::uint16_t &port)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    std::int64_t number = 0;
    if (!parseInteger(text.substr(colon + 1), number) || number < 0 || number > UINT16_MAX)
        return false;
    host = text.substr(0, colon);
    port = static_cast<std::uint16_t>(number);
    return true;
}

std::vector<std::string> laurelcroft::splitList(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        if (end != 0)
            parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return parts;
}
