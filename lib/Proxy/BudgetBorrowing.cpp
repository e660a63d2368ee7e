//===-- BudgetBorrowing.cpp - further sends of other entries ----------------===//
//
// Lenders are asked round-robin. Each entry has its own order, so that entries that see the same
// crash ask different lenders first.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/BudgetBorrowing.h"

#include "laurelcroft/Fleet/Ranking.h"
#include "laurelcroft/Support/Log.h"

#include <algorithm>

using namespace laurelcroft;

void budget_borrowing::setEntries(std::span<const std::string> names, const std::string &own)
{
    std::vector<std::string> others(names.begin(), names.end());
    std::erase(others, own);
    m_own = own;
    m_others = topRanked(others, own, others.size());
}

bool budget_borrowing::canAsk(time_point now)
{
    return m_senders.sendRequest && !m_others.empty() && m_requests.refillAndCheck(1, now);
}

std::optional<std::uint64_t> budget_borrowing::ask(std::string_view service,
                                                   std::string_view request, time_point now,
                                                   reply_handler onReply)
{
    if (!canAsk(now))
        return std::nullopt;
    m_requests.consume(1);
    std::erase_if(m_pending,
                  [now](const auto &item) { return now - item.second.askedAt > abandonedAfter; });
    m_nextLender = (m_nextLender + 1) % m_others.size();
    const std::string &lender = m_others[m_nextLender];
    const std::uint64_t id = m_nextId++;
    m_pending[id] = {std::string(request), lender, now, std::move(onReply)};
    m_senders.sendRequest(lender, {id, m_own, std::string(service)});
    return id;
}

bool budget_borrowing::expire(std::uint64_t id)
{
    const auto node = m_pending.extract(id);
    if (node.empty())
        return false;
    ++m_counts.unanswered;
    logResult(id, node.mapped(), "unanswered");
    return true;
}

void budget_borrowing::applyReply(const borrow_reply &reply, time_point now)
{
    const auto known = m_pending.find(reply.id);
    // A process that was suspended may read the reply before its own timer expires the request.
    if (known == m_pending.end() || now - known->second.askedAt > replyTimeout)
        return;
    const pending_request item = std::move(known->second);
    m_pending.erase(known);
    ++(reply.isGranted ? m_counts.granted : m_counts.denied);
    logResult(reply.id, item, reply.isGranted ? "granted" : "denied");
    item.onReply(reply.isGranted);
}

void budget_borrowing::applyRequest(const borrow_request &request, send_budget *budget,
                                    double share, time_point now)
{
    // The reply to an unknown entry would be lost, and with it the send.
    const bool isKnown
            = std::find(m_others.begin(), m_others.end(), request.borrower) != m_others.end();
    if (!isKnown || !m_senders.sendReply)
        return;
    const bool isGranted = budget && budget->take(now, share, further_send::lent);
    if (isGranted)
        ++m_counts.lent;
    logInfo(log_part::routing, "further send asked for",
            {{"borrow", std::int64_t(request.id)},
             {"borrower", request.borrower},
             {"service", request.service},
             {"granted", isGranted ? "yes" : "no"}});
    m_senders.sendReply(request.borrower, {request.id, isGranted});
}

void budget_borrowing::logResult(std::uint64_t id, const pending_request &item,
                                 std::string_view result) const
{
    logInfo(log_part::routing, "further send borrowed",
            {{"request", item.request},
             {"borrow", std::int64_t(id)},
             {"lender", item.lender},
             {"result", result}});
}
