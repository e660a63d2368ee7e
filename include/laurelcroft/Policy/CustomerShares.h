//===-- Policy/CustomerShares.h - fair shares of admitted work --*- C++ -*-===//
//
// Answers the load in which more is asked for than a service has room for. Keeps the recent demand
// at this entry by urgency and customer, and divides what can be admitted: more urgent work first;
// within one urgency by max-min fair shares, so that a customer that sends many times its usual is
// refused its own excess and the others are admitted in full. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_CUSTOMERSHARES_H
#define LAURELCROFT_POLICY_CUSTOMERSHARES_H

#include "laurelcroft/Support/Runtime.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace laurelcroft {

/// The chance of one request to be admitted, and why.
struct admission_share
{
    double chance = 1; ///< 0 to 1
    bool isOverShare = false; ///< its customer's demand exceeds its fair share
    double demandRatio = 0; ///< its customer's demand relative to the fair share; 0: no limit
};

/// Recent demand at one entry for one service.
class customer_shares
{
public:
    /// Number of urgencies; 0 is the most urgent.
    static constexpr std::size_t urgencies = 10;
    /// Limit on the customers remembered at each urgency. The others share one entry.
    static constexpr std::size_t maxCustomers = 64;

    /// Counts a request that asks for \p size units of work.
    /// \param customer empty if unknown.
    void addDemand(int urgency, std::string_view customer, double size, time_point now);

    /// \returns the chance of a request that was counted by addDemand().
    /// \param wait expected wait at the service, as a share of the objective.
    /// \param usualFraction part of all demand that was admitted recently, 0 to 1. Fair shares
    /// follow it, so that a short wait doesn't turn a customer's usual demand into an excess.
    admission_share shareOf(int urgency, std::string_view customer, double wait,
                            double usualFraction) const;

    /// \returns the part of recent demand that is at least as urgent as \p urgency, 0 to 1.
    double demandUpTo(int urgency) const;

private:
    struct urgency_demand
    {
        double total = 0;
        std::map<std::string, double, std::less<>> customers;
    };
    /// The demand of one urgency, divided by its customers' fair shares.
    struct divided_demand
    {
        double total = 0; ///< of all urgencies
        double moreUrgent = 0;
        double withinShares = 0;
        double excess = 0;
        double fairShare = 0; ///< of each customer
    };
    void decay(time_point now);
    double totalDemand() const;
    divided_demand divide(int urgency, double usualFraction) const;
    double chanceOfExcess(const divided_demand &divided, double wait) const;

    std::array<urgency_demand, urgencies> m_demand;
    time_point m_decayedAt{};
};

} // namespace laurelcroft

#endif
