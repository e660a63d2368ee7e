//===-- Proxy/CrashNotices.h - crash notices between entries -----*- C++ -*-===//
//
// Messages that entries exchange about crashed endpoints and withheld requests. They are sent as
// datagrams for speed and stored as rows for entries that start later. A request is identified by
// its key only.
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

/// A request that was recently sent to an endpoint when the endpoint crashed.
struct reported_request
{
    request_key key = 0;
    milliseconds age{0}; ///< time from its send to the crash
    milliseconds runTime{0}; ///< time from its send to the crash or to its cancellation
    unsigned ends = 0; ///< number of endpoints that crashed while it ran there
    std::vector<std::uint64_t> earlier; ///< hashes of the endpoints that crashed before

    bool operator==(const reported_request &) const = default;
};

/// Reports that an endpoint has exited without a planned shutdown.
struct crash_notice
{
    /// Limits the encoded requests so that the datagram fits into one packet. Requests with the
    /// most crashes are kept.
    static constexpr std::size_t maxRequests = 48;

    std::uint64_t endpoint = 0; ///< hash of its id and start time
    std::string service;
    std::string version;
    std::vector<reported_request> requests;

    /// \returns true if a request has enough crashes to be the likely cause. Most requests of a
    /// crashed endpoint are unrelated to the crash, so other notices are not urgent.
    bool isUrgent() const;

    bool operator==(const crash_notice &) const = default;
};

/// Reports that a request is withheld, that is, not sent to endpoints of the listed versions. For a
/// prompt part, the prompt parts in \c with have the same ends and are withheld likewise.
struct withheld_notice
{
    request_key key = 0;
    std::string service;
    std::vector<std::string> versions;
    std::vector<std::uint64_t> ended; ///< hashes of the crashed endpoints
    milliseconds remaining{0}; ///< remaining time for which it is withheld
    std::vector<request_key> with = {}; ///< see withheld_request::with

    bool operator==(const withheld_notice &) const = default;
};

/// Reports that a request does not crash endpoints of a version: one has answered it, or has run it
/// for at least \c endpoint_runs::clearedAfter.
struct cleared_notice
{
    request_key key = 0;
    std::string version;
    std::vector<request_key> others = {}; ///< further keys that the notice holds for

    bool operator==(const cleared_notice &) const = default;
};

std::string encodeCrashNotice(const crash_notice &notice);
std::string encodeWithheldNotice(const withheld_notice &notice);
/// \returns nothing if \p bytes are not a valid notice of this kind.
std::optional<crash_notice> decodeCrashNotice(std::string_view bytes);
std::optional<withheld_notice> decodeWithheldNotice(std::string_view bytes);
std::string encodeClearedNotice(const cleared_notice &notice);
std::optional<cleared_notice> decodeClearedNotice(std::string_view bytes);

/// Contents of the row of a withheld or strongly suspected request.
struct withheld_row
{
    std::string service;
    std::vector<std::string> versions; ///< empty if the request is only suspected
    std::vector<std::uint64_t> ended; ///< hashes of the crashed endpoints
    milliseconds until{0}; ///< expiry time on the store's clock
    std::string route; ///< for operators only
    std::string customer; ///< for operators only
    std::vector<request_key> with = {}; ///< see withheld_request::with

    bool operator==(const withheld_row &) const = default;
};

/// \returns the key of the row for request \p key.
std::string withheldRowKey(request_key key);
/// \returns the request key in the row key \p key, or nothing if it is a row of another kind.
std::optional<request_key> requestOfRowKey(std::string_view key);
std::string encodeWithheldRow(const withheld_row &row);
outcome<withheld_row, std::string> decodeWithheldRow(const std::string &value);

} // namespace laurelcroft

#endif
