//===-- Usage/UsageEnvironment.h - what is around the usage duty -*- C++ -*-===//
//
// Clock, store, the way to other entries and to whoever is told the usage. Tests play them.
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

/// One window's usage, as it is told.
struct usage_report
{
    std::string holder;
    std::uint64_t token = 0;
    window_number window = 0;
    customer_counts counts;

    bool operator==(const usage_report &) const = default;
};

/// What the site gives.
struct usage_settings
{
    std::string entry; ///< name of this entry
    usage_windows windows;
    /// Of a lease. Nobody has the duty again within it after another one had it.
    milliseconds lease{3000};
    milliseconds due{10000}; ///< from a window's end until its usage must be told
};

/// How long a report may take. A lease is left for longer when one is sent.
inline constexpr milliseconds reportTimeout{800};

/// What the duty needs around it.
template <class E>
concept usage_environment = requires(E env, const std::string &entry, const usage_message &message,
                                     const usage_report &report, std::function<void(bool)> onTold)
{
    requires runtime_like<std::remove_reference_t<decltype(env.runtime())>>;
    requires row_store_like<std::remove_reference_t<decltype(env.store())>>;
    /// Since the start of 1970; nothing before enough is known.
    {
        env.trueTime()
        } -> std::same_as<std::optional<milliseconds>>;
    /// Sends a datagram to another entry.
    env.send(entry, message);
    /// Tells a window's usage. \c onTold gets true once it is taken, within \c reportTimeout.
    env.report(report, onTold);
};

} // namespace laurelcroft

#endif
