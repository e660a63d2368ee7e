//===-- Health.cpp - retry budget and ejection ----------------------------===//
//
// Both are updated by results only; the caller passes in the time.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/Health.h"

#include <algorithm>

using namespace laurelcroft;

namespace {
constexpr int failuresToEject = 3;
constexpr duration firstEjection = seconds(2);
constexpr int maxDoublings = 5;
} // namespace

bool retry_budget::spend()
{
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

void endpoint_ejection::succeeded(std::string_view id)
{
    const auto it = m_records.find(id);
    if (it != m_records.end())
        m_records.erase(it);
}

void endpoint_ejection::failed(std::string_view id, time_point now)
{
    record &item = m_records[std::string(id)];
    item.failures += 1;
    if (item.failures < failuresToEject)
        return;
    item.failures = 0;
    item.until = now + firstEjection * (1 << std::min(item.ejections, maxDoublings));
    item.ejections += 1;
}

bool endpoint_ejection::isEjected(std::string_view id, time_point now) const
{
    const auto it = m_records.find(id);
    return it != m_records.end() && now < it->second.until;
}

bool endpoint_ejection::mayEject(std::size_t ejected, std::size_t poolSize)
{
    return static_cast<double>(ejected) <= maxEjectedShare * static_cast<double>(poolSize);
}
