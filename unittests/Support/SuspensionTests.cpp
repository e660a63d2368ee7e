//===-- SuspensionTests.cpp - timers across a suspension --------------------===//
//
// Guards against timers that fire late after an instance was suspended. The steady clock does not
// advance during a suspension, so a timer on it expires late by the length of the suspension, while
// code that compares bootNow() with a deadline sees it expired: requests ran past their deadline
// because nothing ended them.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/Runtime.h"

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

using namespace laurelcroft;

namespace {

constexpr milliseconds suspensionLength{20000};
/// Real time within which timers must fire after the instance resumes.
constexpr milliseconds maxResumeDelay{300};

} // namespace

TEST_CASE("a timer that expires during a suspension fires on resume")
{
    asio::io_context context;
    asio_runtime runtime(context);
    bool isDue = false;
    bool isEarly = false;
    runtime.after(suspensionLength, [&] { isDue = true; });
    runtime.after(2 * suspensionLength, [&] { isEarly = true; });
    context.run_for(milliseconds(20));
    CHECK_FALSE(isDue);
    simulateSuspension(suspensionLength);
    context.run_for(maxResumeDelay);
    CHECK(isDue);
    CHECK_FALSE(isEarly);
}

TEST_CASE("a timer set after a suspension waits its full delay")
{
    asio::io_context context;
    asio_runtime runtime(context);
    simulateSuspension(suspensionLength);
    const time_point began = bootNow();
    time_point fired{};
    runtime.after(milliseconds(150), [&] { fired = bootNow(); });
    context.run_for(milliseconds(400));
    CHECK(fired - began >= milliseconds(150));
    CHECK(fired - began < milliseconds(200));
}

TEST_CASE("a timer that expires during a suspension can still be cancelled on resume")
{
    asio::io_context context;
    asio_runtime runtime(context);
    bool isDue = false;
    const timer_id timer = runtime.after(suspensionLength, [&] { isDue = true; });
    simulateSuspension(suspensionLength);
    runtime.cancel(timer);
    context.run_for(milliseconds(150));
    CHECK_FALSE(isDue);
}
