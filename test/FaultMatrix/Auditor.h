//===-- Auditor.h - checks a simulated run against the guarantees -*- C++ -*-===//
//
// Compares the attempts that engines ran, the rows of the table and the answers that
// callers received, and reports every guarantee that was violated.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_TEST_FAULTMATRIX_AUDITOR_H
#define LAURELCROFT_TEST_FAULTMATRIX_AUDITOR_H

#include "World.h"

#include <string>
#include <vector>

namespace laurelcroft::testing {

/// The guarantees that the auditor checks.
enum class guarantee {
    allowed, ///< engines run only what the customer may use
    withdrawn, ///< engines run no withdrawn version
    session, ///< a session stays on its version
    billedOnce, ///< each request that ran has exactly one bill
    ownAnswer, ///< each answer was generated for its own request
    notRunIsTrue, ///< a request reported as not run has not run
    atMostOnce, ///< a request that is not repeatable runs once at most
    leaving, ///< a leaving agent gets no new attempts
    plannedStop, ///< a planned stop interrupts no request
    bundle, ///< all instances reach the latest epoch and none goes back
    answered, ///< every caller gets a final answer or loses its connection
};

std::string_view textOf(guarantee which);

/// One violation of a guarantee.
struct violation
{
    guarantee which;
    std::string detail;
};

/// \returns the violations found at the end of a run.
std::vector<violation> audit(simulated_site &site);

} // namespace laurelcroft::testing

#endif
