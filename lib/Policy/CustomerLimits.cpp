//===-- CustomerLimits.cpp - request limits of customers ------------------===//
//
// The total over all entries can exceed the limits only by a bounded amount: the shares assigned
// together sum to at most one, a share that is not renewed falls back to the even split, and every
// entry allows a small minimum burst.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/CustomerLimits.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {
constexpr milliseconds inFlightRetryAfter{200};
constexpr milliseconds minRetryAfter{10};
/// Minimum burst of an entry, however small its share.
constexpr double minBurst = 3;
constexpr double smoothingFactor = 0.6;
} // namespace

double customer_limits::share(std::string_view who, time_point now) const
{
    const double even = 1.0 / static_cast<double>(m_entries);
    const auto it = m_accounts.find(who);
    if (it == m_accounts.end() || now >= it->second.shareUntil)
        return even;
    return std::max(it->second.share, minEvenShareFraction * even);
}

void customer_limits::setShare(std::string_view who, double share, time_point until)
{
    account &item = m_accounts[std::string(who)];
    item.share = share;
    item.shareUntil = until;
}

limit_decision customer_limits::admit(const customer &who, time_point now)
{
    const double part = share(who.name, now);
    account &item = m_accounts[who.name];
    item.requestCount += 1;
    const double rate = who.requestsPerSecond * part;
    const double capacity = std::max(minBurst, who.burst * part);
    if (item.tokens < 0)
        item.tokens = capacity;
    const double elapsed = std::chrono::duration<double>(now - item.filledAt).count();
    item.tokens = std::min(capacity, item.tokens + std::max(0.0, elapsed) * rate);
    item.filledAt = now;
    const auto most = static_cast<std::uint32_t>(std::ceil(who.maxConcurrent * part));
    if (item.inFlight >= std::max(1U, most))
        return {limit_verdict::tooManyInFlight, inFlightRetryAfter};
    if (item.tokens < 1.0) {
        const double waitMs = 1000.0 * (1.0 - item.tokens) / std::max(rate, 1e-6);
        const milliseconds wait(static_cast<std::int64_t>(std::ceil(std::min(waitMs, 6e4))));
        return {limit_verdict::rateExceeded, std::max(wait, minRetryAfter)};
    }
    item.tokens -= 1.0;
    item.inFlight += 1;
    return {};
}

void customer_limits::finish(std::string_view who)
{
    const auto it = m_accounts.find(who);
    if (it != m_accounts.end() && it->second.inFlight > 0)
        it->second.inFlight -= 1;
}

std::vector<customer_demand> customer_limits::takeDemand(duration since)
{
    std::vector<customer_demand> demands;
    const double elapsed = std::max(1e-3, std::chrono::duration<double>(since).count());
    for (auto &[name, item] : m_accounts) {
        if (item.requestCount == 0)
            continue;
        demands.push_back({name, static_cast<double>(item.requestCount) / elapsed});
        item.requestCount = 0;
    }
    return demands;
}

double allowance_allocator::report(const std::string &customer, const std::string &entry,
                                   const allowance_request &asked, time_point now)
{
    auto &items = m_demands[customer];
    item &own = items[entry];
    const bool isFresh = now - own.at <= asked.validFor;
    // One second's count is too noisy for a customer with few requests, so it is smoothed.
    own.perSecond = isFresh ? own.perSecond + smoothingFactor * (asked.perSecond - own.perSecond)
                            : asked.perSecond;
    own.at = now;
    double total = 0;
    for (auto it = items.begin(); it != items.end();) {
        if (now - it->second.at > asked.validFor) {
            it = items.erase(it);
            continue;
        }
        total += it->second.perSecond;
        ++it;
    }
    const auto entries = static_cast<double>(std::max<std::size_t>(1, asked.entries));
    const double unreported = std::max(0.0, entries - static_cast<double>(items.size()));
    // Entries that have not reported keep their minimum share; the others split the rest.
    const double shared = 1.0 - customer_limits::minEvenShareFraction * unreported / entries;
    const double rate = std::max(asked.rate, 1e-6) * shared;
    if (total >= rate)
        return shared * own.perSecond / total;
    // While the rate covers all demand, the remainder is split evenly.
    return (own.perSecond + (rate - total) / static_cast<double>(items.size())) / rate * shared;
}
