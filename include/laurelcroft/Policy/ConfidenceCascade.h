//===-- Policy/ConfidenceCascade.h - small model first -----------*- C++ -*-===//
//
// Which model of a route answers first, and when an answer is dropped for a larger
// model's. The only evidence is the model's own confidence, which comes with the head
// of the answer; no rating comes back.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_CONFIDENCECASCADE_H
#define LAURELCROFT_POLICY_CONFIDENCECASCADE_H

#include <cstddef>
#include <optional>

namespace laurelcroft {

/// Settings of the cascade.
struct cascade_settings
{
    std::size_t firstModel = 0; ///< index into the route's models, smallest first
    int keepFrom = 50; ///< percent of confidence from which an answer is kept
    int keepFromBusy = 15; ///< the same while endpoints are busy
    /// Waits for a first part, as shares of the objective, up to which endpoints count as
    /// calm, and from which as busy; the threshold moves between them.
    double calmWait = 0.08;
    double busyWait = 0.35;
    /// Wait from which no larger model is asked any more; between busy and full, ever fewer are.
    double fullWait = 0.6;
};

/// What is known when the head of an answer comes.
struct cascade_view
{
    std::size_t model = 0; ///< index of the model that answers
    std::size_t models = 1; ///< number of models of the route
    std::optional<int> confidence; ///< percent
    bool mayRunAgain = false; ///< endpoints, budget and time allow one more run
    double wait = 0; ///< recent mean wait for a first part, as a share of the objective
    double draw = 0; ///< of this request, uniform from 0 to 1
    /// When the larger model's first part is expected, from the caller's request on, as a share
    /// of the objective.
    double expectedAt = 0;
};

/// A recent mean that follows its samples within a second or two.
class recent_wait
{
public:
    /// \param share wait for a first part over the route's objective.
    void note(double share) { m_mean += weight * (share - m_mean); }
    double mean() const { return m_mean; }

private:
    /// At some tens of answers a second the mean follows within about a second.
    static constexpr double weight = 0.03;
    double m_mean = 0;
};

/// \returns the confidence from which an answer is kept, percent, at this mean wait.
int keepThreshold(const cascade_settings &settings, double wait);

/// \returns the index of the first model to ask, of \p models.
std::size_t firstModel(const cascade_settings &settings, std::size_t models);

/// \returns the model to ask instead; nothing when the answer is kept.
std::optional<std::size_t> escalationTarget(const cascade_settings &settings,
                                            const cascade_view &view);

} // namespace laurelcroft

#endif
