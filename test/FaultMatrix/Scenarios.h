//===-- Scenarios.h - caller scenarios and cells of the matrix ----*- C++ -*-===//
//
// Each scenario sends one kind of request. Its caller retries when the answer permits
// it. A cell runs one scenario with the faults injected at chosen steps.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_TEST_FAULTMATRIX_SCENARIOS_H
#define LAURELCROFT_TEST_FAULTMATRIX_SCENARIOS_H

#include "Auditor.h"

#include <string>
#include <vector>

namespace laurelcroft::testing {

/// \returns the bundle that all scenarios use.
bundle testBundle();

/// \returns the names of all scenarios.
const std::vector<std::string> &scenarioNames();

/// The result of running one cell.
struct cell_result
{
    std::vector<violation> violations;
    bool allFaultsInjected = false; ///< no fault missed its step
    bool served = false; ///< the scenario's requests received complete answers
    std::map<std::string, int> steps; ///< passages of each step, counted before its effect
    std::map<std::string, int> afterSteps; ///< passages of each step, counted after its effect
    std::vector<decision> decisions;
    std::vector<caller_record> callers;
};

/// Runs one cell from site start until all activity has settled, and audits it.
cell_result runCell(const std::string &scenario, const std::vector<fault_point> &faults,
                    std::uint64_t seed, sabotage activeSabotage = sabotage::none);

/// Identifies one cell of the fault matrix.
struct cell
{
    std::string scenario;
    std::vector<fault_point> faults;
    std::uint64_t seed = 1;

    std::string text() const;
};

/// \returns a cell for each kind of fault at the first and the last passage of each step that
/// a fault-free run of the scenario passes.
std::vector<cell> allCells();

/// \returns \p count cells with two faults each, drawn at random by \p seed from \p cells of
/// the same scenario.
std::vector<cell> samplePairs(const std::vector<cell> &cells, std::size_t count,
                              std::uint64_t seed);

} // namespace laurelcroft::testing

#endif
