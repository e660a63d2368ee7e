//===-- Support/BootTimer.h - timers that count suspensions ------*- C++ -*-===//
//
// Asio's timers count the steady clock, which stands still while an instance is suspended, so that
// a deadline would end late by all that time. These go by the clock that decisions go by.
//
// A wait is cut into pieces, after each of which the clock is read again. A timerfd on
// CLOCK_BOOTTIME would wake without pieces; it would need a queue of its own in each context, for
// 0.1 s once after each suspension. The pieces cost ten wake-ups a second where nothing else
// happens, 0.0004 of a core.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_BOOTTIMER_H
#define LAURELCROFT_SUPPORT_BOOTTIMER_H

#include "laurelcroft/Support/Runtime.h"

#include <asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace laurelcroft {

/// The clock of \c bootNow, for Asio.
struct boot_clock
{
    using duration = laurelcroft::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = laurelcroft::time_point;
    static time_point now() { return bootNow(); }
};

/// How long Asio waits before it reads the clock again.
struct boot_wait_traits
{
    /// Noticed this much late after a suspension at most: short against any deadline.
    static constexpr milliseconds maxClockPollInterval{100};

    // Asio gives the names.
    // NOLINTBEGIN(readability-identifier-naming)
    static duration to_wait_duration(const duration &left)
    {
        return std::min<duration>(left, maxClockPollInterval);
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
