//===-- Entry/Decision.h - record of a routing decision ---------*- C++ -*-===//
//
// Every routing decision is recorded: in the log in production, and in the golden files by tests.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_DECISION_H
#define LAURELCROFT_ENTRY_DECISION_H

#include "laurelcroft/Contract/Bundle.h"

#include <cstddef>
#include <string>

namespace laurelcroft {

enum class decision_kind { session, claim, start, endpoint, attempt, judge, bill, answer };

std::string_view textOf(decision_kind kind);

/// One decision about a request.
struct decision
{
    std::string requestId;
    bundle_epoch epoch = 0;
    decision_kind kind = decision_kind::answer;
    std::string chosen;
    std::size_t considered = 0; ///< number of alternatives
    std::string reason;
};

} // namespace laurelcroft

#endif
