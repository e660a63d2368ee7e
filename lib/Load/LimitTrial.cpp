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
    customer who;
    who.name = name;
    who.requestsPerSecond = perSecond;
    who.burst = static_cast<std::uint32_t>(perSecond);
    who.maxConcurrent = 1000000;
    return who;
}

/// Requests over all entries in one run.
struct limit_result
{
    double largeAdmitted = 0;
    double smallRequested = 0;
    double smallAdmitted = 0;
    double maxAdmittedPerSecond
            = 0; ///< most admitted of the large customer in 1 s, after the first 2 s
};

/// How the rate of a customer is divided among the entries: by reported demand, in equal parts, or
/// not at all, so that each entry grants the full rate.
enum class rate_sharing { demand, even, none };

limit_result runLimits(rate_sharing how, std::size_t entries, std::uint64_t seed, double forSeconds)
{
    manual_runtime runtime;
    random_source random(seed);
    const customer large = makeCustomer("large", largeCustomerRate);
    const customer small = makeCustomer("small", 20);
    std::vector<customer_limits> limits(entries);
    allowance_allocator ledger;
    for (customer_limits &item : limits)
        item.setEntries(how == rate_sharing::none ? 1 : entries);
    limit_result result;
    double thisSecond = 0;
    time_point nextReport = runtime.now() + reportPeriod;
    time_point nextPhase = runtime.now();
    std::size_t hot = 0;
    const auto ask = [&](const customer &who, std::size_t at) {
        const bool passed = limits[at].admit(who, runtime.now()).verdict == limit_verdict::admitted;
        if (passed)
            limits[at].finish(who.name);
        return passed;
    };
    const auto steps = static_cast<int>(forSeconds * 100);
    for (int i = 0; i < steps; ++i) {
        runtime.advance(timeStep);
        if (runtime.now() >= nextPhase) {
            hot = random.index(entries);
            nextPhase = runtime.now() + hotEntryPeriod;
        }
        // The large customer sends 80% of its requests to one entry, the others to random ones.
        for (int k = 0; k < 3; ++k) {
            const std::size_t at = random.chance(0.8) ? hot : random.index(entries);
            const double passed = ask(large, at) ? 1 : 0;
            result.largeAdmitted += passed;
            thisSecond += passed;
        }
        if (random.chance(0.1)) {
            result.smallRequested += 1;
            result.smallAdmitted += ask(small, random.index(entries)) ? 1 : 0;
        }
        if (runtime.now() < nextReport)
            continue;
        nextReport = runtime.now() + reportPeriod;
        if (i > 200)
            result.maxAdmittedPerSecond = std::max(result.maxAdmittedPerSecond, thisSecond);
        thisSecond = 0;
        if (how != rate_sharing::demand)
            continue;
        for (std::size_t e = 0; e < entries; ++e) {
            for (const customer_demand &demand : limits[e].takeDemand(reportPeriod)) {
                const double whole = demand.customer == large.name ? large.requestsPerSecond
                                                                   : small.requestsPerSecond;
                const double share = ledger.report(
                        demand.customer, std::to_string(e),
                        {demand.perSecond, whole, entries, shareLifetime}, runtime.now());
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
        for (const auto &[variant, how] : variants) {
            const limit_result result
                    = runLimits(how, static_cast<std::size_t>(entries), given.seed, given.runs);
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
