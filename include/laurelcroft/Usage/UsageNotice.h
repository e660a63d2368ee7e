//===-- Usage/UsageNotice.h - datagrams of the usage duty --------*- C++ -*-===//
//
// Entries tell the holder their counts, and the holder says what it has in its row.
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

/// Counts of one process.
struct usage_notice
{
    std::string entry;
    std::uint64_t life = 0; ///< later processes of an entry have a higher one
    std::uint64_t acknowledged = 0; ///< all batches up to it are in a row
    std::vector<usage_batch> batches; ///< in their order

    bool operator==(const usage_notice &) const = default;
};

/// The holder's word, also sent now and then to say that it lives.
struct usage_ack
{
    std::string holder;
    std::uint64_t token = 0;
    std::uint64_t life = 0; ///< of the process that is acknowledged; 0: none
    std::uint64_t number = 0; ///< its batches up to this one are in a row

    bool operator==(const usage_ack &) const = default;
};

/// The holder has given the duty back.
struct usage_handover
{
    std::string holder; ///< the former one
    std::uint64_t token = 0;

    bool operator==(const usage_handover &) const = default;
};

using usage_message = std::variant<usage_notice, usage_ack, usage_handover>;

std::string encodeUsageMessage(const usage_message &message);
/// \returns nothing for bytes that are none of them.
std::optional<usage_message> decodeUsageMessage(std::string_view bytes);

} // namespace laurelcroft

#endif
