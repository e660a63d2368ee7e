//===-- SuspensionTests.cpp - an instance that was suspended ----------------===//
//
// What users saw: an instance is suspended for seconds. Its steady clock does not count that time,
// and a timer on that clock fires later by as much, while whatever compares times sees it pass: a
// deadline is over, and nobody ends its request.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/Runtime.h"

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr milliseconds asleep{20000};
/// An instance that has woken notices within this, in the wall's time.
constexpr milliseconds noticed{300};

} // namespace

TEST_CASE("a timer that fell due while the instance was suspended fires when it wakes")
{
    asio::io_context context;
    asio_runtime runtime(context);
    bool isDue = false;
    bool isEarly = false;
    runtime.after(asleep, [&] { isDue = true; });
    runtime.after(2 * asleep, [&] { isEarly = true; });
    context.run_for(milliseconds(20));
    CHECK_FALSE(isDue);
    simulateSuspension(asleep);
    context.run_for(noticed);
    CHECK(isDue);
    CHECK_FALSE(isEarly);
}

TEST_CASE("a timer that was set after a suspension waits its time")
{
    asio::io_context context;
    asio_runtime runtime(context);
    simulateSuspension(asleep);
    const time_point began = bootNow();
    time_point fired{};
    runtime.after(milliseconds(150), [&] { fired = bootNow(); });
    context.run_for(milliseconds(400));
    CHECK(fired - began >= milliseconds(150));
    CHECK(fired - began < milliseconds(200));
}

TEST_CASE("a timer that was cancelled while the instance was suspended does not fire")
{
    asio::io_context context;
    asio_runtime runtime(context);
    bool isDue = false;
    const timer_id timer = runtime.after(asleep, [&] { isDue = true; });
    simulateSuspension(asleep);
    runtime.cancel(timer);
    context.run_for(milliseconds(150));
    CHECK_FALSE(isDue);
}
