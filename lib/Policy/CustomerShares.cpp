//===-- CustomerShares.cpp - fair shares of admitted work -----------------===//
//
// Demand is a sum with exponential decay. Fair shares are computed by water filling.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/CustomerShares.h"

#include "laurelcroft/Policy/RoomAdmission.h"
#include "laurelcroft/Support/Decay.h"

#include <algorithm>
#include <cmath>
#include <vector>

using namespace laurelcroft;

namespace {

/// Half-life of demand. Long enough that an entry with a few requests per second knows who asks for
/// how much, short compared with the time over which a customer's demand changes.
constexpr milliseconds demandHalfLife{2000};
/// Demand of this many requests is kept for longer, with the second half-life: from fewer, a
/// customer with little demand is mistaken for one with an excess.
constexpr double keptDemand = 64;
constexpr milliseconds keptDemandHalfLife{10000};
/// Demand is decayed in steps of this, so that a request costs little.
constexpr milliseconds decayStep{50};
/// Demand below this is forgotten: a single request after some 14 s.
constexpr double minDemand = 0.01;
/// Part of the room that is kept for the urgencies for which there is none, so that none of them is
/// starved. It delays more urgent work by as much only.
constexpr double trickleShare = 0.03;
/// Demand beyond a fair share that doesn't count as an excess, relative to the square root of the
/// demand: twice the standard deviation of independent requests whose weights decay.
constexpr double shareTolerance = 1.4;
/// Additional wait, as a share of the objective, up to which demand within the fair shares is
/// admitted, in proportion to the part of demand that is refused. The excess is refused long
/// before, so that a short wait costs only its customers. While nothing is refused yet, all demand
/// counts as usual, and there is no such margin.
constexpr double shareMargin = 0.4;

} // namespace

static std::size_t indexOf(int urgency)
{
    constexpr int last = int(customer_shares::urgencies) - 1;
    return static_cast<std::size_t>(std::clamp(urgency, 0, last));
}

void customer_shares::decay(time_point now)
{
    if (now - m_decayedAt < decayStep)
        return;
    const double total = totalDemand();
    const double slow = decayFactor(now - m_decayedAt, keptDemandHalfLife);
    const double usual = decayFactor(now - m_decayedAt, demandHalfLife);
    const double keep = total > keptDemand ? std::clamp(keptDemand / total, usual, slow) : slow;
    m_decayedAt = now;
    for (urgency_demand &demand : m_demand) {
        demand.total = 0;
        for (auto &[customer, weight] : demand.customers)
            weight *= keep;
        std::erase_if(demand.customers, [](const auto &item) { return item.second < minDemand; });
        for (const auto &[customer, weight] : demand.customers)
            demand.total += weight;
    }
}

void customer_shares::addDemand(int urgency, std::string_view customer, double size, time_point now)
{
    decay(now);
    urgency_demand &demand = m_demand[indexOf(urgency)];
    auto it = demand.customers.find(customer);
    if (it == demand.customers.end()) {
        const std::string_view name
                = demand.customers.size() < maxCustomers ? customer : std::string_view();
        it = demand.customers.emplace(name, 0).first;
    }
    it->second += size;
    demand.total += size;
}

double customer_shares::totalDemand() const
{
    double total = 0;
    for (const urgency_demand &demand : m_demand)
        total += demand.total;
    return total;
}

double customer_shares::demandUpTo(int urgency) const
{
    const double total = totalDemand();
    if (total <= 0)
        return 1;
    double upTo = 0;
    for (std::size_t i = 0; i <= indexOf(urgency); ++i)
        upTo += m_demand[i].total;
    return upTo / total;
}

/// \returns the part of a customer's \p demand that lies within \p fairShare.
static double withinShare(double demand, double fairShare)
{
    const bool mayBeWithin
            = fairShare > 0 && demand <= fairShare + shareTolerance * std::sqrt(demand);
    return mayBeWithin ? demand : fairShare;
}

/// \returns the demand up to which each customer is admitted, so that all of them together get
/// \p room; at least the highest demand if there is room for all of it.
static double fairShare(std::vector<double> demands, double room)
{
    std::sort(demands.begin(), demands.end());
    double left = std::max(0.0, room);
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double equal = left / double(demands.size() - i);
        if (demands[i] > equal)
            return equal;
        left -= demands[i];
    }
    return demands.empty() ? left : demands.back();
}

customer_shares::divided_demand customer_shares::divide(int urgency, double usualFraction) const
{
    const std::size_t index = indexOf(urgency);
    const urgency_demand &own = m_demand[index];
    divided_demand divided;
    for (std::size_t i = 0; i < index; ++i)
        divided.moreUrgent += m_demand[i].total;
    divided.total = totalDemand();
    std::vector<double> demands;
    demands.reserve(own.customers.size());
    for (const auto &[name, demand] : own.customers)
        demands.push_back(demand);
    divided.fairShare = fairShare(demands, usualFraction * divided.total - divided.moreUrgent);
    for (const double demand : demands)
        divided.withinShares += withinShare(demand, divided.fairShare);
    divided.excess = own.total - divided.withinShares;
    return divided;
}

/// \returns the chance of work that has only \p ahead, a part of all demand that includes it, and
/// no other work before it.
static double chanceBehind(double wait, double ahead)
{
    return admittedFraction(wait * ahead);
}

double customer_shares::chanceOfExcess(const divided_demand &divided, double wait) const
{
    const double upTo = divided.moreUrgent + divided.withinShares + divided.excess;
    const double room = chanceBehind(wait, upTo / divided.total) * upTo - divided.moreUrgent
            - divided.withinShares;
    const double usual = trickleShare * divided.total / std::max(divided.excess, minDemand);
    return std::clamp(room / divided.excess, std::min(1.0, usual * admittedFraction(wait)), 1.0);
}

admission_share customer_shares::shareOf(int urgency, std::string_view customer, double wait,
                                         double usualFraction) const
{
    const urgency_demand &own = m_demand[indexOf(urgency)];
    auto it = own.customers.find(customer);
    if (it == own.customers.end())
        it = own.customers.find(std::string_view());
    if (it == own.customers.end() || isNegligibleWait(wait))
        return {};
    const divided_demand divided = divide(urgency, usualFraction);
    const double within = withinShare(it->second, divided.fairShare);
    const double excess = it->second - within;
    const double ahead = (divided.moreUrgent + divided.withinShares) / divided.total;
    double admitted = within * chanceBehind(wait - shareMargin * (1 - usualFraction), ahead);
    if (excess <= 0)
        return {admitted / it->second, false, 0};
    admitted += excess * chanceOfExcess(divided, wait);
    const bool isOverShare = own.customers.size() > 1 && within > 0;
    return {admitted / it->second, isOverShare, it->second / std::max(within, minDemand)};
}
