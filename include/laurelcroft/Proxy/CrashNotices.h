//===-- Proxy/CrashNotices.h - findings on requests, as told -----*- C++ -*-===//
//
// What entries tell each other of endpoints that ended and of requests that are withheld: by
// datagram at once, and by a row for entries that start later. A request is named by its key only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_CRASHNOTICES_H
#define LAURELCROFT_PROXY_CRASHNOTICES_H

#include "laurelcroft/Policy/CrashSuspects.h"
#include "laurelcroft/Proxy/RequestKey.h"
#include "laurelcroft/Support/Outcome.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// A request that an endpoint had just begun when it ended.
struct reported_request
{
    request_key key = 0;
    milliseconds age{0}; ///< from its send to the end
    milliseconds lasted{0}; ///< from its send to the end, or until its entry cut it
    unsigned ends = 0; ///< endpoints that have ended under it
    std::vector<std::uint64_t> earlier; ///< hashes of the others

    bool operator==(const reported_request &) const = default;
};

/// An endpoint has ended without being asked to.
struct crash_notice
{
    /// Requests that are told at most, those with the most ends first: a datagram is one packet.
    static constexpr std::size_t maxRequests = 48;

    std::uint64_t endpoint = 0; ///< hash of its id and start
    std::string service;
    std::string version;
    std::vector<reported_request> requests;

    /// \returns true when it speaks against a request that has ended others before: most of what an
    /// ended endpoint had is innocent and needs no hurry.
    bool isUrgent() const;

    bool operator==(const crash_notice &) const = default;
};

/// A request is withheld.
struct withheld_notice
{
    request_key key = 0;
    std::string service;
    std::vector<std::string> versions;
    std::vector<std::uint64_t> ended; ///< hashes of endpoints
    milliseconds left{0}; ///< for so long

    bool operator==(const withheld_notice &) const = default;
};

/// A request is above suspicion: an endpoint has answered it, or runs it for long.
struct cleared_notice
{
    request_key key = 0;
    std::string version;

    bool operator==(const cleared_notice &) const = default;
};

std::string encodeCrashNotice(const crash_notice &notice);
std::string encodeWithheldNotice(const withheld_notice &notice);
/// \returns nothing for bytes that are no such notice.
std::optional<crash_notice> decodeCrashNotice(std::string_view bytes);
std::optional<withheld_notice> decodeWithheldNotice(std::string_view bytes);
std::string encodeClearedNotice(const cleared_notice &notice);
std::optional<cleared_notice> decodeClearedNotice(std::string_view bytes);

/// A withheld or a strongly suspected request as its row has it.
struct withheld_row
{
    std::string service;
    std::vector<std::string> versions; ///< none: it is suspected only
    std::vector<std::uint64_t> ended; ///< hashes of endpoints
    milliseconds until{0}; ///< on the store's clock
    std::string route; ///< for operators
    std::string customer; ///< for operators

    bool operator==(const withheld_row &) const = default;
};

std::string withheldKey(request_key key);
/// \returns the request of a withheld request's row; nothing for other keys.
std::optional<request_key> withheldOfKey(std::string_view key);
std::string encodeWithheldRow(const withheld_row &row);
outcome<withheld_row, std::string> decodeWithheldRow(const std::string &value);

} // namespace laurelcroft

#endif
