//===-- Proxy/StoreReaders.h - which entries read the store -----*- C++ -*-===//
//
// Two entries read the store for all others, whatever the size of the site; every entry computes
// the same ranking. On a large site relays stand between them and the others, so that neither the
// calls to the store nor the load of one entry grow with the number of entries.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STOREREADERS_H
#define LAURELCROFT_PROXY_STOREREADERS_H

#include "laurelcroft/Proxy/RolloutRows.h"

#include <cstddef>
#include <string>
#include <vector>

namespace laurelcroft {

/// Number of entries that read the store for the others. Calls to the store cost money. Entries
/// alternate between the two, so one may be down or cut off.
inline constexpr std::size_t storeReaderCount = 2;
/// Number of sources that an entry reads from in turn.
inline constexpr std::size_t sourcesPerEntry = 2;
/// Maximum number of entries per relay in a data centre. Each entry reads once or twice per second,
/// so a relay spends less than a hundredth of a core on them. At 4,600 entries the relays are as
/// many as two readers can serve.
inline constexpr std::size_t maxEntriesPerRelay = 48;

/// \returns the names of the entries that read the store.
std::vector<std::string> storeReaders(const entry_map &entries);

/// Addresses that an entry reads rows from.
struct row_sources
{
    /// Two readers, or two relays on a large site, those of the own data centre first; empty when
    /// the entry reads the store itself.
    std::vector<std::string> readers;
    /// Used when the readers have no current rows; empty when this entry reads the store itself in
    /// that case.
    std::vector<std::string> standbys;

    bool operator==(const row_sources &) const = default;
};

/// \returns the sources of \p own; none when it is not listed.
row_sources sourcesFor(const entry_map &entries, const std::string &own);

} // namespace laurelcroft

#endif
