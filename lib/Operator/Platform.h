//===-- Platform.h - blocking calls of the operators' command ----*- C++ -*-===//
//
// Private to Operator: a subcommand makes one call after another and waits for each.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_OPERATOR_PLATFORM_H
#define LAURELCROFT_LIB_OPERATOR_PLATFORM_H

#include "laurelcroft/Platform/HttpClients.h"

#include <asio/io_context.hpp>

#include <optional>
#include <string>
#include <vector>

namespace laurelcroft {

/// Blocking access to the table, the object store and the admin ports of instances.
class operator_platform
{
public:
    operator_platform(const std::string &tableUrl, const std::string &objectsUrl);

    outcome<std::optional<table_row>, table_error> read(const std::string &key);
    outcome<write_result, table_error> insert(const std::string &key, const std::string &value);
    outcome<write_result, table_error> compareAndSet(const std::string &key, std::uint64_t version,
                                                     const std::string &value);
    outcome<std::vector<new_row>, table_error> scan(const std::string &prefix);
    outcome<std::string, object_error> getObject(const std::string &key);
    outcome<void, object_error> putObject(const std::string &key, const std::string &body);
    outcome<http_reply, http_error> get(const std::string &url);

private:
    /// Runs the I/O context until \p result is set.
    template <class T>
    T wait(std::optional<T> &result)
    {
        m_context.restart();
        while (!result && m_context.run_one() > 0) { }
        return std::move(*result);
    }

    asio::io_context m_context;
    asio_runtime m_runtime;
    http_client m_client;
    http_table m_table;
    http_object_store m_objects;
};

} // namespace laurelcroft

#endif
