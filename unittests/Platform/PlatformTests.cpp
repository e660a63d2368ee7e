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
    service_limiter limiter(10, 2);
    CHECK(limiter.pass(runtime.now()));
    CHECK(limiter.pass(runtime.now()));
    CHECK_FALSE(limiter.pass(runtime.now()));
    CHECK(limiter.retryAfter(runtime.now()).count() > 0);
    runtime.advance(milliseconds(100));
    CHECK(limiter.pass(runtime.now()));
}

TEST_CASE("the breaker opens after failures and allows one call in eight seconds during an outage")
{
    manual_runtime runtime;
    service_limiter limiter(1000, 1000);
    int calls = 0;
    for (int second = 0; second < 120; ++second) {
        for (int i = 0; i < 10; ++i) {
            if (!limiter.pass(runtime.now()))
                continue;
            calls += 1;
            limiter.failed(runtime.now());
        }
        runtime.advance(seconds(1));
    }
    CHECK(limiter.isBreakerOpen());
    CHECK(calls < 3 + 4 + 120 / 8 + 2);
    runtime.advance(seconds(9));
    CHECK(limiter.pass(runtime.now()));
    limiter.succeeded();
    CHECK_FALSE(limiter.isBreakerOpen());
}
