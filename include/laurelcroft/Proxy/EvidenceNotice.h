//===-- Proxy/EvidenceNotice.h - evidence by datagram ------------*- C++ -*-===//
//
// What an entry has seen of a version under roll-out, told to the entries that read the store.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_EVIDENCENOTICE_H
#define LAURELCROFT_PROXY_EVIDENCENOTICE_H

#include "laurelcroft/Proxy/RolloutRows.h"

#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Evidence of one entry.
struct evidence_notice
{
    /// Routes that are told at most, those with the most bad answers: a datagram is one packet.
    static constexpr std::size_t maxRoutes = 24;

    std::string entry;
    std::string service;
    rollout_evidence evidence;

    bool operator==(const evidence_notice &) const = default;
};

std::string encodeEvidenceNotice(const evidence_notice &notice);
/// \returns nothing for bytes that are no such notice.
std::optional<evidence_notice> decodeEvidenceNotice(std::string_view bytes);

} // namespace laurelcroft

#endif
