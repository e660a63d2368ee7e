//===-- Policy/CustomerLimits.h - request limits of customers ---*- C++ -*-===//
//
// For each customer, a token bucket and a limit on requests in flight, both scaled by this entry's
// share of the customer's total allowance.
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

/// A customer's demand at this entry.
struct customer_demand
{
    std::string customer;
    double perSecond = 0;
};

/// The limits of all customers at one entry.
class customer_limits
{
public:
    /// Minimum share of an entry, as a fraction of the even split between all entries, so that a
    /// customer that starts to use another entry is not refused before the shares are adjusted.
    static constexpr double minEvenShareFraction = 0.25;

    /// Admits or refuses a request of \p who, and counts it as demand in either case.
    limit_decision admit(const customer &who, time_point now);

    /// Ends a request that was admitted.
    void finish(std::string_view who);

    /// Sets the number of live entries, for customers without an assigned share.
    void setEntries(std::size_t entries) { m_entries = entries == 0 ? 1 : entries; }

    /// Sets the share of \p who's allowance that this entry may use, valid until \p until.
    void setShare(std::string_view who, double share, time_point until);

    /// \returns the share that applies at \p now.
    double share(std::string_view who, time_point now) const;

    /// \returns each customer's demand since the last call, in requests per second.
    std::vector<customer_demand> takeDemand(duration since);

private:
    struct account
    {
        double tokens = -1; ///< negative: not used yet; the bucket starts full
        time_point filledAt{};
        std::uint32_t inFlight = 0;
        std::uint64_t requestCount = 0;
        double share = 0;
        time_point shareUntil{};
    };

    std::map<std::string, account, std::less<>> m_accounts;
    std::size_t m_entries = 1;
};

/// An entry's report to the entry that allocates a customer's allowance.
struct allowance_request
{
    double perSecond = 0; ///< the reporting entry's demand
    double rate = 0; ///< the customer's total rate, in requests per second
    std::size_t entries = 1; ///< number of live entries
    duration validFor{0}; ///< how long a reported demand is valid
};

/// Splits a customer's allowance by the demand of each entry. Runs at the customer's home entry.
class allowance_allocator
{
public:
    /// Records \p entry's demand.
    /// \returns its share of the customer's allowance.
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
