//===-- EntryRegistry.cpp - rows of the running entries ---------------------===//
//
// All timestamps are on the store's clock, so that clocks of different instances are never
// compared.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/EntryRegistry.h"

#include <algorithm>
#include <vector>

using namespace laurelcroft;

void entry_registry::clear()
{
    m_entries.clear();
    m_versions.clear();
}

void entry_registry::update(const std::string &name, entry_info place, store_version version)
{
    m_entries[name] = std::move(place);
    m_versions[name] = version;
}

void entry_registry::remove(const std::string &name)
{
    m_entries.erase(name);
    m_versions.erase(name);
}

bool entry_registry::isRowDue(const std::string &name, milliseconds storeNow) const
{
    const auto known = m_entries.find(name);
    return known == m_entries.end() || storeNow - known->second.writtenAt >= renewInterval;
}

std::optional<listed_entry> entry_registry::findExpired(milliseconds storeNow) const
{
    for (const auto &[name, place] : m_entries) {
        // Rows without a timestamp were written by an earlier release, which does not renew them.
        const bool hasTime = place.writtenAt.count() > 0;
        if (name != m_own && hasTime && storeNow - place.writtenAt >= rowLifetime)
            return listed_entry{name, m_versions.at(name)};
    }
    return std::nullopt;
}

std::optional<milliseconds> entry_registry::medianWallClockOffset() const
{
    std::vector<milliseconds> offsets;
    for (const auto &[name, place] : m_entries) {
        if (place.wallClockOffset)
            offsets.push_back(*place.wallClockOffset);
    }
    if (offsets.empty())
        return std::nullopt;
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}
