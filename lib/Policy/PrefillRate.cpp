//===-- PrefillRate.cpp - estimated prompt processing rate ----------------===//
//
// An exponential moving average with asymmetric weights, which converges to a low quantile.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/PrefillRate.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

/// For shorter prompts, network latency dominates the wait.
constexpr unsigned minTokens = 1500;
constexpr double shorterWeight = 0.1;
constexpr double longerWeight = 0.01;

} // namespace

void prefill_rate::addSample(unsigned tokens, double waitMs, double ownShare)
{
    if (tokens < minTokens)
        return;
    const double sample = waitMs * ownShare / tokens;
    ++m_samples;
    const double usual = sample < m_msPerToken ? shorterWeight : longerWeight;
    const double weight = std::max(usual, 1.0 / m_samples);
    m_msPerToken += weight * (sample - m_msPerToken);
}
