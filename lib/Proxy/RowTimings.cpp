//===-- RowTimings.cpp - intervals of row reads ---------------------------===//
//
// All values are fractions of the bound. Every reader must confirm its rows more often than they
// become outdated.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RowTimings.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

constexpr double endpointReadPart = 0.4;
constexpr milliseconds minEndpointRead{100};
constexpr milliseconds maxEndpointRead{800};
constexpr double heldByStorePart = 0.3;
constexpr double heldByEntryPart = 0.2;
constexpr double freshPart = 0.55;
constexpr double staleWaitPart = 0.2;
constexpr double removalDoubtPart = 0.85;

} // namespace

static milliseconds part(milliseconds bound, double share)
{
    return std::chrono::duration_cast<milliseconds>(bound * share);
}

row_timings::row_timings(milliseconds bound)
    : endpointReadInterval(
            std::clamp(part(bound, endpointReadPart), minEndpointRead, maxEndpointRead))
    , maxStoreHold(part(bound, heldByStorePart))
    , maxEntryHold(part(bound, heldByEntryPart))
    , maxRowAge(part(bound, freshPart))
    , staleWait(part(bound, staleWaitPart))
    , removalGrace(part(bound, removalDoubtPart))
{
}
