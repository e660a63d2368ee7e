//===-- Platform/StoreTimeBounds.h - between which the store's clock is -*- C++ -*-===//
//
// A lease ends at a moment of the store's clock. Its holder must take that clock to be as late as
// it can be, whoever waits for its end as early as it can be; then the two never overlap.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PLATFORM_STORETIMEBOUNDS_H
#define LAURELCROFT_PLATFORM_STORETIMEBOUNDS_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// What one answer of the store says of its clock from then on.
class store_time_bounds
{
public:
    /// \param reading that the answer tells; \param askedAt, \param answeredAt between which the
    /// store has read its clock.
    void note(milliseconds reading, time_point askedAt, time_point answeredAt)
    {
        m_reading = reading;
        m_askedAt = askedAt;
        m_answeredAt = answeredAt;
    }

    /// \returns what the store's clock shows at \p now at least.
    milliseconds earliest(time_point now) const
    {
        return m_reading + std::chrono::floor<milliseconds>(now - m_answeredAt);
    }

    /// \returns what the store's clock shows at \p now at most.
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
