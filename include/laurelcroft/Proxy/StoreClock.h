//===-- Proxy/StoreClock.h - estimates the store's clock --------*- C++ -*-===//
//
// Entries do some things at the same time of the store's clock, such as a switch to another stage
// of a roll-out. Each entry converts that time to its own clock with the readings that come with
// rows.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORECLOCK_H
#define LAURELCROFT_PROXY_STORECLOCK_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// Estimates the store's clock. A reading is late by the unknown time it took to arrive; the one
/// with the shortest delay is the most accurate.
class store_clock
{
public:
    /// A reading this far behind the estimate comes from a store that was restarted with another
    /// clock. Delays in transit are shorter.
    static constexpr milliseconds resetThreshold{10000};
    /// How long a reading is preferred to later ones that are behind it. Two clocks drift apart by
    /// about 50 us per second, which is 2 ms in this time.
    static constexpr milliseconds trustPeriod{30000};

    bool isKnown() const { return m_isKnown; }

    /// Adds a reading that arrived at \p now.
    void note(milliseconds reading, time_point now)
    {
        const milliseconds behind = m_isKnown ? at(now) - reading : milliseconds(0);
        const bool isTrusted = m_isKnown && now - m_takenAt < trustPeriod;
        if (isTrusted && behind.count() > 0 && behind < resetThreshold)
            return;
        m_isKnown = true;
        m_reading = reading;
        m_takenAt = now;
    }

    /// \returns the estimated store time at \p now; while no reading is known, the time since the
    /// epoch of this process's clock.
    milliseconds at(time_point now) const
    {
        return m_reading + std::chrono::duration_cast<milliseconds>(now - m_takenAt);
    }

    /// \returns the time on this process's clock at which the store's clock shows \p reading.
    time_point localTimeOf(milliseconds reading) const { return m_takenAt + (reading - m_reading); }

private:
    bool m_isKnown = false;
    milliseconds m_reading{0};
    time_point m_takenAt{};
};

} // namespace laurelcroft

#endif
