//===-- Support/Decay.h - exponential decay ----------------------*- C++ -*-===//
//
// How much of a weight is left after some time. The caller passes in times; nothing reads a clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_DECAY_H
#define LAURELCROFT_SUPPORT_DECAY_H

#include "laurelcroft/Support/Runtime.h"

#include <algorithm>
#include <cmath>

namespace laurelcroft {

/// \returns the part of a weight that is left at \p age, from 1 to 0. A negative age, as after a
/// clock that steps back, counts as 0.
inline double decayFactor(duration age, duration halfLife)
{
    const double halves
            = std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife);
    return std::exp2(-std::max(0.0, halves));
}

} // namespace laurelcroft

#endif
