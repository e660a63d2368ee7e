//===-- Proxy/RolloutRows.h - rows that entries share ------------*- C++ -*-===//
//
// Keys and values of the table that belongs to laurelcroft itself.
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

/// Answers of a version under roll-out.
struct version_answers
{
    std::uint64_t good = 0;
    std::uint64_t failed = 0;
    std::uint64_t slow = 0;

    std::uint64_t bad() const { return failed + slow; }
    std::uint64_t all() const { return good + failed + slow; }
    bool operator==(const version_answers &) const = default;
};

/// What one entry has seen of a version under roll-out.
struct rollout_evidence
{
    std::uint64_t orderedAt = 0; ///< as in the order
    std::map<std::string, version_answers> byRoute;
    std::uint64_t incarnation
            = 0; ///< random for each process, which counts from nothing; 0: not told
    bool operator==(const rollout_evidence &) const = default;

    std::uint64_t bad() const;
    std::uint64_t all() const;
};

/// The table of laurelcroft's own rows.
inline constexpr std::string_view internalTable = "laurelcroft";

std::string rolloutKey(std::string_view service);
std::string entryKey(std::string_view entry);
std::string evidenceKey(std::string_view entry, std::string_view service);

/// \returns the service of a roll-out's key; nothing for other keys.
std::optional<std::string> serviceOfKey(std::string_view key);
/// \returns the entry of an entry's key; nothing for other keys.
std::optional<std::string> entryOfKey(std::string_view key);

/// Whose evidence a row holds.
struct evidence_row_key
{
    std::string entry;
    std::string service;
};
/// \returns the place of an evidence row's key; nothing for other keys.
std::optional<evidence_row_key> evidenceOfKey(std::string_view key);

/// Where an entry is.
struct entry_info
{
    std::string address; ///< "host:port" where other entries may read its rows; empty: nowhere
    std::string dataCentre;
    milliseconds writtenAt{0}; ///< on the store's clock
    double processorShare = 0; ///< of a core, that the instance gives; 0: not told
    /// The instance's time of day, less the store's clock, when the row was written.
    std::optional<milliseconds> wallClockOffset = std::nullopt;
};
using entry_map = std::map<std::string, entry_info>; ///< by name

std::string encodeEntry(const entry_info &place);
/// \returns an empty place for a row that can't be read: it is an entry all the same.
entry_info decodeEntry(const std::string &value);

std::string encodeRollout(const rollout_row &row);
outcome<rollout_row, std::string> decodeRollout(const std::string &value);

std::string encodeEvidence(const rollout_evidence &evidence);
outcome<rollout_evidence, std::string> decodeEvidence(const std::string &value);

} // namespace laurelcroft

#endif
