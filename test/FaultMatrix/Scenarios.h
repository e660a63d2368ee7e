//===-- Scenarios.h - what callers do in a cell of the matrix ----*- C++ -*-===//
//
// Each scenario is one kind of request of the brief, with a caller that retries as
// the answers tell it to.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_TEST_FAULTMATRIX_SCENARIOS_H
#define LAURELCROFT_TEST_FAULTMATRIX_SCENARIOS_H

#include "Auditor.h"

#include <string>
#include <vector>

namespace laurelcroft::testing {

/// The bundle that all scenarios use.
bundle testBundle();

/// Names of the scenarios.
const std::vector<std::string> &scenarioNames();

/// What one cell ended with.
struct cell_result
{
    std::vector<violation> violations;
    bool allFaultsInjected = false; ///< every fault did
    bool served = false; ///< the scenario's request was answered whole
    std::map<std::string, int> steps; ///< passed before their effect, with their counts
    std::map<std::string, int> afterSteps; ///< passed after it
    std::vector<decision> decisions;
    std::vector<caller_record> callers;
};

/// Runs one cell from start to quiescence and audits it.
cell_result runCell(const std::string &scenario, const std::vector<fault_point> &faults,
                    std::uint64_t seed, sabotage activeSabotage = sabotage::none);

/// One cell's address.
struct cell
{
    std::string scenario;
    std::vector<fault_point> faults;
    std::uint64_t seed = 1;

    std::string text() const;
};

/// All single faults at all steps that the scenarios pass without a fault.
std::vector<cell> allCells();

/// A seeded sample of \p count pairs of them, each pair in one scenario.
std::vector<cell> samplePairs(const std::vector<cell> &cells, std::size_t count,
                              std::uint64_t seed);

} // namespace laurelcroft::testing

#endif
