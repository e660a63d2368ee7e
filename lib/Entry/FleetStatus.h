//===-- FleetStatus.h - bundle epochs of all members ------------*- C++ -*-===//
//
// Private to Entry: queries the bundle epoch of every member, a bounded number at a time.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_ENTRY_FLEETSTATUS_H
#define LAURELCROFT_LIB_ENTRY_FLEETSTATUS_H

#include "laurelcroft/Node/Node.h"

#include <functional>
#include <string>

namespace laurelcroft {

/// Collects the status of the fleet for operators.
class fleet_status
{
public:
    explicit fleet_status(node &instance)
        : m_node(instance)
    {
    }

    /// Queries all members.
    /// \param own epoch of this entry.
    /// \param done receives a JSON list with instance, role, data centre, pool, leaving state and
    /// epoch of each member; the epoch is null if a member did not answer.
    void collect(bundle_epoch own, std::function<void(const std::string &)> done);

private:
    node &m_node;
};

} // namespace laurelcroft

#endif
