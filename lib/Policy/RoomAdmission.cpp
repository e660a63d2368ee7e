//===-- RoomAdmission.cpp - admission by expected wait --------------------===//
//
// The admitted part of demand falls exponentially with the wait.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/RoomAdmission.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

/// Wait, as a share of the objective, up to which all work is admitted: it costs no caller its
/// objective, even if work of the lowest urgency waits several times as long as the mean.
constexpr double freeWait = 0.08;
/// Additional wait, as a share of the objective, for each factor of e in demand. At twice the room,
/// the wait is then below a third of the objective, which leaves the rest to less urgent work, that
/// others overtake, and to the answer. A smaller value reacts to waits that are already known to
/// be over, and the endpoints run out of work by turns.
constexpr double waitPerFactor = 0.12;
/// Shortest time used to spread the return of refused callers: several times the time in which the
/// wait is observed again.
constexpr milliseconds minReturnTime{500};
/// Limit on the factor by which the return is delayed when few callers are admitted.
constexpr double minChance = 0.1;

} // namespace

std::string_view laurelcroft::textOf(room_reason reason)
{
    switch (reason) {
    case room_reason::free:
        return "free";
    case room_reason::withinShare:
        return "within_share";
    case room_reason::noTime:
        return "no_time";
    case room_reason::noRoom:
        return "no_room";
    case room_reason::overShare:
        return "over_share";
    }
    return "unknown";
}

bool laurelcroft::isRefusal(room_reason reason)
{
    return reason != room_reason::free && reason != room_reason::withinShare;
}

bool laurelcroft::isNegligibleWait(double share)
{
    return share <= freeWait;
}

double laurelcroft::admittedFraction(double wait)
{
    return std::exp(-std::max(0.0, wait - freeWait) / waitPerFactor);
}

room_reason laurelcroft::decideRoom(const room_view &view)
{
    if (view.isFree)
        return room_reason::free;
    if (view.ownWait + view.answerTime > view.timeLeft)
        return room_reason::noTime;
    if (view.draw < view.share.chance)
        return room_reason::withinShare;
    return view.share.isOverShare ? room_reason::overShare : room_reason::noRoom;
}

milliseconds laurelcroft::timeUntilRoom(milliseconds wait, double chance, double draw)
{
    const std::chrono::duration<double, std::milli> base
            = std::max(wait, minReturnTime) / std::max(chance, minChance);
    return std::chrono::ceil<milliseconds>(base * (draw + 0.5));
}
