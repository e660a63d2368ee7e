//===-- HeldMemory.h - bytes held for slow peers -----------------*- C++ -*-===//
//
// Counts the bytes that a server's connections hold. A connection that never has to wait for its
// peer is not counted and costs nothing.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_PROXY_HELDMEMORY_H
#define LAURELCROFT_LIB_PROXY_HELDMEMORY_H

#include "laurelcroft/Policy/MemoryBudget.h"
#include "laurelcroft/Proxy/CallerServer.h"

#include <array>
#include <cstddef>
#include <set>

namespace laurelcroft {

/// What bytes are held for.
enum class held_for {
    unsent, ///< an answer that the caller has not taken yet
    answer, ///< an answer that is held back until it is complete
    request ///< a request's body, for the endpoint that runs it
};

/// Bytes held by one connection, by purpose.
struct held_bytes
{
    static constexpr std::size_t purposes = 3;
    std::array<std::size_t, purposes> bytes{};

    std::size_t total() const { return bytes[0] + bytes[1] + bytes[2]; }
};

/// Bytes held by the connections of one server.
class held_memory
{
public:
    /// Used unless a budget is set: a quarter of the memory of a small instance, in bytes.
    static constexpr std::size_t defaultBudget = 16U << 20;
    /// Bodies and answers below this size are not counted, in bytes. Nearly all are smaller.
    static constexpr std::size_t countedFrom = 16384;

    const memory_budget &budget() const { return m_budget; }
    void setBudget(std::size_t bytes) { m_budget = memory_budget(bytes); }

    /// Sets the bytes that \p connection holds for \p what.
    void set(caller_exchange::state &connection, held_for what, std::size_t bytes);
    /// Forgets all bytes of \p connection.
    void clear(caller_exchange::state &connection);

    std::size_t bytes(held_for what) const { return m_held.bytes[static_cast<std::size_t>(what)]; }
    std::size_t total() const { return m_held.total(); }
    /// \returns the bytes above which a connection is behind.
    std::size_t share() const { return m_budget.shareOf(total()); }
    bool isPressed() const { return m_budget.isPressed(total()); }
    bool admits(int urgency) const { return m_budget.admits(urgency, total()); }

    /// \returns the connections that hold bytes.
    const std::set<caller_exchange::state *> &holders() const { return m_holders; }

private:
    memory_budget m_budget{defaultBudget};
    held_bytes m_held;
    std::set<caller_exchange::state *> m_holders;
};

} // namespace laurelcroft

#endif
