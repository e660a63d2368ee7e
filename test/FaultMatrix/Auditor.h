//===-- Auditor.h - compares the fakes' journals with the promises -*- C++ -*-===//
//
// Reads what engines ran, what the table holds and what callers got, and reports
// every promise that does not hold.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_TEST_FAULTMATRIX_AUDITOR_H
#define LAURELCROFT_TEST_FAULTMATRIX_AUDITOR_H

#include "World.h"

#include <string>
#include <vector>

namespace laurelcroft::testing {

/// The promises of the brief, in its order.
enum class guarantee {
    allowed,
    withdrawn,
    session,
    billedOnce,
    ownAnswer,
    notRunIsTrue,
    atMostOnce,
    leaving,
    plannedStop,
    bundle,
    answered, ///< every caller that stayed gets a final answer
};

std::string_view textOf(guarantee which);

struct violation
{
    guarantee which;
    std::string detail;
};

/// \returns what does not hold at the end of a run.
std::vector<violation> audit(simulated_site &site);

} // namespace laurelcroft::testing

#endif
