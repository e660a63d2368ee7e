//===-- Support/Log.h - structured logging ----------------------*- C++ -*-===//
//
// Writes log lines as text or JSON to standard output. Each line names the component that wrote it.
// Only Log.cpp includes Boost.Log.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_LOG_H
#define LAURELCROFT_SUPPORT_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace laurelcroft {

/// The component that writes a log line; its name is written with the line.
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

/// A name and a value in a log line.
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

/// Starts logging. Call it once per process, before any other thread starts.
/// \param level lowest level that is written: "debug", "info", "warning" or "error".
/// \param json whether to write one JSON object per line instead of text.
void startLog(std::string_view level, bool json);

/// Writes the queued lines and stops logging.
void stopLog();

/// Queues one line for writing. When the queue is full the line is dropped, so that the caller
/// never blocks.
void logLine(log_level level, log_part part, std::string_view message,
             std::initializer_list<log_field> fields = {});

/// \returns the number of lines dropped since the last call because the reader of the log was too
/// slow.
std::uint64_t takeDroppedLines();

bool logEnabled(log_level level);

inline void logInfo(log_part part, std::string_view message,
                    std::initializer_list<log_field> fields = {})
{
    logLine(log_level::info, part, message, fields);
}

inline void logWarning(log_part part, std::string_view message,
                       std::initializer_list<log_field> fields = {})
{
    logLine(log_level::warning, part, message, fields);
}

inline void logDebug(log_part part, std::string_view message,
                     std::initializer_list<log_field> fields = {})
{
    if (logEnabled(log_level::debug))
        logLine(log_level::debug, part, message, fields);
}

} // namespace laurelcroft

#endif
