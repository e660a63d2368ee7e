//===-- ReadingCaller.h - a caller that reads at once -----------*- C++ -*-===//
//
// The part of a request flow's environment that concerns slow callers and memory, for tests whose
// callers are never behind.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_READINGCALLER_H
#define LAURELCROFT_UNITTESTS_PROXY_READINGCALLER_H

#include "laurelcroft/Proxy/ProxyTypes.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace laurelcroft {

/// Base of an environment.
struct reading_caller
{
    void beginWhole(int, const http_headers &, std::optional<std::uint64_t>) { }
    bool holdAnswer(std::size_t) { return true; }
    bool isCallerBehind() { return false; }
    bool hasMemoryFor(int) { return true; }
    bool wasCallerCutOff() { return false; }
    time_point callerProgressAt() { return {}; }
    void whenCallerDrained(const std::function<void()> &) { }
    void pause(call_id) { }
    void resume(call_id) { }
};

} // namespace laurelcroft

#endif
