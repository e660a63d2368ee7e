//===-- Proxy/EvidenceNotice.h - roll-out evidence by datagram ---*- C++ -*-===//
//
// Answer counts of a version under roll-out that an entry sends to the entries that read the store.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_EVIDENCENOTICE_H
#define LAURELCROFT_PROXY_EVIDENCENOTICE_H

#include "laurelcroft/Proxy/RolloutRows.h"

#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Answer counts that one entry has collected.
struct evidence_notice
{
    /// Limits the encoded routes so that the datagram fits into one packet. Routes with the most
    /// bad answers are kept.
    static constexpr std::size_t maxRoutes = 24;

    std::string entry;
    std::string service;
    rollout_evidence evidence;

    bool operator==(const evidence_notice &) const = default;
};

std::string encodeEvidenceNotice(const evidence_notice &notice);
/// \returns nothing if \p bytes are not a valid evidence notice.
std::optional<evidence_notice> decodeEvidenceNotice(std::string_view bytes);

} // namespace laurelcroft

#endif
