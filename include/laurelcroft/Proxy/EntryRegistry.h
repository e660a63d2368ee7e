//===-- Proxy/EntryRegistry.h - which entries there are ---------*- C++ -*-===//
//
// Entries share budgets and read the store for each other, so each keeps a row with its place
// and writes it anew now and then. A row that was not renewed for three such times belongs to
// an entry that is gone; whoever sees it first removes it. An entry whose row was removed
// although it lives writes it again.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ENTRYREGISTRY_H
#define LAURELCROFT_PROXY_ENTRYREGISTRY_H

#include "laurelcroft/Proxy/RolloutRows.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace laurelcroft {

/// An entry's row as the store has it.
struct listed_entry
{
    std::string name;
    std::uint64_t version = 0;
};

/// The entries' rows.
class entry_registry
{
public:
    /// Rows of 380 entries that are renewed this often are 1.3 writes a second, and 200 bytes a
    /// second at whoever follows them.
    static constexpr milliseconds renewInterval{std::chrono::minutes(5)};
    static constexpr milliseconds rowLifetime = 3 * renewInterval;

    explicit entry_registry(std::string own)
        : m_own(std::move(own))
    {
    }

    void clear();
    void update(const std::string &name, entry_place place, std::uint64_t version);
    void remove(const std::string &name);

    const entry_map &entries() const { return m_entries; }

    /// \param storeNow the store's clock.
    /// \returns true when the own row is not listed, or has to be renewed.
    bool isOwnRowDue(milliseconds storeNow) const { return isRowDue(m_own, storeNow); }

    /// \returns the same of any entry.
    bool isRowDue(const std::string &name, milliseconds storeNow) const;

    /// \returns how far true time is ahead of the store's clock: the median of what the entries'
    /// times of day say, since some may be wrong by seconds. Nothing while no entry says it.
    std::optional<milliseconds> wallAhead() const;

    /// \returns an entry that is gone, if there is one.
    std::optional<listed_entry> findExpired(milliseconds storeNow) const;

private:
    std::string m_own;
    entry_map m_entries;
    std::map<std::string, std::uint64_t> m_versions;
};

} // namespace laurelcroft

#endif
