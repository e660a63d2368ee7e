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

std::vector<std::string> laurelcroft::storeReaders(const entry_map &entries)
{
    std::vector<std::string> names;
    for (const auto &[name, place] : entries) {
        if (!place.address.empty())
            names.push_back(name);
    }
    const std::size_t count
            = std::max(fewestReaders, (names.size() + entriesOfReader - 1) / entriesOfReader);
    return rankFirst(names, "store reader", count);
}

std::vector<std::string> laurelcroft::readersFor(const entry_map &entries, const std::string &own)
{
    const auto self = entries.find(own);
    if (self == entries.end())
        return {};
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const std::string &name : storeReaders(entries)) {
        if (name == own)
            return {};
        const bool isNear = entries.at(name).dataCentre == self->second.dataCentre;
        (isNear ? near : far).push_back(name);
    }
    // Ranked by the asking entry, so that the readers share the others between them.
    std::vector<std::string> asked = rankFirst(near, own, fewestReaders);
    for (std::string &name : rankFirst(far, own, fewestReaders - asked.size()))
        asked.push_back(std::move(name));
    std::vector<std::string> addresses;
    addresses.reserve(asked.size());
    for (const std::string &name : asked)
        addresses.push_back(entries.at(name).address);
    return addresses;
}
