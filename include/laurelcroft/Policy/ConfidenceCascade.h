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
};

/// What is known when the head of an answer comes.
struct cascade_view
{
    std::size_t model = 0; ///< index of the model that answers
    std::size_t models = 1; ///< number of models of the route
    std::optional<int> confidence; ///< percent
    bool mayRunAgain = false; ///< endpoints, budget and time allow one more run
};

/// \returns the index of the first model to ask, of \p models.
std::size_t firstModel(const cascade_settings &settings, std::size_t models);

/// \returns the model to ask instead; nothing when the answer is kept.
std::optional<std::size_t> escalatesTo(const cascade_settings &settings, const cascade_view &view);

} // namespace laurelcroft

#endif
