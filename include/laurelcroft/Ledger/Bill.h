//===-- Ledger/Bill.h - rows of bills and claims -----------------*- C++ -*-===//
//
// The JSON forms that stand in the platform's table, and their keys.
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

/// Key of a request's bill.
std::string billKey(std::string_view requestId);

/// Outcome of a bill whose request may not have run: nobody could say.
inline constexpr std::string_view uncertainOutcome = "uncertain";

/// \returns how much is known of a bill's request: an uncertain one (0) gives way to
/// an agent's provisional one (1), and that to the entry's own (2).
int billRank(const wire::bill &item);

std::string encodeBill(const wire::bill &item);
std::optional<wire::bill> decodeBill(std::string_view text);

/// Key of the claim of a request that may not be repeated.
std::string claimKey(std::string_view requestId);

/// Life of a claim.
enum class claim_state {
    claimed, ///< an entry holds it; the request may run
    released, ///< surely not run: it may be claimed again
    done, ///< ran; the answer is kept here
};

/// The claim of one request that may not be repeated.
struct claim
{
    claim_state state = claim_state::claimed;
    std::string requestId;
    std::string customer;
    std::string entry; ///< instance that holds it
    std::string operationId; ///< differs for every attempt to claim
    std::string bodySha256; ///< of the request; another body under the same key is refused
    int status = 0; ///< HTTP status of the answer
    std::string contentType;
    std::string answer;
    std::string model; ///< that answered; empty for a service
    std::string version;
};

std::string encodeClaim(const claim &item);
std::optional<claim> decodeClaim(std::string_view text);

/// Key of a session that the caller named itself.
std::string sessionKey(std::string_view customer, std::string_view session, std::string_view model);

} // namespace laurelcroft

#endif
