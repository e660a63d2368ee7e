//===-- Log.cpp - structured logging with Boost.Log -------------------------===//
//
// Boost.Log's headers are slow to compile, so only this file includes them. The sink writes on a
// thread of its own. Its queue is bounded and drops lines when full, so that a slow reader of the
// log never delays a request.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/Log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/core/record_view.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>

namespace sinks = boost::log::sinks;
using namespace laurelcroft;

namespace {

constexpr std::size_t maxQueuedLines = 8192;

/// Overflow strategy of the sink's queue: drops and counts the lines that arrive while it is full.
/// Boost.Log requires the names of the functions.
class drop_and_count_on_overflow
{
public:
    static std::atomic<std::uint64_t> &dropped()
    {
        static std::atomic<std::uint64_t> count{0};
        return count;
    }

protected:
    // NOLINTBEGIN(readability-identifier-naming)
    template <class Lock>
    static bool on_overflow(const boost::log::record_view &, Lock &)
    {
        ++dropped();
        return false;
    }
    static void on_queue_space_available() { }
    static void interrupt() { }
    // NOLINTEND(readability-identifier-naming)
};

using sink_type = sinks::asynchronous_sink<
        sinks::text_ostream_backend,
        sinks::bounded_fifo_queue<maxQueuedLines, drop_and_count_on_overflow>>;

constexpr std::array<std::string_view, 12> partNames
        = {"start", "caller", "routing",  "agent",  "placement", "bundle",
           "fleet", "link",   "platform", "ledger", "standin",   "load"};
constexpr std::array<std::string_view, 4> levelNames = {"debug", "info", "warning", "error"};

struct log_state
{
    boost::shared_ptr<sink_type> sink;
    std::atomic<int> minLevel{static_cast<int>(log_level::info)};
    bool json = false;
};

} // namespace

static log_state &state()
{
    static log_state instance;
    return instance;
}

static std::string formatUtcTime()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto micros
            = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count()
            % 1000000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + size, text.size() - size, ".%06dZ", static_cast<int>(micros));
    return text.data();
}

void laurelcroft::startLog(std::string_view level, bool json)
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (levelNames[i] == level)
            state().minLevel = static_cast<int>(i);
    }
    state().json = json;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    state().sink = boost::make_shared<sink_type>(backend);
    boost::log::core::get()->add_sink(state().sink);
}

void laurelcroft::stopLog()
{
    if (!state().sink)
        return;
    boost::log::core::get()->remove_sink(state().sink);
    state().sink->stop();
    state().sink->flush();
    state().sink.reset();
}

std::uint64_t laurelcroft::takeDroppedLines()
{
    return drop_and_count_on_overflow::dropped().exchange(0);
}

bool laurelcroft::logEnabled(log_level level)
{
    return state().sink && static_cast<int>(level) >= state().minLevel;
}

void laurelcroft::logLine(log_level level, log_part part, std::string_view message,
                          std::initializer_list<log_field> fields)
{
    if (!logEnabled(level))
        return;
    const std::string_view partName = partNames[static_cast<std::size_t>(part)];
    const std::string_view levelName = levelNames[static_cast<std::size_t>(level)];
    std::string line;
    if (state().json) {
        nlohmann::ordered_json object;
        object["time"] = formatUtcTime();
        object["level"] = levelName;
        object["part"] = partName;
        object["message"] = message;
        for (const log_field &field : fields)
            object[std::string(field.name)] = field.value;
        line = object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    } else {
        line = formatUtcTime() + " " + std::string(levelName) + " " + std::string(partName) + ": "
                + std::string(message);
        for (const log_field &field : fields)
            line += " " + std::string(field.name) + "=" + field.value;
    }
    static thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << line;
}
