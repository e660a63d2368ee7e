//===-- Support/BootTimer.h - timers on CLOCK_BOOTTIME ----------*- C++ -*-===//
//
// Asio's timers use std::chrono::steady_clock, which does not advance while an instance is
// suspended: a deadline would expire late by the length of the suspension. The timers declared here
// use bootNow(), the clock that all other code compares deadlines with.
//
// A long wait is split into intervals of at most maxClockPollInterval, and the clock is read again
// after each. A timerfd on CLOCK_BOOTTIME would not need polling, but would need its own timer
// queue in each io_context, only to save a delay of up to 0.1 s after each suspension. In an idle
// process polling costs ten wake-ups per second, 0.0004 of a core.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_BOOTTIMER_H
#define LAURELCROFT_SUPPORT_BOOTTIMER_H

#include "laurelcroft/Support/Runtime.h"

#include <asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace laurelcroft {

/// Adapts \c bootNow to the clock type that Asio's timers require.
struct boot_clock
{
    using duration = laurelcroft::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = laurelcroft::time_point;
    static time_point now() { return bootNow(); }
};

/// Limits how long Asio waits before it reads the clock again.
struct boot_wait_traits
{
    /// Upper bound of a timer's extra delay after a suspension; short compared with any deadline.
    static constexpr milliseconds maxClockPollInterval{100};

    // Asio requires these names.
    // NOLINTBEGIN(readability-identifier-naming)
    static duration to_wait_duration(const duration &remaining)
    {
        return std::min<duration>(remaining, maxClockPollInterval);
    }
    static duration to_wait_duration(const time_point &end)
    {
        return to_wait_duration(end - bootNow());
    }
    // NOLINTEND(readability-identifier-naming)
};

using boot_timer = asio::basic_waitable_timer<boot_clock, boot_wait_traits>;

} // namespace laurelcroft

#endif
