//===-- StoreReaders.cpp - which entries read the store -------------------===//
//
// Uses rendezvous ranking: when an entry leaves, only its own role moves to another one.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/StoreReaders.h"

#include "laurelcroft/Fleet/Ranking.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

using namespace laurelcroft;

namespace {

/// An entry is strong when its instance has at least this fraction of the CPU of the strongest.
/// Reading thousands of heartbeats and passing on whole tables took 57% of an instance with 0.09
/// cores, while others had 0.5: leaving endpoints became known only after 3.8 s.
constexpr double strongFraction = 0.5;

} // namespace

namespace {

/// Names of the entries that others read from.
struct source_ranks
{
    std::vector<std::string> readers;
    std::vector<std::string> standbys; ///< replace the readers when their rows are outdated
    /// Read from the readers for all other entries; none on a small site.
    std::vector<std::string> relays;
};

} // namespace

static bool isAmong(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// \returns the first \p count of \p names in rank order: strong entries, then others if there are
/// too few.
static std::vector<std::string> rankStrongFirst(const std::vector<std::string> &names,
                                                const entry_map &entries, std::size_t count)
{
    double strongest = 0;
    for (const std::string &name : names)
        strongest = std::max(strongest, entries.at(name).processorShare);
    std::vector<std::string> strong;
    std::vector<std::string> others;
    for (const std::string &name : names) {
        const bool isStrong = entries.at(name).processorShare >= strongFraction * strongest;
        (isStrong ? strong : others).push_back(name);
    }
    std::vector<std::string> ranked = topRanked(strong, "store reader", count);
    for (std::string &name : topRanked(others, "store reader", count - ranked.size()))
        ranked.push_back(std::move(name));
    return ranked;
}

/// \returns relays for all entries except \p others. Each data centre has its own relays, so that
/// rows are sent there once per relay, not once per entry.
static std::vector<std::string> rankRelays(const std::vector<std::string> &names,
                                           const entry_map &entries,
                                           const std::vector<std::string> &others)
{
    std::map<std::string, std::vector<std::string>> byDataCentre;
    for (const std::string &name : names) {
        if (!isAmong(others, name))
            byDataCentre[entries.at(name).dataCentre].push_back(name);
    }
    // Besides the two relays that an entry reads from there is a third, in another data centre if
    // there is one.
    const std::size_t fewest = byDataCentre.size() > 1 ? sourcesPerEntry : sourcesPerEntry + 1;
    std::vector<std::string> relays;
    for (const auto &[dataCentre, there] : byDataCentre) {
        const std::size_t needed = (there.size() + maxEntriesPerRelay - 1) / maxEntriesPerRelay;
        const std::size_t count = std::max(fewest, needed);
        for (std::string &name : rankStrongFirst(there, entries, count))
            relays.push_back(std::move(name));
    }
    return relays;
}

/// \returns the names of the entries that have an address.
static std::vector<std::string> reachable(const entry_map &entries)
{
    std::vector<std::string> names;
    for (const auto &[name, place] : entries) {
        if (!place.address.empty())
            names.push_back(name);
    }
    return names;
}

/// \returns the readers, then as many standbys, from \p names.
static std::vector<std::string> rankReaders(const std::vector<std::string> &names,
                                            const entry_map &entries)
{
    return rankStrongFirst(names, entries, 2 * std::min(storeReaderCount, names.size()));
}

static source_ranks rankedSources(const entry_map &entries)
{
    const std::vector<std::string> names = reachable(entries);
    source_ranks ranks;
    ranks.readers = rankReaders(names, entries);
    if (names.size() > storeReaderCount * maxEntriesPerRelay)
        ranks.relays = rankRelays(names, entries, ranks.readers);
    const auto standbys = ranks.readers.begin()
            + static_cast<std::ptrdiff_t>(std::min(storeReaderCount, names.size()));
    ranks.standbys.assign(standbys, ranks.readers.end());
    ranks.readers.erase(standbys, ranks.readers.end());
    return ranks;
}

/// \returns the addresses of the first \p count of \p names in rank order for \p own, those of its
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
    // Ranked per reading entry, which distributes the entries over the sources.
    std::vector<std::string> asked = topRanked(near, own, count);
    for (std::string &name : topRanked(far, own, count - asked.size()))
        asked.push_back(std::move(name));
    for (std::string &name : asked)
        name = entries.at(name).address;
    return asked;
}

std::vector<std::string> laurelcroft::storeReaders(const entry_map &entries)
{
    const std::vector<std::string> names = reachable(entries);
    std::vector<std::string> ranked = rankReaders(names, entries);
    ranked.resize(std::min(storeReaderCount, names.size()));
    return ranked;
}

row_sources laurelcroft::sourcesFor(const entry_map &entries, const std::string &own)
{
    row_sources sources;
    if (entries.count(own) == 0)
        return sources;
    const source_ranks ranks = rankedSources(entries);
    if (isAmong(ranks.readers, own))
        return sources;
    const bool asksReaders
            = ranks.relays.empty() || isAmong(ranks.standbys, own) || isAmong(ranks.relays, own);
    if (asksReaders) {
        sources.readers = nearestOf(ranks.readers, entries, own, sourcesPerEntry);
        if (!isAmong(ranks.standbys, own))
            sources.standbys = nearestOf(ranks.standbys, entries, own, 1);
        return sources;
    }
    // A third relay stands in for the first two. A site with relays has at least three, and when
    // all of them have outdated rows the standbys read the store for them instead of every entry.
    std::vector<std::string> asked = nearestOf(ranks.relays, entries, own, sourcesPerEntry + 1);
    assert(asked.size() > sourcesPerEntry && "a site with relays has at least three");
    sources.standbys = {std::move(asked.back())};
    asked.pop_back();
    sources.readers = std::move(asked);
    return sources;
}
