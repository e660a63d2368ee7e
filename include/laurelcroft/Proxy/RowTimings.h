//===-- Proxy/RowTimings.h - intervals of row reads -------------*- C++ -*-===//
//
// Read intervals, hold times and age limits of rows, as fractions of the time within which a change
// must be in force: a new contract, a leaving endpoint, an evacuation.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROWTIMINGS_H
#define LAURELCROFT_PROXY_ROWTIMINGS_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// Timings for one bound.
///
/// An entry that the others read from may lose the store at any time, and its standbys with it. The
/// others then trust their rows for \c maxRowAge, wait for a standby for \c staleWait, and read the
/// store themselves well within the bound, also when both readers and their standbys are cut off
/// together.
struct row_timings
{
    /// \param bound time within which a change must be in force.
    explicit row_timings(milliseconds bound);

    /// Time between two reads of the endpoints at an entry that reads the store. Endpoints send
    /// heartbeats all the time, so the store would not hold a read of their changes.
    milliseconds endpointReadInterval;
    /// How long the store may hold a read of rows that seldom change. If the answer to a held call
    /// is lost, this time is spent once more.
    milliseconds maxStoreHold;
    /// How long another entry may hold a read that has no changes.
    milliseconds maxEntryHold;
    /// Maximum time since the store last confirmed rows; older rows are not passed on.
    milliseconds maxRowAge;
    /// How long an entry whose sources report outdated rows waits for one of them before it reads
    /// the store itself.
    milliseconds staleWait;
    /// How long after the last confirmation of the rows an endpoint whose row was removed may be
    /// kept when only other entries have lost the store. With the 2.2 s grace that applies after an
    /// entry's own loss, 15 requests were sent to endpoints 3.2 s after they had begun to leave.
    milliseconds removalGrace;
};

} // namespace laurelcroft

#endif
