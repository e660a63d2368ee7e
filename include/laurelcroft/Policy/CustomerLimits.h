//===-- Policy/CustomerLimits.h - a customer's rate and share ----*- C++ -*-===//
//
// A token bucket and a ceiling of requests in flight for each customer, scaled by
// this entry's share of the customer's whole allowance.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_CUSTOMERLIMITS_H
#define LAURELCROFT_POLICY_CUSTOMERLIMITS_H

#include "laurelcroft/Contract/Bundle.h"
#include "laurelcroft/Support/Runtime.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

enum class limit_verdict { admitted, rateExceeded, tooManyInFlight };

struct limit_decision
{
    limit_verdict verdict = limit_verdict::admitted;
    milliseconds retryAfter{0};
};

/// One customer's demand at this entry.
struct customer_demand
{
    std::string customer;
    double perSecond = 0;
};

/// The limits of all customers at one entry.
class customer_limits
{
public:
    /// Share that an entry always keeps of a fleet's even split, so that a customer
    /// that turns to it anew is not refused before shares have moved.
    static constexpr double minEvenShareFraction = 0.25;

    /// Takes \p who's request or refuses it, and counts it as demand either way.
    limit_decision admit(const customer &who, time_point now);

    /// Ends a request that was admitted.
    void finish(std::string_view who);

    /// Sets the number of live entries, for customers without a share of their own.
    void setEntries(std::size_t entries) { m_entries = entries == 0 ? 1 : entries; }

    /// Sets the share of \p who's allowance that this entry may use, valid for \p life.
    void setShare(std::string_view who, double share, time_point until);

    /// \returns the share that holds at \p now.
    double share(std::string_view who, time_point now) const;

    /// \returns each customer's demand since the last call, in requests a second.
    std::vector<customer_demand> takeDemand(duration since);

private:
    struct account
    {
        double tokens = -1; ///< negative: not used yet, starts full
        time_point filledAt{};
        std::uint32_t inFlight = 0;
        std::uint64_t asked = 0;
        double share = 0;
        time_point shareUntil{};
    };

    std::map<std::string, account, std::less<>> m_accounts;
    std::size_t m_entries = 1;
};

/// What an entry tells the home of a customer.
struct allowance_request
{
    double perSecond = 0; ///< its demand
    double rate = 0; ///< the customer's whole rate, in requests a second
    std::size_t entries = 1; ///< live ones
    duration keep{0}; ///< how long a demand counts
};

/// Splits one customer's allowance by the demand of each entry, at its home entry.
class allowance_allocator
{
public:
    /// Notes \p entry's demand and \returns its share of the customer's allowance.
    double report(const std::string &customer, const std::string &entry,
                  const allowance_request &asked, time_point now);

private:
    struct item
    {
        double perSecond = 0;
        time_point at{};
    };
    std::map<std::string, std::map<std::string, item>> m_demands;
};

} // namespace laurelcroft

#endif
