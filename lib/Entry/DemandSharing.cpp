//===-- DemandSharing.cpp - shares customers' allowances ------------------===//
//
// An entry sends one message per period to each home entry that its customers have.
// docs/CAPACITY.md gives the resulting traffic.
//
//===----------------------------------------------------------------------===//
#include "DemandSharing.h"

#include "laurelcroft/Fleet/Ranking.h"

using namespace laurelcroft;

namespace {
constexpr duration minReportPeriod = seconds(1);
/// The period grows with the number of entries, so that the rate of reports that a home entry
/// receives stays constant.
constexpr duration periodPerEntry = milliseconds(13);
constexpr int validityPeriods = 3; ///< a demand or share is valid for this many periods
constexpr duration reportTimeout = milliseconds(500);
} // namespace

demand_sharing::demand_sharing(node &instance, customer_limits &limits, rules_source rules)
    : m_node(instance)
    , m_limits(limits)
    , m_rules(std::move(rules))
{
}

void demand_sharing::start()
{
    m_lastReportAt = m_node.runtime().now();
    m_node.runtime().after(minReportPeriod, [this] { sendReports(); });
}

/// \returns the time between reports in a fleet of \p entries entries.
static duration reportPeriod(std::size_t entries)
{
    return std::max(minReportPeriod, static_cast<int>(entries) * periodPerEntry);
}

wire::demand_reply demand_sharing::onReport(const wire::demand_report &report)
{
    wire::demand_reply reply;
    const auto current = m_rules();
    if (!current)
        return reply;
    const std::size_t entries = m_node.liveEntries().size();
    for (const wire::demand &item : report.demands()) {
        const customer *who = current->rules.findCustomer(item.customer());
        if (who == nullptr)
            continue;
        const allowance_request asked{item.per_second(), who->requestsPerSecond, entries,
                                      validityPeriods * reportPeriod(entries)};
        wire::demand_share &share = *reply.add_shares();
        share.set_customer(item.customer());
        share.set_share(static_cast<float>(m_allocator.report(item.customer(), report.entry(),
                                                              asked, m_node.runtime().now())));
    }
    return reply;
}

void demand_sharing::applyShares(const wire::demand_reply &reply)
{
    const duration validFor = validityPeriods * reportPeriod(m_node.liveEntries().size());
    const time_point until = m_node.runtime().now() + validFor;
    for (const wire::demand_share &share : reply.shares())
        m_limits.setShare(share.customer(), share.share(), until);
}

void demand_sharing::sendReports()
{
    const time_point now = m_node.runtime().now();
    const std::vector<std::string> entries = m_node.liveEntries();
    std::map<std::string, wire::demand_report> reportsByHome;
    for (const customer_demand &demand : m_limits.takeDemand(now - m_lastReportAt)) {
        const std::string home = topRanked(entries, "limits/" + demand.customer, 1).front();
        wire::demand_report &report = reportsByHome[home];
        report.set_entry(m_node.options().instance);
        wire::demand &item = *report.add_demands();
        item.set_customer(demand.customer);
        item.set_per_second(static_cast<float>(demand.perSecond));
    }
    m_lastReportAt = now;
    for (const auto &[home, report] : reportsByHome) {
        if (home == m_node.options().instance) {
            applyShares(onReport(report));
            continue;
        }
        m_node.sendRequest(home, demandPath, report.SerializeAsString(), reportTimeout,
                           [this](const std::optional<std::string> &answer) {
                               wire::demand_reply reply;
                               if (answer && reply.ParseFromString(*answer))
                                   applyShares(reply);
                           });
    }
    m_node.runtime().after(reportPeriod(entries.size()), [this] { sendReports(); });
}
