//===-- Support/Log.h - structured log lines ---------------------*- C++ -*-===//
//
// Short sentences with a fixed prefix for each part, as text or as JSON lines, on standard
// output.
// Boost.Log stays behind this header, in one private unit.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_LOG_H
#define LAURELCROFT_SUPPORT_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace laurelcroft {

/// The part of the system that speaks; each has its fixed prefix.
enum class log_part {
    start,
    caller,
    routing,
    agent,
    placement,
    bundle,
    fleet,
    link,
    platform,
    ledger,
    standin,
    load
};

enum class log_level { debug, info, warning, error };

/// One named value of a log line.
struct log_field
{
    log_field(std::string_view name, std::string_view value)
        : name(name)
        , value(value)
    {
    }
    log_field(std::string_view name, const char *value)
        : name(name)
        , value(value)
    {
    }
    log_field(std::string_view name, std::int64_t number)
        : name(name)
        , value(std::to_string(number))
    {
    }
    std::string_view name;
    std::string value;
};

/// Sets up the process's log once, before threads start.
/// \param level "debug", "info", "warning" or "error"; \param json one JSON object a line.
void startLog(std::string_view level, bool json);

/// Writes what is still queued and ends the log.
void stopLog();

/// Writes one line; lost rather than waited for when the bounded queue is full.
void logLine(log_level level, log_part part, std::string_view sentence,
             std::initializer_list<log_field> fields = {});

/// \returns the lines that were lost since the last call because their reader was too slow.
std::uint64_t takeDroppedLines();

bool logEnabled(log_level level);

inline void logInfo(log_part part, std::string_view sentence,
                    std::initializer_list<log_field> fields = {})
{
    logLine(log_level::info, part, sentence, fields);
}

inline void logWarning(log_part part, std::string_view sentence,
                       std::initializer_list<log_field> fields = {})
{
    logLine(log_level::warning, part, sentence, fields);
}

inline void logDebug(log_part part, std::string_view sentence,
                     std::initializer_list<log_field> fields = {})
{
    if (logEnabled(log_level::debug))
        logLine(log_level::debug, part, sentence, fields);
}

} // namespace laurelcroft

#endif
