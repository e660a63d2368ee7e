//===-- EntryFleet.h - simulated entries over one store ----------*- C++ -*-===//
//
// Simulates entries that share one in-memory store and read each other's row mirrors as with real
// relays, on a manually advanced clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_ENTRYFLEET_H
#define LAURELCROFT_UNITTESTS_PROXY_ENTRYFLEET_H

#include "FakeStore.h"
#include "PlainCodec.h"

#include "laurelcroft/Proxy/StoreReaders.h"
#include "laurelcroft/Proxy/StoreSync.h"

#include <algorithm>
#include <list>
#include <string>
#include <vector>

namespace laurelcroft {

inline constexpr std::size_t fleetSize = 100;
inline constexpr std::size_t firstPeers = 3;
inline constexpr milliseconds networkDelay{1};
inline constexpr milliseconds changeBound{3000};
inline constexpr milliseconds longPollTime{400};
inline constexpr milliseconds pollInterval{10};

struct fleet;

/// One entry's access to the store. Calls can be dropped to simulate a power loss, or rejected.
struct gated_store
{
    void list(const std::string &table, row_callback<row_batch> done)
    {
        if (mayCall(done))
            store.list(table, std::move(done));
    }
    void follow(const std::string &table, store_version since, milliseconds wait,
                row_callback<row_batch> done)
    {
        if (mayCall(done))
            store.follow(table, since, wait, std::move(done));
    }
    void write(const std::vector<row_write> &rows, row_callback<conditional_write> done)
    {
        if (mayCall(done))
            store.write(rows, std::move(done));
    }

    /// \returns false if the call must not reach the store. Rejected calls fail after a network
    /// delay, calls without power never complete.
    template <class T>
    bool mayCall(const row_callback<T> &done)
    {
        if (isUp && rejectsCalls)
            runtime.after(fake_store::callDelay, [done] { done(failure(row_failure::unknown)); });
        return isUp && !rejectsCalls;
    }

    fake_store &store;
    manual_runtime &runtime;
    bool isUp = true;
    bool rejectsCalls = false; ///< for this entry only
};

/// One simulated entry: its state and the peers that it reads from.
struct fleet_entry
{
    fleet_entry(fleet &all, std::size_t number);

    entry_links linksOf();
    bool isReady() { return routing.contract() && !routing.directory().all().empty(); }
    std::vector<std::string> peersToRead() const;
    void read(const std::string &table, store_version since, row_callback<row_update> done,
              time_point until);

    fleet &all;
    std::string name;
    std::string address;
    bool isFirstPeer;
    bool listed = false;
    std::vector<std::string> readers;
    std::size_t next = 0;
    milliseconds readDelay{0}; ///< extra delay of two in three of its reads from peers
    unsigned reads = 0;
    gated_store store;
    routing_state routing;
    row_mirror mirror{row_timings(changeBound).maxRowAge};
    metric_registry metrics;
    store_sync<gated_store, manual_runtime> sync;
};

struct fleet
{
    manual_runtime runtime;
    fake_store store{runtime};
    bool isFirstStart = false; ///< first start of the whole system
    std::list<fleet_entry> entries;

    /// Starts the entries numbered from \p from up to but excluding \p to.
    void start(std::size_t from, std::size_t to)
    {
        for (std::size_t i = from; i < to; ++i)
            entries.emplace_back(*this, i).sync.start();
    }
    /// \returns the running entry at \p address, or null.
    fleet_entry *find(const std::string &address)
    {
        const auto it = std::find_if(entries.begin(), entries.end(), [&](const fleet_entry &entry) {
            return entry.store.isUp && entry.address == address;
        });
        return it == entries.end() ? nullptr : &*it;
    }
    /// \returns the number of running entries that are ready.
    std::size_t ready()
    {
        return static_cast<std::size_t>(
                std::count_if(entries.begin(), entries.end(), [](fleet_entry &entry) {
                    return entry.store.isUp && entry.isReady();
                }));
    }
    /// Cuts the power of all entries. Their calls in progress never complete.
    void powerOff()
    {
        for (fleet_entry &entry : entries)
            entry.store.isUp = false;
    }
    /// \returns the number of calls to the store.
    unsigned calls() const { return store.lists + store.follows + store.writes; }
};

inline fleet_entry::fleet_entry(fleet &all, std::size_t number)
    : all(all)
    , name("e" + std::to_string(number))
    , address("10.0.0." + std::to_string(number) + ":1")
    , isFirstPeer(number < firstPeers)
    , store{all.store, all.runtime}
    , routing({}, {}, number)
    , sync(store, all.runtime, routing, mirror, metrics, plainCodec(), linksOf())
{
}

inline std::vector<std::string> fleet_entry::peersToRead() const
{
    if (listed)
        return readers;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; !isFirstPeer && i < firstPeers; ++i)
        addresses.push_back("10.0.0." + std::to_string(i) + ":1");
    return addresses;
}

inline void fleet_entry::read(const std::string &table, store_version since,
                              row_callback<row_update> done, time_point until)
{
    if (!store.isUp)
        return;
    const std::vector<std::string> from = peersToRead();
    // Skips peers that accept no connection, as peer_rows does.
    fleet_entry *peer = nullptr;
    for (std::size_t i = 0; !peer && i < from.size(); ++i)
        peer = all.find(from[next++ % from.size()]);
    if (peer) {
        if (const auto own = sync.nextAnnouncement())
            peer->sync.takeAnnouncement(*own);
    }
    const auto updateOf = [&](const row_mirror &mirror) {
        const time_point now = all.runtime.now();
        return since == unknownVersion ? mirror.readForStart(table, now)
                                       : mirror.read(table, since, now);
    };
    const auto update = peer ? updateOf(peer->mirror) : std::nullopt;
    const bool hasChanges = update && (update->update.whole || !update->update.batch.rows.empty());
    const bool isStarting = peer && !peer->mirror.stateOf(table, since, all.runtime.now()).isKnown;
    if ((isStarting || (update && !hasChanges)) && all.runtime.now() < until) {
        all.runtime.after(pollInterval,
                          [this, table, since, done, until] { read(table, since, done, until); });
        return;
    }
    const bool isOutdated
            = peer && peer->mirror.stateOf(table, since, all.runtime.now()).isOutdated;
    const milliseconds delay = ++reads % 3 == 0 ? networkDelay : networkDelay + readDelay;
    all.runtime.after(delay, [this, table, update, isOutdated, done] {
        if (!update)
            return done(failure(isOutdated ? row_failure::outdated : row_failure::notDone));
        mirror.takeFromPeer(table, *update, all.runtime.now());
        done(update->update);
    });
}

inline entry_links fleet_entry::linksOf()
{
    entry_links links;
    links.entry = name;
    links.place = {address, "hall"};
    links.timings = row_timings(changeBound);
    links.isFirstStart = all.isFirstStart;
    links.relay.isPreferred = [this] { return !peersToRead().empty(); };
    links.relay.read
            = [this](const std::string &table, store_version since, row_callback<row_update> done) {
                  read(table, since, std::move(done), all.runtime.now() + longPollTime);
              };
    links.onEntries = [this](const entry_map &known) {
        listed = known.count(name) != 0;
        readers = sourcesFor(known, name).readers;
    };
    links.onContract = [] {};
    links.sendEvidenceToReaders = [this](const evidence_notice &notice) {
        for (fleet_entry &entry : all.entries) {
            if (entry.store.isUp && entry.readers.empty())
                entry.sync.takeEvidence(notice);
        }
        return true;
    };
    return links;
}

/// Fills the store with a contract and 60 endpoints.
inline void addInitialRows(fleet &fleet)
{
    fleet.store.put("orders", "contract", "7");
    for (unsigned i = 0; i < 60; ++i)
        fleet.store.put("endpoints", "p" + std::to_string(i), "v1");
}

} // namespace laurelcroft

#endif
