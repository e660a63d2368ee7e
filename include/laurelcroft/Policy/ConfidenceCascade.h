//===-- Policy/ConfidenceCascade.h - cascade of models ----------*- C++ -*-===//
//
// Decides which model of a route answers first, and when its answer is dropped and the request is
// sent to a larger model. The decision uses only the confidence that the model reports in the
// response head; there are no ratings.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_CONFIDENCECASCADE_H
#define LAURELCROFT_POLICY_CONFIDENCECASCADE_H

#include <cstddef>
#include <cstdint>
#include <optional>

namespace laurelcroft {

/// Settings of the cascade.
struct cascade_settings
{
    std::size_t firstModel = 0; ///< index into the route's models, smallest first
    int keepFrom = 50; ///< minimum confidence, in percent, at which an answer is kept
    int keepFromBusy = 15; ///< the same while endpoints are busy
    /// Mean waits for the first part of a response, as shares of the latency objective: up to
    /// calmWait endpoints count as calm, from busyWait on as busy. In between, the confidence
    /// threshold is interpolated.
    double calmWait = 0.08;
    double busyWait = 0.35;
    /// Mean wait from which requests are no longer escalated. Between busyWait and fullWait the
    /// share of escalated requests falls linearly.
    double fullWait = 0.6;
};

/// What is known when the response head arrives.
struct cascade_view
{
    std::size_t model = 0; ///< index of the model that responded
    std::size_t models = 1; ///< number of models of the route
    std::optional<int> confidence; ///< percent
    bool mayRunAgain = false; ///< endpoints, budget and time allow one more run
    double wait = 0; ///< recent mean wait for a first part, as a share of the objective
    double draw = 0; ///< random number for this request, uniform from 0 to 1
    /// Expected time until the larger model's first part, counted from the caller's request, as a
    /// share of the objective.
    double expectedAt = 0;
};

/// Exponential moving average of the waits, with a time constant of a second or two.
class recent_wait
{
public:
    /// \param share wait for a first part divided by the route's objective.
    void addSample(double share)
    {
        m_mean += weight * (share - m_mean);
        ++m_samples;
    }
    double mean() const { return m_mean; }

    /// \returns true after some answers; before that nothing is known of the service's endpoints.
    bool isKnown() const { return m_samples >= minSamples; }

private:
    /// At some tens of answers per second, the mean follows a change within about a second.
    static constexpr double weight = 0.03;
    static constexpr std::uint64_t minSamples = 10;
    double m_mean = 0;
    std::uint64_t m_samples = 0;
};

/// \returns the minimum confidence, in percent, at which an answer is kept at this mean wait.
int keepThreshold(const cascade_settings &settings, double wait);

/// \returns the index, below \p models, of the model that a request is sent to first.
std::size_t firstModel(const cascade_settings &settings, std::size_t models);

/// \returns the index of the model to send the request to instead; nothing if the answer is kept.
std::optional<std::size_t> escalationTarget(const cascade_settings &settings,
                                            const cascade_view &view);

} // namespace laurelcroft

#endif
