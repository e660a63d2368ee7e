//===-- Ledger/Bill.h - rows of bills and claims -----------------*- C++ -*-===//
//
// Keys of the table rows of bills, claims and sessions, and the JSON encoding of
// bills and claims.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LEDGER_BILL_H
#define LAURELCROFT_LEDGER_BILL_H

#include "laurelcroft.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// \returns the table key of a request's bill.
std::string billKey(std::string_view requestId);

/// Outcome of a bill if it is unknown whether the request ran.
inline constexpr std::string_view uncertainOutcome = "uncertain";

/// \returns the rank of a bill; a bill replaces a stored one of lower rank. The rank is 0
/// for a provisional bill of uncertain outcome, 1 for any other provisional bill (written by
/// an agent) and 2 for the entry's final bill.
int billRank(const wire::bill &item);

std::string encodeBill(const wire::bill &item);
std::optional<wire::bill> decodeBill(std::string_view text);

/// \returns the table key of the claim of a non-repeatable request.
std::string claimKey(std::string_view requestId);

/// State of a claim.
enum class claim_state {
    claimed, ///< held by an entry; the request may run
    released, ///< the request certainly did not run and may be claimed again
    done, ///< the request ran; the claim holds its answer unless that is too large
};

/// Claim of a non-repeatable request. A request runs only while its claim is held, so it runs
/// at most once.
struct claim
{
    claim_state state = claim_state::claimed;
    std::string requestId;
    std::string customer;
    std::string entry; ///< instance that holds the claim
    std::string operationId; ///< unique to each attempt to claim
    std::string bodySha256; ///< digest of the request; other requests under its key are refused
    int status = 0; ///< HTTP status of the answer
    std::string contentType;
    std::string answer;
    std::string model; ///< model that answered; empty for a service
    std::string version;
};

std::string encodeClaim(const claim &item);
std::optional<claim> decodeClaim(std::string_view text);

/// \returns the table key of a session whose name the caller chose.
std::string sessionKey(std::string_view customer, std::string_view session, std::string_view model);

} // namespace laurelcroft

#endif
