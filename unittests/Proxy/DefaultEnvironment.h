//===-- DefaultEnvironment.h - parts of a flow's environment ----*- C++ -*-===//
//
// The parts of a request flow's environment that most tests leave out: the response is dropped, the
// caller is never behind, memory is never short, and nothing is logged. Tests derive from it and
// hide what they need.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_DEFAULTENVIRONMENT_H
#define LAURELCROFT_UNITTESTS_PROXY_DEFAULTENVIRONMENT_H

#include "laurelcroft/Proxy/RequestFlow.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Base of an environment.
struct default_environment
{
    bool hasRoomAt(const endpoint_ptr &) { return true; }
    void cancel(call_id) { }
    void reply(int, const http_headers &, std::string_view) { }
    void begin(int, const http_headers &) { }
    void beginWhole(int, const http_headers &, std::optional<std::uint64_t>) { }
    void write(std::string_view) { }
    void end() { }
    void abort() { }
    bool holdAnswer(std::size_t) { return true; }
    bool isCallerBehind() { return false; }
    bool hasMemoryFor(int) { return true; }
    bool wasCallerCutOff() { return false; }
    time_point callerProgressAt() { return {}; }
    void whenCallerDrained(const std::function<void()> &) { }
    void pause(call_id) { }
    void resume(call_id) { }
    void finished(const flow_record &) { }
    void escalated(const flow_record &, const std::string &) { }
    void sentFurther(const flow_record &, further_send) { }
    void attemptEnded(const flow_record &, attempt_end, next_step) { }
    void checkEnded(const endpoint_ptr &) { }
};

} // namespace laurelcroft

#endif
