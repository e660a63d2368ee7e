//===-- Policy/PauseSample.h - usual pause of one stream --------*- C++ -*-===//
//
// The median pause between the events of one stream. While an endpoint reads a long prompt it makes
// no tokens, so the mean pause rises with its queue. Most pauses hold decoding steps only, so the
// median shows how fast the endpoint works. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_PAUSESAMPLE_H
#define LAURELCROFT_POLICY_PAUSESAMPLE_H

#include "laurelcroft/Support/Runtime.h"

#include <array>
#include <cstddef>
#include <optional>

namespace laurelcroft {

/// The pauses of one stream, in bounded memory.
class pause_sample
{
public:
    /// Later pauses of a stream are ignored: the median no longer changes much.
    static constexpr std::size_t maxPauses = 24;

    /// Adds the pause before one event.
    void add(duration pause);

    /// Forgets all pauses.
    void clear() { m_count = 0; }

    std::size_t count() const { return m_count; }

    /// \returns the median pause, or nothing if there are too few pauses.
    std::optional<duration> median() const;

private:
    /// With fewer pauses, a single long one may be the median.
    static constexpr std::size_t minPauses = 3;

    std::array<duration, maxPauses> m_pauses{};
    std::size_t m_count = 0;
};

} // namespace laurelcroft

#endif
