//===-- Proxy/RequestFlowBorrowing.h - borrowed sends -----------*- C++ -*-===//
//
// Members of request_flow that borrow a further send from another entry, to resume a stream that
// the own budget would have cut. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWBORROWING_H
#define LAURELCROFT_PROXY_REQUESTFLOWBORROWING_H

#include <cassert>

namespace laurelcroft {

template <flow_environment Env>
bool request_flow<Env>::mayBorrowSend()
{
    budget_borrowing &borrowing = m_env.routing().borrowing();
    const std::size_t lenders = std::min(borrowing.lenders(), flow_bounds::maxLenders);
    return m_streamBegun && m_lendersAsked < lenders && timeLeft() >= flow_bounds::minAttemptTime
            && borrowing.canAsk(now());
}

template <flow_environment Env>
void request_flow<Env>::borrowSend(attempt_end end)
{
    if (!mayBorrowSend()) {
        executeStep(next_step::cut, end);
        return;
    }
    ++m_lendersAsked;
    budget_borrowing &borrowing = m_env.routing().borrowing();
    const weak_flow weak = this->weak_from_this();
    const auto id = borrowing.ask(m_service, m_record.request, now(), [weak, end](bool isGranted) {
        if (const auto self = weak.lock())
            self->onBorrowReply(isGranted, end);
    });
    assert(id && "mayBorrowSend() has checked that an entry can be asked");
    m_env.runtime().after(budget_borrowing::replyTimeout, [weak, id, end] {
        const auto self = weak.lock();
        if (self && self->m_env.routing().borrowing().expire(*id))
            self->onBorrowReply(false, end);
    });
}

template <flow_environment Env>
void request_flow<Env>::onBorrowReply(bool isGranted, attempt_end end)
{
    if (m_done)
        return;
    if (!isGranted) {
        borrowSend(end);
        return;
    }
    m_reservedSend = further_send::resume;
    executeStep(next_step::resumeElsewhere, end);
}

} // namespace laurelcroft

#endif
