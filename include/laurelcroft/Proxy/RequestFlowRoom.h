//===-- Proxy/RequestFlowRoom.h - admission by room -------------*- C++ -*-===//
//
// Members of request_flow that ask, before the first send, whether the endpoints have room for the
// request, and that learn from answers how much room there is. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWROOM_H
#define LAURELCROFT_PROXY_REQUESTFLOWROOM_H

#include "laurelcroft/Policy/RoomAdmission.h"

#include <cmath>

namespace laurelcroft {

template <flow_environment Env>
double request_flow<Env>::endpointLoad(const service_endpoint &endpoint, const service_room &room)
{
    // A report that has lost weight is completed with the mean of the service. Otherwise an entry
    // that has not heard from an endpoint for long would take it for idle.
    const double slots = std::max(1U, endpoint.record().slots);
    const double missing = 1 - endpoint.reportWeight(now());
    return endpoint.expectedLoad(now()) / slots + missing * room.loadPerSlot(now());
}

template <flow_environment Env>
double request_flow<Env>::promptsAt(const service_endpoint &endpoint, double readMs)
{
    const double knownMs = endpoint.prefillMs() + endpoint.remotePrefillMs(now());
    return 1 + std::max(endpoint.expectedQueue(now()), knownMs / std::max(1.0, readMs));
}

template <flow_environment Env>
double request_flow<Env>::ownWaitShare(const service_endpoint &endpoint, milliseconds answerTime,
                                       const service_room &room)
{
    // This entry's own requests are known without delay. Until answers have shown the load, the
    // other entries are assumed to have as many.
    const double slots = std::max(1U, endpoint.record().slots);
    const double alike = room.isLoadKnown(now()) ? 1 : double(m_env.routing().entries());
    const double queue = std::max(0.0, alike * endpoint.running() / slots - 1);
    const milliseconds assumed = m_route->objective / flow_bounds::assumedAnswerDivisor;
    return shareOfObjective(
            queue * std::chrono::duration<double, std::milli>(std::max(answerTime, assumed)));
}

template <flow_environment Env>
room_view request_flow<Env>::roomView(const service_endpoint &endpoint, service_room &room)
{
    const double load = endpointLoad(endpoint, room);
    const double readMs
            = prefillMsPerToken() * tokensToRead(endpoint.prefixCache().cachedTokens(m_prefixes));
    m_loadAtSend = hasPrompt() ? promptsAt(endpoint, readMs) : load;
    room_view view;
    view.answerTime = hasPrompt() ? milliseconds(std::llround(readMs)) : room.answerTime();
    view.wait = std::max(room.waitShare(now()), ownWaitShare(endpoint, view.answerTime, room));
    const double ahead = room.shares().demandUpTo(urgency());
    view.ownWait = milliseconds(std::llround(double(room.wait(now()).count()) * ahead));
    view.isFree = load < 1 && endpoint.expectedQueue(now()) < 1;
    view.timeLeft = timeLeft();
    room.noteFraction(view.isFree ? 1 : admittedFraction(view.wait), now());
    view.share
            = room.shares().shareOf(urgency(), m_record.customer, view.wait, room.usualFraction());
    view.draw = m_env.routing().random().uniform();
    return view;
}

template <flow_environment Env>
void request_flow<Env>::recordRoom(const room_view &view, room_reason reason,
                                   const service_room &room)
{
    room_record &record = m_record.room.emplace();
    record.reason = reason;
    record.urgency = urgency();
    record.wait = view.wait;
    record.admitted = admittedFraction(view.wait);
    record.load = room.loadPerSlot(now());
    record.age = std::chrono::duration_cast<milliseconds>(room.age(now()));
    record.chance = view.share.chance;
    record.demandRatio = view.share.demandRatio;
}

template <flow_environment Env>
bool request_flow<Env>::refuseForRoom(const endpoint_pick &pick)
{
    // A request that was sent may have run, and the rest of a stream is worth what the caller has
    // of it already.
    if (m_attemptNumber > 0 || m_request->afterEvent || !m_env.routing().managesRoom(m_service))
        return false;
    service_room &room = m_env.routing().room(m_service);
    const double size = 1 + m_request->promptTokens / flow_bounds::tokensPerWorkUnit;
    room.shares().addDemand(urgency(), m_record.customer, size, now());
    const room_view view = roomView(*pick.endpoint, room);
    const room_reason reason = decideRoom(view);
    recordRoom(view, reason, room);
    if (!isRefusal(reason))
        return false;
    const milliseconds back = timeUntilRoom(room.wait(now()), view.share.chance,
                                            m_env.routing().random().uniform());
    refuse(http_status::unavailable,
           reason == room_reason::overShare ? flow_reason::overShare : flow_reason::noRoom,
           std::clamp(back, flow_bounds::minRetryAfter, flow_bounds::maxRetryAfter));
    return true;
}

template <flow_environment Env>
void request_flow<Env>::noteStatedRoom()
{
    if (!m_answer.load || !m_env.routing().managesRoom(m_service))
        return;
    const double slots = std::max(1U, m_endpoint->record().slots);
    const endpoint_load &load = *m_answer.load;
    service_room &room = m_env.routing().room(m_service);
    room.addLoad((double(load.running) + load.waiting) / slots, now());
    if (!hasPrompt()) {
        room.addQueue(load.waiting / slots, m_route->objective, now());
        return;
    }
    // Model endpoints run many requests in one batch, and read prompts one after the other.
    room.addQueue(load.waiting, m_route->objective, now());
}

template <flow_environment Env>
void request_flow<Env>::noteAnswerTime()
{
    if (!m_headReceived || m_attemptNumber > 1 || !m_env.routing().managesRoom(m_service))
        return;
    service_room &room = m_env.routing().room(m_service);
    const milliseconds time = std::chrono::duration_cast<milliseconds>(now() - m_attemptAt);
    // While the load rises, it is known too late at the send, and is higher than then at the
    // answer.
    double load = m_loadAtSend;
    if (m_answer.load) {
        const double slots = std::max(1U, m_endpoint->record().slots);
        const double stated = hasPrompt()
                ? 1.0 + m_answer.load->waiting
                : (double(m_answer.load->running) + m_answer.load->waiting) / slots;
        load += (stated - load) / 4;
    }
    room.addAnswerTime(time, load, now());
    if (!m_answer.load)
        room.addObservedWait(time - room.answerTime(), m_route->objective, now());
}

} // namespace laurelcroft

#endif
