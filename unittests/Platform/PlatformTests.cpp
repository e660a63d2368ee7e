//===-- PlatformTests.cpp - limits on calls to the platform -----------------===//
//
// Rate limit and circuit breaker under a simulated clock.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Platform/ServiceLimiter.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

TEST_CASE("calls above the rate limit are refused")
{
    manual_runtime runtime;
    service_limiter gate(10, 2);
    CHECK(gate.pass(runtime.now()));
    CHECK(gate.pass(runtime.now()));
    CHECK_FALSE(gate.pass(runtime.now()));
    CHECK(gate.retryAfter(runtime.now()).count() > 0);
    runtime.advance(milliseconds(100));
    CHECK(gate.pass(runtime.now()));
}

TEST_CASE("the breaker opens after failures and allows one call in eight seconds during an outage")
{
    manual_runtime runtime;
    service_limiter gate(1000, 1000);
    int calls = 0;
    for (int second = 0; second < 120; ++second) {
        for (int i = 0; i < 10; ++i) {
            if (!gate.pass(runtime.now()))
                continue;
            calls += 1;
            gate.failed(runtime.now());
        }
        runtime.advance(seconds(1));
    }
    CHECK(gate.isBreakerOpen());
    CHECK(calls < 3 + 4 + 120 / 8 + 2);
    runtime.advance(seconds(9));
    CHECK(gate.pass(runtime.now()));
    gate.succeeded();
    CHECK_FALSE(gate.isBreakerOpen());
}
