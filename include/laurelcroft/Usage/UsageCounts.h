//===-- Usage/UsageCounts.h - requests by customer and window ----*- C++ -*-===//
//
// What is counted, and how it goes from an entry to the holder of the usage duty.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_USAGECOUNTS_H
#define LAURELCROFT_USAGE_USAGECOUNTS_H

#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace laurelcroft {

/// Number of a window: window k begins k lengths after the start of 1970, in true time.
using window_number = std::uint64_t;

/// Requests that endpoints have begun to run, by customer. What is added may be negative: a request
/// was counted and has not run after all.
using customer_counts = std::map<std::string, std::int64_t, std::less<>>;

/// The same by window.
using window_counts = std::map<window_number, customer_counts>;

/// How true time is cut into windows.
struct usage_windows
{
    milliseconds length{5000};

    /// \param trueTime since the start of 1970.
    window_number windowAt(milliseconds trueTime) const
    {
        return static_cast<window_number>(trueTime / length);
    }
    milliseconds endOf(window_number window) const
    {
        return length * static_cast<std::int64_t>(window + 1);
    }
};

/// What one process has counted since its batch before.
struct usage_batch
{
    std::uint64_t number = 0; ///< from 1, without gaps
    window_number closedBefore = 0; ///< with this batch all counts of earlier windows are told
    window_counts counts;

    bool operator==(const usage_batch &) const = default;
};

} // namespace laurelcroft

#endif
