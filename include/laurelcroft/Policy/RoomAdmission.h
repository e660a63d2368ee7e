//===-- Policy/RoomAdmission.h - admission by expected wait -----*- C++ -*-===//
//
// Decides whether a request is sent while more is asked for than a service's endpoints have room
// for. Without this, all requests queue until nearly all of them are late, although the endpoints
// work all the time (congestion collapse).
//
// The part of demand that is admitted depends on the expected wait alone. All entries see the waits
// of the same endpoints, so they admit the same part without exchanging messages, however unevenly
// the callers are distributed. A draw decides each request, so that entries with the same
// information don't switch together.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_ROOMADMISSION_H
#define LAURELCROFT_POLICY_ROOMADMISSION_H

#include "laurelcroft/Policy/CustomerShares.h"
#include "laurelcroft/Support/Runtime.h"

#include <string_view>

namespace laurelcroft {

/// What an entry knows when it is about to send a request for the first time.
struct room_view
{
    bool isFree = false; ///< the chosen endpoint has a free slot and nothing waits there
    double wait = 0; ///< expected wait at the service, as a share of the latency objective
    milliseconds ownWait{0}; ///< expected wait of this request
    milliseconds answerTime{0}; ///< usual time until the first part of an answer without a wait
    milliseconds timeLeft{0}; ///< until the request's deadline
    admission_share share; ///< by urgency and customer, for admittedFraction(wait)
    double draw = 0; ///< uniformly distributed in [0, 1)
};

/// Why a request was admitted or refused.
enum class room_reason {
    free, ///< admitted: nothing waits
    withinShare, ///< admitted: there is room for work of its urgency and customer
    noTime, ///< refused: it could not be served before its deadline
    noRoom, ///< refused: there is no room for work of its urgency
    overShare ///< refused: its customer asks for more than its fair share
};

std::string_view textOf(room_reason reason);

/// \returns true if \p reason is a refusal.
bool isRefusal(room_reason reason);

/// \returns true if a wait of \p share of the objective is too short to refuse anyone.
bool isNegligibleWait(double share);

/// \param wait expected wait at the service, as a share of the objective.
/// \returns the part of demand that is admitted, above 0 and at most 1. For any demand, the wait
/// settles where this part of it equals the room; each further factor of e in demand adds the same
/// wait.
double admittedFraction(double wait);

room_reason decideRoom(const room_view &view);

/// \param wait expected wait at the service.
/// \param chance of the refused request to be admitted now.
/// \param draw uniformly distributed in [0, 1); spreads the callers' return.
/// \returns when the caller should come back; not limited to any bounds.
milliseconds timeUntilRoom(milliseconds wait, double chance, double draw);

} // namespace laurelcroft

#endif
