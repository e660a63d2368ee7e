//===-- Proxy/StoreReaders.h - which entries read the store ------*- C++ -*-===//
//
// A few entries read the store for all; every entry ranks them alike.
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
inline constexpr std::size_t fewestReaders = 2;
/// Entries for each reader at most: each asks once or twice a second, so that a reader spends less
/// than a hundredth of a core on them. With 16 the calls to the store cost 0.015 more of what is
/// earned in 45 s by 103 entries.
inline constexpr std::size_t entriesOfReader = 48;

/// \returns the names of the entries that read the store.
std::vector<std::string> storeReaders(const entry_map &entries);

/// Whom an entry asks for rows; addresses.
struct row_sources
{
    /// Two that read the store, those of its own data centre first; empty when it reads itself.
    std::vector<std::string> readers;
    /// One that takes the readers' place while they hear nothing from the store; empty when it
    /// does so itself.
    std::vector<std::string> standbys;

    bool operator==(const row_sources &) const = default;
};

/// \returns whom \p own asks; nobody when it is not listed.
row_sources sourcesFor(const entry_map &entries, const std::string &own);

} // namespace laurelcroft

#endif
