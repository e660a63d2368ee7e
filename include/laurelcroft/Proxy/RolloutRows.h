//===-- Proxy/RolloutRows.h - rows that entries share -----------*- C++ -*-===//
//
// Keys and values of laurelcroft's internal table.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROLLOUTROWS_H
#define LAURELCROFT_PROXY_ROLLOUTROWS_H

#include "laurelcroft/Policy/ServiceRollout.h"
#include "laurelcroft/Support/Outcome.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Counts the answers of a version under roll-out.
struct version_answers
{
    std::uint64_t good = 0;
    std::uint64_t failed = 0;
    std::uint64_t slow = 0;

    std::uint64_t bad() const { return failed + slow; }
    std::uint64_t all() const { return good + failed + slow; }
    bool operator==(const version_answers &) const = default;
};

/// Answers of a version under roll-out that one entry has seen.
struct rollout_evidence
{
    store_version orderedAt{}; ///< rollout_order::orderedAt
    std::map<std::string, version_answers> byRoute;
    std::uint64_t incarnation = 0; ///< random per process, whose counts start from 0; 0: unknown
    bool operator==(const rollout_evidence &) const = default;

    std::uint64_t bad() const;
    std::uint64_t all() const;
};

/// Name of the table that holds laurelcroft's internal rows.
inline constexpr std::string_view internalTable = "laurelcroft";

std::string rolloutKey(std::string_view service);
std::string entryKey(std::string_view entry);
std::string evidenceKey(std::string_view entry, std::string_view service);

/// \returns the service of a roll-out row's key; nothing for other keys.
std::optional<std::string> serviceOfKey(std::string_view key);
/// \returns the entry of an entry row's key; nothing for other keys.
std::optional<std::string> entryOfKey(std::string_view key);

/// Entry and service that an evidence row belongs to.
struct evidence_row_key
{
    std::string entry;
    std::string service;
};
/// \returns the entry and service of an evidence row's key; nothing for other keys.
std::optional<evidence_row_key> evidenceOfKey(std::string_view key);

/// Address and state of an entry, as stored in its row.
struct entry_info
{
    std::string address; ///< "host:port" that serves this entry's rows to others; empty: none
    std::string dataCentre;
    milliseconds writtenAt{0}; ///< time on the store's clock
    double processorShare = 0; ///< CPU cores available to the instance; 0: unknown
    /// Wall-clock time of the instance minus the store's clock when the row was written.
    std::optional<milliseconds> wallClockOffset = std::nullopt;
};
using entry_map = std::map<std::string, entry_info>; ///< keyed by name

std::string encodeEntry(const entry_info &place);
/// \returns an empty info for an unreadable row, which still counts as an entry.
entry_info decodeEntry(const std::string &value);

std::string encodeRollout(const rollout_row &row);
outcome<rollout_row, std::string> decodeRollout(const std::string &value);

std::string encodeEvidence(const rollout_evidence &evidence);
outcome<rollout_evidence, std::string> decodeEvidence(const std::string &value);

} // namespace laurelcroft

#endif
