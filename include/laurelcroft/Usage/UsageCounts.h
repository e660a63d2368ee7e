//===-- Usage/UsageCounts.h - request counts per customer -------*- C++ -*-===//
//
// Types for the request counts that entries send to the holder of the usage duty. The holder is the
// one entry that adds up the counts of all entries and reports them.
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

/// Number of a time window. Window k begins k window lengths after the Unix epoch, in true time.
using window_number = std::uint64_t;

/// Number of requests that endpoints have begun to run, by customer. A count to be added may be
/// negative, to correct a request that was counted and then did not run.
using customer_counts = std::map<std::string, std::int64_t, std::less<>>;

/// Request counts by window and customer.
using window_counts = std::map<window_number, customer_counts>;

/// Division of true time into windows of equal length.
struct usage_windows
{
    milliseconds length{5000};

    /// \param trueTime time since the Unix epoch.
    /// \returns the window that contains \p trueTime.
    window_number windowAt(milliseconds trueTime) const
    {
        return static_cast<window_number>(trueTime / length);
    }
    /// \returns the end of \p window, as time since the Unix epoch.
    milliseconds endOf(window_number window) const
    {
        return length * static_cast<std::int64_t>(window + 1);
    }
};

/// The counts that one process has added since its previous batch.
struct usage_batch
{
    std::uint64_t number = 0; ///< consecutive, starting at 1
    /// With this batch, all counts of windows before this one have been sent.
    window_number closedBefore = 0;
    window_counts counts;

    bool operator==(const usage_batch &) const = default;
};

} // namespace laurelcroft

#endif
