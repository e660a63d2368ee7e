//===-- PauseSample.cpp - usual pause of one stream -----------------------===//
//
// Sorts a copy of the first pauses.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/PauseSample.h"

#include <algorithm>

using namespace laurelcroft;

void pause_sample::add(duration pause)
{
    if (m_count < maxPauses)
        m_pauses[m_count++] = pause;
}

std::optional<duration> pause_sample::median() const
{
    if (m_count < minPauses)
        return std::nullopt;
    std::array<duration, maxPauses> sorted = m_pauses;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(m_count / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(m_count));
    return *middle;
}
