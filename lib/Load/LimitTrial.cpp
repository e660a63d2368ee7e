//===-- LimitTrial.cpp - a customer's overshoot over several entries --------===//
//
// A large customer sends three times its rate limit, mostly to one entry that changes every few
// seconds. A small customer stays within its limit.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Load/Trial.h"
#include "laurelcroft/Policy/CustomerLimits.h"
#include "laurelcroft/Support/Random.h"

#include <cmath>

using namespace laurelcroft;

namespace {

constexpr duration timeStep = milliseconds(10);
constexpr duration reportPeriod = seconds(1);
constexpr duration shareLifetime = seconds(3);
constexpr duration hotEntryPeriod = seconds(5);
constexpr double largeCustomerRate = 100; ///< rate limit of the large customer, in requests/s

customer makeCustomer(const char *name, double perSecond)
{
    customer result;
    result.name = name;
    result.requestsPerSecond = perSecond;
    result.burst = static_cast<std::uint32_t>(perSecond);
    result.maxConcurrent = 1000000;
    return result;
}

/// Requests over all entries in one run.
struct limit_result
{
    double largeAdmitted = 0;
    double smallRequested = 0;
    double smallAdmitted = 0;
    /// Most requests of the large customer admitted in one second, after the first two seconds.
    double maxAdmittedPerSecond = 0;
};

/// How the rate of a customer is divided among the entries: by reported demand, in equal parts, or
/// not at all, so that each entry grants the full rate.
enum class rate_sharing { demand, even, none };

limit_result runLimits(rate_sharing policy, std::size_t entries, std::uint64_t seed,
                       double durationSeconds)
{
    manual_runtime runtime;
    random_source random(seed);
    const customer large = makeCustomer("large", largeCustomerRate);
    const customer small = makeCustomer("small", 20);
    std::vector<customer_limits> limits(entries);
    allowance_allocator allocator;
    for (customer_limits &item : limits)
        item.setEntries(policy == rate_sharing::none ? 1 : entries);
    limit_result result;
    double admittedThisSecond = 0;
    time_point nextReport = runtime.now() + reportPeriod;
    time_point nextHotEntryChange = runtime.now();
    std::size_t hotEntry = 0;
    const auto sendRequest = [&](const customer &sender, std::size_t at) {
        const bool wasAdmitted
                = limits[at].admit(sender, runtime.now()).verdict == limit_verdict::admitted;
        if (wasAdmitted)
            limits[at].finish(sender.name);
        return wasAdmitted;
    };
    const auto steps = static_cast<int>(durationSeconds * 100);
    for (int i = 0; i < steps; ++i) {
        runtime.advance(timeStep);
        if (runtime.now() >= nextHotEntryChange) {
            hotEntry = random.index(entries);
            nextHotEntryChange = runtime.now() + hotEntryPeriod;
        }
        // The large customer sends 80% of its requests to one entry, the others to random ones.
        for (int k = 0; k < 3; ++k) {
            const std::size_t at = random.chance(0.8) ? hotEntry : random.index(entries);
            const double admitted = sendRequest(large, at) ? 1 : 0;
            result.largeAdmitted += admitted;
            admittedThisSecond += admitted;
        }
        if (random.chance(0.1)) {
            result.smallRequested += 1;
            result.smallAdmitted += sendRequest(small, random.index(entries)) ? 1 : 0;
        }
        if (runtime.now() < nextReport)
            continue;
        nextReport = runtime.now() + reportPeriod;
        if (i > 200)
            result.maxAdmittedPerSecond = std::max(result.maxAdmittedPerSecond, admittedThisSecond);
        admittedThisSecond = 0;
        if (policy != rate_sharing::demand)
            continue;
        for (std::size_t e = 0; e < entries; ++e) {
            for (const customer_demand &demand : limits[e].takeDemand(reportPeriod)) {
                const double customerRate = demand.customer == large.name ? large.requestsPerSecond
                                                                          : small.requestsPerSecond;
                const double share = allocator.report(
                        demand.customer, std::to_string(e),
                        {demand.perSecond, customerRate, entries, shareLifetime}, runtime.now());
                limits[e].setShare(demand.customer, share, runtime.now() + shareLifetime);
            }
        }
    }
    return result;
}

} // namespace

std::vector<trial_row> laurelcroft::runLimitTrial(const trial_settings &given)
{
    const std::vector<std::pair<const char *, rate_sharing>> variants
            = {{"laurelcroft", rate_sharing::demand},
               {"even split", rate_sharing::even},
               {"each entry the whole rate", rate_sharing::none}};
    std::vector<trial_row> rows;
    for (const double entries : given.axisValues) {
        for (const auto &[variant, policy] : variants) {
            const limit_result result
                    = runLimits(policy, static_cast<std::size_t>(entries), given.seed, given.runs);
            rows.push_back({given.kind,
                            variant,
                            entries,
                            "entries",
                            {{"large: admitted of its rate",
                              result.largeAdmitted / given.runs / largeCustomerRate},
                             {"large: worst second of its rate",
                              result.maxAdmittedPerSecond / largeCustomerRate},
                             {"small: admitted of asked",
                              result.smallAdmitted / std::max(1.0, result.smallRequested)}}});
        }
    }
    return rows;
}
