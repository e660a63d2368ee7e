//===-- Load/Trial.h - experiments with the decision code -------*- C++ -*-===//
//
// Each experiment runs the product's decision code with a fixed seed and returns rows of figures.
// Most compare it with baseline policies in the same run. All but the socket experiment use a
// simulated clock or none.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LOAD_TRIAL_H
#define LAURELCROFT_LOAD_TRIAL_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace laurelcroft {

/// A named result of a variant.
struct trial_figure
{
    std::string name; ///< includes the unit
    double value = 0;
};

/// Results of one variant at one x-axis value.
struct trial_row
{
    std::string experiment;
    std::string variant; ///< name of the policy; "laurelcroft" is the product's own
    double axisValue = 0; ///< value on the x axis
    std::string axis; ///< label of the x axis; empty if the experiment has none
    std::vector<trial_figure> figures;
};

/// Parameters of an experiment, read from the experiment file.
struct trial_settings
{
    std::string kind;
    std::uint64_t seed = 1;
    std::vector<double> axisValues; ///< x-axis values to run, one after the other
    double runs = 1; ///< repetitions (guard) or simulated seconds (endpoints, limits)
    double loss = 0; ///< fraction of datagrams that is dropped, in [0, 1]
};

/// Measures how fast gossip spreads new bundle epochs and member failures, in simulated time.
std::vector<trial_row> runSpreadTrial(const trial_settings &given);

/// Measures the spread of a bundle epoch over UDP sockets on loopback, with at most 300 members.
std::vector<trial_row> runSocketSpreadTrial(const trial_settings &given);

/// Measures the cost of a cascade that must meet a quality target while the request mix shifts.
std::vector<trial_row> runCascadeTrial(const trial_settings &given);

/// Counts the answers that a bad version serves before its roll-out is stopped, and how often the
/// roll-out of a good version is stopped.
std::vector<trial_row> runGuardTrial(const trial_settings &given);

/// Measures the time to first token at given fractions of the capacity, by endpoint choice policy.
std::vector<trial_row> runEndpointTrial(const trial_settings &given);

/// Measures by how much a customer exceeds its rate limit when several entries enforce it.
std::vector<trial_row> runLimitTrial(const trial_settings &given);

} // namespace laurelcroft

#endif
