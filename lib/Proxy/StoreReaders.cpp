//===-- StoreReaders.cpp - which entries read the store ---------------------===//
//
// Rendezvous ranking: an entry that leaves moves only its own duty.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/StoreReaders.h"

#include "laurelcroft/Fleet/Ranking.h"

#include <algorithm>
#include <utility>

using namespace laurelcroft;

namespace {

/// An entry is strong when its instance gives this part of what the strongest gives. Reading
/// thousands of heartbeats and giving on whole tables took 57% of an instance of 0.09 cores, where
/// others had 0.5: endpoints that leave were known after 3.8 s.
constexpr double strongPart = 0.5;

} // namespace

/// \returns names of entries that may be asked, the readers first, then as many standbys: strong
/// entries, and others where those are too few.
static std::vector<std::string> rankedSources(const entry_map &entries, std::size_t &readers)
{
    double strongest = 0;
    for (const auto &[name, place] : entries)
        strongest = std::max(strongest, place.processorShare);
    std::vector<std::string> strong;
    std::vector<std::string> others;
    for (const auto &[name, place] : entries) {
        if (place.address.empty())
            continue;
        const bool isStrong = place.processorShare >= strongPart * strongest;
        (isStrong ? strong : others).push_back(name);
    }
    const std::size_t all = strong.size() + others.size();
    readers = std::max(fewestReaders, (all + entriesOfReader - 1) / entriesOfReader);
    readers = std::min(readers, all);
    std::vector<std::string> ranked = rankFirst(strong, "store reader", 2 * readers);
    for (std::string &name : rankFirst(others, "store reader", 2 * readers - ranked.size()))
        ranked.push_back(std::move(name));
    return ranked;
}

/// \returns the addresses of the first \p count of \p names in the order of \p own, those of its
/// data centre first.
static std::vector<std::string> nearestOf(const std::vector<std::string> &names,
                                          const entry_map &entries, const std::string &own,
                                          std::size_t count)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const std::string &name : names) {
        const bool isNear = entries.at(name).dataCentre == entries.at(own).dataCentre;
        (isNear ? near : far).push_back(name);
    }
    // Ranked by the asking entry, so that the readers share the others between them.
    std::vector<std::string> asked = rankFirst(near, own, count);
    for (std::string &name : rankFirst(far, own, count - asked.size()))
        asked.push_back(std::move(name));
    for (std::string &name : asked)
        name = entries.at(name).address;
    return asked;
}

std::vector<std::string> laurelcroft::storeReaders(const entry_map &entries)
{
    std::size_t readers = 0;
    std::vector<std::string> ranked = rankedSources(entries, readers);
    ranked.resize(readers);
    return ranked;
}

row_sources laurelcroft::sourcesFor(const entry_map &entries, const std::string &own)
{
    row_sources sources;
    if (entries.count(own) == 0)
        return sources;
    std::size_t readers = 0;
    const std::vector<std::string> ranked = rankedSources(entries, readers);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(readers);
    const std::vector<std::string> reading(ranked.begin(), end);
    const std::vector<std::string> standingBy(end, ranked.end());
    if (std::find(reading.begin(), reading.end(), own) != reading.end())
        return sources;
    sources.readers = nearestOf(reading, entries, own, fewestReaders);
    if (std::find(standingBy.begin(), standingBy.end(), own) == standingBy.end())
        sources.standbys = nearestOf(standingBy, entries, own, 1);
    return sources;
}
