//===-- HeldMemory.cpp - bytes held for slow peers --------------------------===//
//
// Keeps the sums and the set of holders, and releases connections when memory is short.
//
//===----------------------------------------------------------------------===//
#include "HeldMemory.h"

#include "CallerConnection.h"

#include <vector>

using namespace laurelcroft;

void held_memory::set(caller_exchange::state &connection, held_for what, std::size_t bytes)
{
    std::size_t &own = connection.held.bytes[static_cast<std::size_t>(what)];
    if (own == bytes)
        return;
    const bool wasHolder = connection.held.total() > 0;
    std::size_t &sum = m_held.bytes[static_cast<std::size_t>(what)];
    sum = sum - own + bytes;
    own = bytes;
    const bool isHolder = connection.held.total() > 0;
    if (wasHolder == isHolder)
        return;
    if (isHolder) {
        connection.progressAt = bootNow();
        m_holders.insert(&connection);
    } else {
        m_holders.erase(&connection);
    }
}

void held_memory::clear(caller_exchange::state &connection)
{
    set(connection, held_for::unsent, 0);
    set(connection, held_for::answer, 0);
    set(connection, held_for::request, 0);
}

void caller_server::state::releaseMemory()
{
    if (!memory.isPressed())
        return;
    std::vector<std::shared_ptr<caller_exchange::state>> connections;
    std::vector<memory_holder> holders;
    for (caller_exchange::state *connection : memory.holders()) {
        if (connection->hasProgressed())
            connection->progressAt = bootNow();
        if (!connection->waitsForPeer())
            continue;
        connections.push_back(connection->shared_from_this());
        holders.push_back({connection->held.total(), connection->urgency, connection->progressAt});
    }
    while (memory.isPressed()) {
        const auto first = memory.budget().nextToRelease(holders, bootNow());
        if (!first)
            return;
        ++counts.cutOffStalled;
        connections[*first]->cutOffPeer();
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(*first));
        holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(*first));
    }
}
