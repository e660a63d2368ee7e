//===-- Proxy/BudgetBorrowing.h - further sends of other entries -*- C++ -*-===//
//
// Lets an entry whose budget of further sends is exhausted use one that another entry has saved.
// Each entry earns its own budget, so that the bound on the sum needs no messages. But an entry
// that has just started, or gets few requests, has less than one send while others have several.
// When an endpoint crashes, such an entry had to cut a stream that the bound would have allowed to
// be resumed.
//
// The bound on the sum still holds: the lender takes the send from its budget before it replies,
// and a reply counts only within \c replyTimeout. A lost or late message loses one send.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_BUDGETBORROWING_H
#define LAURELCROFT_PROXY_BUDGETBORROWING_H

#include "laurelcroft/Policy/SendBudget.h"
#include "laurelcroft/Proxy/BorrowNotice.h"
#include "laurelcroft/Support/Runtime.h"
#include "laurelcroft/Support/TokenBucket.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laurelcroft {

/// Functions that send messages to another entry. Each may be empty.
struct borrow_senders
{
    std::function<void(const std::string &entry, const borrow_request &request)> sendRequest;
    std::function<void(const std::string &entry, const borrow_reply &reply)> sendReply;
};

/// Numbers of finished requests since they were last taken.
struct borrow_counts
{
    unsigned granted = 0; ///< own requests
    unsigned denied = 0;
    unsigned unanswered = 0;
    unsigned lent = 0; ///< sends that this entry has lent
};

/// Borrows further sends from other entries, and lends to them. Not thread-safe.
class budget_borrowing
{
public:
    /// Time after which a request counts as unanswered: a round trip between regions. Streams may
    /// pause for several times as long.
    static constexpr milliseconds replyTimeout{150};
    /// Time after which an unanswered request is dropped if its flow has ended without expiring it.
    static constexpr milliseconds abandonedAfter = 2 * replyTimeout;
    /// Limits the requests of this entry, whose datagrams take about 70 bytes: where all budgets
    /// are exhausted, asking is futile. A crash interrupts the streams of one batch at a time.
    static constexpr double requestsPerSecond = 5;
    static constexpr double requestBurst = 20;

    /// \param firstId id of the first request. Ids of one entry's successive processes must differ.
    explicit budget_borrowing(std::uint64_t firstId)
        : m_nextId(firstId)
    {
    }

    void setSenders(borrow_senders senders) { m_senders = std::move(senders); }

    /// Sets the names of all entries, and of this one.
    void setEntries(std::span<const std::string> names, const std::string &own);

    /// \returns the number of entries that can be asked.
    std::size_t lenders() const { return m_others.size(); }

    /// \returns true if another entry may be asked at \p now.
    bool canAsk(time_point now);

    /// Called with the lender's decision.
    using reply_handler = std::function<void(bool isGranted)>;

    /// Asks the next of the other entries for one further send to \p service. The caller must call
    /// expire() after \c replyTimeout, unless it no longer needs the send.
    /// \param request id of the caller's request, for the log.
    /// \returns the id of the borrow request, or nothing if canAsk() is false.
    std::optional<std::uint64_t> ask(std::string_view service, std::string_view request,
                                     time_point now, reply_handler onReply);

    /// Drops the borrow request \p id. \returns false if it was answered before.
    bool expire(std::uint64_t id);

    /// Applies the reply of a lender. Ignored if it is late.
    void applyReply(const borrow_reply &reply, time_point now);

    /// Lends one send to another entry, if there is one, and replies.
    /// \param budget of the service; null if this entry has none.
    /// \param share this entry's share of the allowance.
    void applyRequest(const borrow_request &request, send_budget *budget, double share,
                      time_point now);

    /// \returns the number of requests that wait for a reply.
    std::size_t pendingRequests() const { return m_pending.size(); }

    /// \returns the counts since the last call.
    borrow_counts takeCounts() { return std::exchange(m_counts, {}); }

private:
    struct pending_request
    {
        std::string request; ///< id of the caller's request
        std::string lender;
        time_point askedAt{};
        reply_handler onReply;
    };
    void logResult(std::uint64_t id, const pending_request &item, std::string_view result) const;

    borrow_senders m_senders;
    std::string m_own;
    std::vector<std::string> m_others; ///< in an order specific to this entry
    std::size_t m_nextLender = 0; ///< index into m_others
    std::uint64_t m_nextId;
    std::map<std::uint64_t, pending_request> m_pending; ///< by id
    token_bucket m_requests{requestsPerSecond, requestBurst};
    borrow_counts m_counts;
};

} // namespace laurelcroft

#endif
