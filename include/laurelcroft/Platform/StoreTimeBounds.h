//===-- Platform/StoreTimeBounds.h - bounds of the store's clock -*- C++ -*-===//
//
// A lease expires at a time of the store's clock, which a process knows only within bounds. The
// holder of a lease goes by the latest possible time, a process that waits for its expiry by the
// earliest; so two processes never hold the lease at once.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PLATFORM_STORETIMEBOUNDS_H
#define LAURELCROFT_PLATFORM_STORETIMEBOUNDS_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// Bounds of the store's current time, derived from one answer of the store.
class store_time_bounds
{
public:
    /// \param reading time of the store's clock in the answer.
    /// \param askedAt, \param answeredAt local times between which the store read its clock.
    void note(milliseconds reading, time_point askedAt, time_point answeredAt)
    {
        m_reading = reading;
        m_askedAt = askedAt;
        m_answeredAt = answeredAt;
    }

    /// \returns the lower bound of the store's clock at \p now.
    milliseconds earliest(time_point now) const
    {
        return m_reading + std::chrono::floor<milliseconds>(now - m_answeredAt);
    }

    /// \returns the upper bound of the store's clock at \p now.
    milliseconds latest(time_point now) const
    {
        return m_reading + std::chrono::ceil<milliseconds>(now - m_askedAt);
    }

private:
    milliseconds m_reading{0};
    time_point m_askedAt{};
    time_point m_answeredAt{};
};

} // namespace laurelcroft

#endif
