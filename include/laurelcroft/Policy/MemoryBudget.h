//===-- Policy/MemoryBudget.h - memory held for slow peers ------*- C++ -*-===//
//
// Decides how many bytes an entry holds for peers that send or read slowly.
//
// Load: many callers at once that read large answers slowly or not at all, and many that send large
// bodies slowly. Without a limit for all of them together, each may hold megabytes, and the process
// is killed for its memory, which ends the requests of all callers.
//
// A connection's share is the free part of the pool (a dynamic threshold, as in switches with
// shared buffers): one slow caller may hold half of the pool, n equal ones hold 1 / (n + 1) each,
// and late ones find room although the first ones hold more. The sum never exceeds the pool by more
// than minShare for each connection. The pool is half of the budget, so that the other half is left
// for these minimum shares and for request bodies.
//
// Above the pressed part of the budget, callers that have read nothing for a while are cut off, and
// new requests are refused, the least urgent ones first. Callers that read are never cut off.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_MEMORYBUDGET_H
#define LAURELCROFT_POLICY_MEMORYBUDGET_H

#include "laurelcroft/Support/Runtime.h"

#include <cstddef>
#include <optional>
#include <span>

namespace laurelcroft {

/// What a connection holds, as far as the order of release depends on it.
struct memory_holder
{
    std::size_t bytes = 0;
    int urgency = 0; ///< 0 (first) to 9
    time_point progressAt{}; ///< when the peer last took or sent bytes
};

/// Limits on the bytes held by one entry.
class memory_budget
{
public:
    /// Bytes that a connection may always hold: enough to keep reads and writes large.
    static constexpr std::size_t minShare = 64U << 10;
    /// Longest wait for a peer that takes or sends nothing, once the budget is pressed. On a fast
    /// link, a peer's acknowledgements may be this far apart if it reads some 10 kB a second.
    static constexpr milliseconds stallTimeout{5000};
    static constexpr int minUrgency = 9;

    /// \param total bytes that may be held.
    explicit memory_budget(std::size_t total)
        : m_total(total)
    {
    }

    std::size_t total() const { return m_total; }

    /// \param held bytes held by all connections.
    /// \returns the bytes above which a connection takes no more from its source.
    std::size_t shareOf(std::size_t held) const;

    /// \returns true if a new request of \p urgency may be accepted, or the body of one may grow
    /// beyond minShare, while \p held bytes are held.
    bool admits(int urgency, std::size_t held) const;

    /// \returns true if connections should be released.
    bool isPressed(std::size_t held) const;

    /// \returns the index of the connection to release first: of those without progress for
    /// stallTimeout, the least urgent, then the one longest without progress, then the largest.
    /// Nothing if all make progress.
    std::optional<std::size_t> nextToRelease(std::span<const memory_holder> holders,
                                             time_point now) const;

private:
    std::size_t m_total;
};

} // namespace laurelcroft

#endif
