//===-- Usage/UsageEnvironment.h - usage duty dependencies ------*- C++ -*-===//
//
// The usage duty reaches the clock, the store, the other entries and the receiver of usage reports
// through an environment, so that tests can simulate all of them.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_USAGEENVIRONMENT_H
#define LAURELCROFT_USAGE_USAGEENVIRONMENT_H

#include "laurelcroft/Platform/RowStore.h"
#include "laurelcroft/Usage/UsageCounts.h"
#include "laurelcroft/Usage/UsageNotice.h"

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <type_traits>

namespace laurelcroft {

/// The usage of one window, as reported to the platform.
struct usage_report
{
    std::string holder; ///< name of the reporting entry
    std::uint64_t token = 0; ///< fencing token of its lease
    window_number window = 0;
    customer_counts counts;

    bool operator==(const usage_report &) const = default;
};

/// Settings of the usage duty, from the settings of the site.
struct usage_settings
{
    std::string entry; ///< name of this entry
    usage_windows windows;
    /// Length of a lease. An entry whose lease ended less than this long ago may not acquire the
    /// duty again if another entry has held it since.
    milliseconds lease{3000};
    milliseconds due{10000}; ///< from the end of a window until its usage must be reported
};

/// Time limit of a report. A report is only sent if the lease lasts longer than this.
inline constexpr milliseconds reportTimeout{800};

/// Requirements for the environment of the usage duty.
template <class E>
concept usage_environment
        = requires(E env, const std::string &entry, const usage_message &message,
                   const usage_report &report, std::function<void(bool)> onReported)
{
    requires runtime_like<std::remove_reference_t<decltype(env.runtime())>>;
    requires row_store_like<std::remove_reference_t<decltype(env.store())>>;
    /// Time since the Unix epoch; nothing as long as it is not known.
    {
        env.trueTime()
        } -> std::same_as<std::optional<milliseconds>>;
    /// Sends a datagram to another entry.
    env.send(entry, message);
    /// Reports the usage of a window. Calls \c onReported within \c reportTimeout, with true if the
    /// report was accepted.
    env.report(report, onReported);
};

} // namespace laurelcroft

#endif
