//===-- Proxy/StoreClock.h - the store's clock at an entry -------*- C++ -*-===//
//
// Entries do some things at one moment of the store's clock, such as going over to another stage
// of a roll-out. Each works that moment out from the readings that come with rows.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORECLOCK_H
#define LAURELCROFT_PROXY_STORECLOCK_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// The store's clock, as far as this process knows it. A reading says how late it was at least when
/// it was taken: of several the one that was fastest on its way tells best.
class store_clock
{
public:
    /// A reading that is this much behind is of another clock: the store has begun anew. One that
    /// was held up on its way is less late.
    static constexpr milliseconds resetThreshold{10000};
    /// So long a reading is trusted more than later ones that are behind it. Two clocks drift apart
    /// by some 50 us a second, which makes 2 ms.
    static constexpr milliseconds trustPeriod{30000};

    bool isKnown() const { return m_isKnown; }

    /// Takes a reading that came at \p now.
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

    /// \returns what the store's clock shows at \p now; 0 and the time since the start of this
    /// process's clock while nothing is known.
    milliseconds at(time_point now) const
    {
        return m_reading + std::chrono::duration_cast<milliseconds>(now - m_takenAt);
    }

    /// \returns the moment of this process's clock at which the store's shows \p reading.
    time_point localTimeOf(milliseconds reading) const { return m_takenAt + (reading - m_reading); }

private:
    bool m_isKnown = false;
    milliseconds m_reading{0};
    time_point m_takenAt{};
};

} // namespace laurelcroft

#endif
