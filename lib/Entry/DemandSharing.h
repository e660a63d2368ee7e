//===-- DemandSharing.h - shares customers' allowances ----------*- C++ -*-===//
//
// Private to Entry: splits each customer's allowance between the entries. Rendezvous hashing over
// the live entries gives each customer a home entry. Every entry reports its demand for the
// customer to the home entry, which replies with that entry's share. If a home entry fails, the
// next in rank takes its place and has the complete demand after one round of reports.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_ENTRY_DEMANDSHARING_H
#define LAURELCROFT_LIB_ENTRY_DEMANDSHARING_H

#include "laurelcroft/Node/Node.h"
#include "laurelcroft/Policy/CustomerLimits.h"

#include <functional>
#include <memory>
#include <string>

namespace laurelcroft {

/// Path of the streams for demand reports.
inline constexpr std::string_view demandPath = "/demand";

/// Reports the demand at one entry, and allocates shares for the customers that have it as home.
class demand_sharing
{
public:
    using rules_source = std::function<std::shared_ptr<const accepted_bundle>()>;

    demand_sharing(node &instance, customer_limits &limits, rules_source rules);

    /// Starts the periodic reports.
    void start();

    /// Replies to an entry's report as the home entry of the reported customers.
    wire::demand_reply onReport(const wire::demand_report &report);

private:
    void sendReports();
    /// Sets the shares that a home entry allocated to this entry.
    void applyShares(const wire::demand_reply &reply);

    node &m_node;
    customer_limits &m_limits;
    rules_source m_rules;
    allowance_allocator m_allocator;
    time_point m_lastReportAt{};
};

} // namespace laurelcroft

#endif
