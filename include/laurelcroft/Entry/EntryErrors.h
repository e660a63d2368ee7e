//===-- Entry/EntryErrors.h - every answer that is no result -----*- C++ -*-===//
//
// The errors that callers can get, and small whole answers. docs/API.md lists the
// codes; `executed` is a promise wherever it says "no".
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_ENTRYERRORS_H
#define LAURELCROFT_ENTRY_ENTRYERRORS_H

#include "laurelcroft/Contract/Bundle.h"
#include "laurelcroft/Entry/AttemptTypes.h"
#include "laurelcroft/Entry/CallerRequest.h"
#include "laurelcroft/Ledger/ClaimRegistry.h"
#include "laurelcroft/Policy/CustomerLimits.h"

#include <string>
#include <string_view>

namespace laurelcroft {

caller_error noBundle();
caller_error leaving();
caller_error badKey();
caller_error unknownTarget(const std::string &name);
caller_error notAllowed(const std::string &name);
caller_error wrongKind(const std::string &name, bool asService);
caller_error alreadyRunning(const std::string &requestId);
caller_error overloaded();
caller_error noPlaceForBill();
caller_error overLimit(const limit_decision &limit);
caller_error timedOutBeforeStart();
caller_error keyUsedForOther();
caller_error claimUnavailable(milliseconds retryAfter);
caller_error tableDown(const table_error &error);
caller_error unknownRequest();

/// \param nothingRan no tier of the request has run.
caller_error tierError(const tier_result &result, bool nothingRan);

/// \returns the customer with this key, or null; the time does not tell which.
const customer *authenticate(const bundle &rules, std::string_view key);

whole_answer modelsAnswer(const bundle &rules, const customer &who);

/// \param found the claim with the kept answer, or null.
whole_answer statusAnswer(const std::string &requestId, std::string_view state, const claim *found);

/// \returns the kept answer of a claimed request.
whole_answer replayAnswer(const claim &found, http_headers headers);

std::string_view textOf(claim_verdict verdict);
std::string_view claimWord(const claim &found);

/// \returns true for an id that an entry made.
bool isRequestId(std::string_view text);

/// \returns \p value with at most four significant digits.
std::string shortNumber(double value);

} // namespace laurelcroft

#endif
