//===-- DemandSharing.h - entries share a customer's allowance ---*- C++ -*-===//
//
// Private to Entry: every entry tells each customer's home, which is ranked by
// rendezvous among the live entries, of its demand, and gets its share back. A home
// that dies is replaced by the next rank and needs only one round to know all again.
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

/// Path of the streams that carry demand reports.
inline constexpr std::string_view demandPath = "/demand";

class demand_sharing
{
public:
    using rules_source = std::function<std::shared_ptr<const accepted_bundle>()>;

    demand_sharing(node &instance, customer_limits &limits, rules_source rules);

    /// Begins to report once a period.
    void start();

    /// Answers another entry's report, as the home of its customers.
    wire::demand_reply onReport(const wire::demand_report &report);

private:
    void sendReports();
    void applyShares(const wire::demand_reply &reply);

    node &m_node;
    customer_limits &m_limits;
    rules_source m_rules;
    allowance_allocator m_allocator;
    time_point m_lastReportAt{};
};

} // namespace laurelcroft

#endif
