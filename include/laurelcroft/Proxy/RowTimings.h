//===-- Proxy/RowTimings.h - how often rows are read -------------*- C++ -*-===//
//
// All times between the store's word and an entry's knowing it, as parts of the time in which a
// change must be in force: a contract, an endpoint that leaves, an evacuation.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROWTIMINGS_H
#define LAURELCROFT_PROXY_ROWTIMINGS_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// The paces for one bound.
///
/// An entry that the others read for may lose the store at any moment, and its stand-ins with it.
/// Then the others believe their rows for \c maxRowAge and wait for a stand-in for \c staleWait,
/// and ask the store themselves well within the bound. With 0.7 and 0.75 of it, both readers and
/// their stand-ins cut off together, entries acted on contracts that were older than the bound on 3
/// of 100 days of 34 s with faults (21 entries); with 0.55 and 0.2 on none of the same days.
struct row_timings
{
    /// \param bound time in which a change must be in force.
    explicit row_timings(milliseconds bound);

    /// From one read of the endpoints to the next, at an entry that reads the store: they heartbeat
    /// all the time, so that their feed is not held.
    milliseconds endpointReadInterval;
    /// How long the store may hold a call for rows that seldom change. A held call whose answer is
    /// lost costs this time once more.
    milliseconds maxStoreHold;
    /// How long another entry may hold a read that has no news.
    milliseconds maxEntryHold;
    /// Rows that the store has not confirmed for longer are not given on.
    milliseconds maxRowAge;
    /// How long an entry whose sources say that their rows are outdated waits for one of them
    /// before it asks the store.
    milliseconds staleWait;
    /// Since the rows were confirmed last, how long an endpoint whose row is removed may be kept
    /// where only other entries have lost the store. The grace after an own loss, 2.2 s, sent 15
    /// requests to endpoints 3.2 s after they had begun to leave.
    milliseconds removalGrace;
};

} // namespace laurelcroft

#endif
