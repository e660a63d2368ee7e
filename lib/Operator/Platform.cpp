//===-- Platform.cpp - blocking calls of the operators' command -------------===//
//
// Each call starts the asynchronous operation and runs the I/O context until it completes.
//
//===----------------------------------------------------------------------===//
#include "Platform.h"

using namespace laurelcroft;

namespace {
constexpr milliseconds callTimeout{5000};
constexpr double callRate = 100;
} // namespace

static platform_options optionsFor(const std::string &url)
{
    platform_options options;
    options.url = url;
    options.timeout = callTimeout;
    options.callsPerSecond = callRate;
    options.burst = callRate;
    return options;
}

operator_platform::operator_platform(const std::string &tableUrl, const std::string &objectsUrl)
    : m_runtime(m_context)
    , m_client(m_context)
    , m_table(m_runtime, m_client, optionsFor(tableUrl))
    , m_objects(m_runtime, m_client, optionsFor(objectsUrl))
{
}

outcome<std::optional<table_row>, table_error> operator_platform::read(const std::string &key)
{
    std::optional<outcome<std::optional<table_row>, table_error>> result;
    m_table.read(key, [&](auto answer) { result = std::move(answer); });
    return wait(result);
}

outcome<write_result, table_error> operator_platform::insert(const std::string &key,
                                                             const std::string &value)
{
    std::optional<outcome<write_result, table_error>> result;
    insertResolved(m_table, key, value, [&](auto answer) { result = std::move(answer); });
    return wait(result);
}

outcome<write_result, table_error> operator_platform::compareAndSet(const std::string &key,
                                                                    std::uint64_t version,
                                                                    const std::string &value)
{
    std::optional<outcome<write_result, table_error>> result;
    m_table.compareAndSet(key, version, value, [&](auto answer) { result = std::move(answer); });
    return wait(result);
}

outcome<std::vector<new_row>, table_error> operator_platform::scan(const std::string &prefix)
{
    std::optional<outcome<std::vector<new_row>, table_error>> result;
    m_table.scan(prefix, [&](auto answer) { result = std::move(answer); });
    return wait(result);
}

outcome<std::string, object_error> operator_platform::getObject(const std::string &key)
{
    std::optional<outcome<std::string, object_error>> result;
    m_objects.get(key, [&](auto answer) { result = std::move(answer); });
    return wait(result);
}

outcome<void, object_error> operator_platform::putObject(const std::string &key,
                                                         const std::string &body)
{
    std::optional<outcome<void, object_error>> result;
    m_objects.put(key, body, [&](auto answer) { result = std::move(answer); });
    return wait(result);
}

outcome<http_reply, http_error> operator_platform::get(const std::string &url)
{
    std::optional<outcome<http_reply, http_error>> result;
    http_call call;
    call.url = url;
    m_client.fetch(std::move(call), [&](auto answer) { result = std::move(answer); });
    return wait(result);
}
