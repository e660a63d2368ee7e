//===-- EntryRegistry.cpp - which entries there are -----------------------===//
//
// Times are the store's: no clock of an instance is compared with another's.
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

void entry_registry::update(const std::string &name, entry_place place, std::uint64_t version)
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
        // A row without a time was written by an earlier release, which doesn't renew it.
        const bool hasTime = place.writtenAt.count() > 0;
        if (name != m_own && hasTime && storeNow - place.writtenAt >= rowLifetime)
            return listed_entry{name, m_versions.at(name)};
    }
    return std::nullopt;
}

std::optional<milliseconds> entry_registry::wallAhead() const
{
    std::vector<milliseconds> told;
    for (const auto &[name, place] : m_entries) {
        if (place.wallAhead)
            told.push_back(*place.wallAhead);
    }
    if (told.empty())
        return std::nullopt;
    const auto middle = told.begin() + static_cast<std::ptrdiff_t>(told.size() / 2);
    std::nth_element(told.begin(), middle, told.end());
    return *middle;
}
