//===-- Proxy/StoreReaders.h - which entries read the store ------*- C++ -*-===//
//
// Two entries read the store for all, whatever the size; every entry ranks them alike. On a large
// site relays stand between them and the others, so that neither the calls to the store nor what
// one entry gives away grow with the number of entries.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STOREREADERS_H
#define LAURELCROFT_PROXY_STOREREADERS_H

#include "laurelcroft/Proxy/RolloutRows.h"

#include <cstddef>
#include <string>
#include <vector>

namespace laurelcroft {

/// Entries that read the store for the others. Calls to it have a price, and two may be
/// asked by turns, so that one may be gone or cut off.
inline constexpr std::size_t storeReaderCount = 2;
/// Entries that one asks by turns.
inline constexpr std::size_t sourcesPerEntry = 2;
/// Entries for each relay of a data centre at most: each asks once or twice a second, so that a
/// relay spends less than a hundredth of a core on them. The relays of 4,600 entries are as many as
/// two readers bear.
inline constexpr std::size_t maxEntriesPerRelay = 48;

/// \returns the names of the entries that read the store.
std::vector<std::string> storeReaders(const entry_map &entries);

/// Whom an entry asks for rows; addresses.
struct row_sources
{
    /// Two that read the store, or relays on a large site, those of its own data centre first;
    /// empty when it reads the store itself.
    std::vector<std::string> readers;
    /// One that takes their place while they hear nothing; empty when it does so itself.
    std::vector<std::string> standbys;

    bool operator==(const row_sources &) const = default;
};

/// \returns whom \p own asks; nobody when it is not listed.
row_sources sourcesFor(const entry_map &entries, const std::string &own);

} // namespace laurelcroft

#endif
