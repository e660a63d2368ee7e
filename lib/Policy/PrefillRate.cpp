//===-- PrefillRate.cpp - how fast a model reads prompts ---------------------===//
//
// An asymmetric running mean, which settles near a low quantile.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/PrefillRate.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

/// Shorter prompts say more about the way there than about reading.
constexpr unsigned minTokens = 1500;
constexpr double shorterWeight = 0.1;
constexpr double longerWeight = 0.01;

} // namespace

void prefill_rate::note(unsigned tokens, double waitMs, double ownShare)
{
    if (tokens < minTokens)
        return;
    const double sample = waitMs * ownShare / tokens;
    ++m_samples;
    const double usual = sample < m_msPerToken ? shorterWeight : longerWeight;
    const double weight = std::max(usual, 1.0 / m_samples);
    m_msPerToken += weight * (sample - m_msPerToken);
}
