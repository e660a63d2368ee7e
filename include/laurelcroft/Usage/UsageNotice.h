//===-- Usage/UsageNotice.h - datagrams of the usage duty -------*- C++ -*-===//
//
// Entries send their counts to the holder of the usage duty. The holder acknowledges the batches
// that it has saved in its row.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_USAGENOTICE_H
#define LAURELCROFT_USAGE_USAGENOTICE_H

#include "laurelcroft/Usage/UsageCounts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace laurelcroft {

/// Unacknowledged batches of one process, sent to the holder.
struct usage_notice
{
    std::string entry;
    std::uint64_t life = 0; ///< identifies the process; increases with each restart of the entry
    std::uint64_t acknowledged = 0; ///< all batches up to this number are saved in the row
    std::vector<usage_batch> batches; ///< in ascending order of their numbers

    bool operator==(const usage_notice &) const = default;
};

/// Acknowledgement from the holder, which also sends it periodically as a heartbeat.
struct usage_ack
{
    std::string holder;
    std::uint64_t token = 0; ///< fencing token of the holder's lease
    std::uint64_t life = 0; ///< of the process whose batches are acknowledged; 0 in a heartbeat
    std::uint64_t number = 0; ///< the batches up to this number are saved in the row

    bool operator==(const usage_ack &) const = default;
};

/// Notification that the holder has released the duty.
struct usage_handover
{
    std::string holder; ///< the former holder
    std::uint64_t token = 0; ///< fencing token of the released lease

    bool operator==(const usage_handover &) const = default;
};

using usage_message = std::variant<usage_notice, usage_ack, usage_handover>;

std::string encodeUsageMessage(const usage_message &message);
/// \returns nothing if \p bytes are not a valid usage message.
std::optional<usage_message> decodeUsageMessage(std::string_view bytes);

} // namespace laurelcroft

#endif
