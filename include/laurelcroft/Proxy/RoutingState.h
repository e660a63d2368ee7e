//===-- Proxy/RoutingState.h - state that routing uses ----------*- C++ -*-===//
//
// The contract in force, the endpoints, the roll-outs and the retry budgets of one entry. Not
// thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROUTINGSTATE_H
#define LAURELCROFT_PROXY_ROUTINGSTATE_H

#include "laurelcroft/Contract/ServiceContract.h"
#include "laurelcroft/Fleet/ServiceDirectory.h"
#include "laurelcroft/Policy/CandidateSample.h"
#include "laurelcroft/Policy/ConfidenceCascade.h"
#include "laurelcroft/Policy/FailureStreak.h"
#include "laurelcroft/Policy/PrefillRate.h"
#include "laurelcroft/Policy/RateShare.h"
#include "laurelcroft/Policy/SendBudget.h"
#include "laurelcroft/Policy/ServiceDemand.h"
#include "laurelcroft/Policy/ServicePressure.h"
#include "laurelcroft/Policy/ServiceRoom.h"
#include "laurelcroft/Proxy/BackoffWatch.h"
#include "laurelcroft/Proxy/BudgetBorrowing.h"
#include "laurelcroft/Proxy/CrashWatch.h"
#include "laurelcroft/Proxy/LeavingWatch.h"
#include "laurelcroft/Proxy/LoadSettings.h"
#include "laurelcroft/Proxy/PaceWatch.h"
#include "laurelcroft/Proxy/PressureNotice.h"
#include "laurelcroft/Proxy/RateLimitWatch.h"
#include "laurelcroft/Proxy/RolloutTracker.h"
#include "laurelcroft/Support/Random.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laurelcroft {

/// Bounds from the site settings.
struct routing_bounds
{
    send_budget_bounds repeats;
    rollout_exposure rolloutExposure{0.1};
    load_settings load;
    std::string dataCentre; ///< data centre of this entry
    std::map<std::string, std::string> regions; ///< keyed by data centre
};

/// A request that an endpoint runs for a customer.
struct customer_run
{
    std::string customer;
    time_point began{};
    bool hasRun = true; ///< false: withdraws an earlier report, because the request was not run
};

/// State shared by all requests of an entry.
class routing_state
{
public:
    routing_state(routing_bounds bounds, cascade_settings cascade, std::uint64_t seed)
        : m_bounds(std::move(bounds))
        , m_cascade(cascade)
        , m_random(seed)
        , m_roundingRandom(seed + 1)
        , m_borrowing(random_source(seed + 2).bits() >> 16U)
    {
    }

    const contract_ptr &contract() const { return m_contract; }

    /// Puts a contract in force.
    /// \returns false, and keeps the current contract, when \p contract is not newer.
    bool setContract(contract_ptr contract);

    service_directory &directory() { return m_directory; }
    crash_watch &crashes() { return m_crashes; }
    endpoint_runs &runs() { return m_crashes.runs(); }
    crash_suspects &suspects() { return m_crashes.suspects(); }
    rate_limit_watch &rateLimits() { return m_rateLimits; }
    leaving_watch &leaving() { return m_leaving; }

    /// Records that an answer of \p endpoint states that it is leaving.
    void noteLeaving(const service_endpoint &endpoint, time_point now)
    {
        m_leaving.update(m_directory, endpoint, now);
    }

    /// \returns the earliest end of a backoff among the usable endpoints of \p service, or nothing
    /// unless all of them are in backoff.
    std::optional<time_point> earliestBackoffEnd(std::string_view service, time_point now) const;

    backoff_watch &backoffs() { return m_backoffs; }

    /// Records that an answer of \p endpoint states a Retry-After of \p time.
    void noteBackoff(service_endpoint &endpoint, milliseconds time, time_point now)
    {
        m_backoffs.update(endpoint, time, now);
    }

    /// Applies a Retry-After that was stated to another entry. Ignored for an unlisted endpoint.
    void noteBackoffElsewhere(const backoff_notice &notice, time_point now)
    {
        m_backoffs.applyNotice(m_directory, notice, now);
    }

    /// Applies a leaving state that was stated to another entry. Ignored for an unlisted endpoint.
    void noteLeavingElsewhere(const leaving_notice &notice, time_point now)
    {
        m_leaving.applyNotice(m_directory, notice, now);
    }

    const cascade_settings &cascade() const { return m_cascade; }
    const std::string &dataCentre() const { return m_bounds.dataCentre; }

    /// \returns true when \p dataCentre is in one of \p regions, or \p regions is empty. A data
    /// centre whose region is unknown is in none.
    bool isInRegions(const std::string &dataCentre, std::span<const std::string> regions) const
    {
        if (regions.empty())
            return true;
        const auto region = m_bounds.regions.find(dataCentre);
        return region != m_bounds.regions.end()
                && std::find(regions.begin(), regions.end(), region->second) != regions.end();
    }
    random_source &random() { return m_random; }

    rollout_tracker &rollouts(std::string_view service);
    std::map<std::string, rollout_tracker, std::less<>> &allRollouts() { return m_rollouts; }
    send_budget &repeats(std::string_view service);
    std::map<std::string, send_budget, std::less<>> &allRepeats() { return m_repeats; }

    /// Credits the budgets of all services with what they have earned. Call it at intervals, since
    /// an entry without requests earns its share of the allowance too.
    void creditBudgets(time_point now);

    /// Further sends that are borrowed from other entries or lent to them.
    budget_borrowing &borrowing() { return m_borrowing; }

    /// Lends a further send to another entry, if this one has one, and replies.
    void noteBorrowRequest(const borrow_request &request, time_point now);

    /// \returns the outcomes of the last attempts at endpoints of \p service.
    failure_streak &outlook(std::string_view service);

    /// \returns recent waits for the first part of an answer at endpoints of \p service.
    recent_wait &waits(std::string_view service);

    /// \returns recent waits for the first part of an answer at endpoints of \p service, as far as
    /// this entry knows them.
    service_pressure &pressure(std::string_view service);

    /// \returns true if the pace of the endpoints of \p service is used: one of them has stated it,
    /// or the settings say so.
    bool usesPace(std::string_view service) const;

    /// Records that an answer of \p endpoint states its pace.
    void notePaceStated(const service_endpoint &endpoint, time_point now);

    /// Applies the pace that another entry has learned. Unlisted endpoints are ignored.
    void notePaceElsewhere(const pace_notice &notice, time_point now);

    pace_watch &pace() { return m_pace; }

    /// \returns true if requests to \p service are admitted by the room that its endpoints have:
    /// the settings state that callers compete for it, or it changes without notice because the
    /// endpoints share their machines and state their pace.
    bool managesRoom(std::string_view service) const;

    /// \returns the expected wait and the shares of customers at \p service.
    service_room &room(std::string_view service);
    std::map<std::string, service_room, std::less<>> &allRooms() { return m_rooms; }

    /// \returns true if the cascade of \p service takes the pressure on it into account.
    bool usesPressureInCascade(std::string_view service) const;

    /// \returns the recent requests to \p service, where the cascade takes the pressure into
    /// account.
    service_demand &demand(std::string_view service);

    /// \returns the estimated requests per second at one endpoint of \p service, of all entries.
    double requestsPerEndpoint(std::string_view service, time_point now);

    /// \returns what this entry has observed of the pressure on services, for the other entries.
    std::vector<pressure_notice> pressureNotices(time_point now) const;

    /// Adds what another entry has observed. Ignored for a service that this entry sends nothing
    /// to, and where the pressure is not used.
    void notePressureElsewhere(const pressure_notice &notice, time_point now);

    const std::map<std::string, service_pressure, std::less<>> &allPressures() const
    {
        return m_pressures;
    }

    /// \returns the estimated prompt processing rate of \p model.
    prefill_rate &promptRate(std::string_view model);

    /// Called for each request sent, with the expected prompt processing time and the shared
    /// prefixes of the prompt.
    using send_listener = std::function<void(const service_endpoint &endpoint, double prefillMs,
                                             std::span<const prompt_prefix> prefixes)>;
    void setSendListener(send_listener listener) { m_onSend = std::move(listener); }
    void noteSend(const service_endpoint &endpoint, double prefillMs,
                  std::span<const prompt_prefix> prefixes) const
    {
        if (m_onSend)
            m_onSend(endpoint, prefillMs, prefixes);
    }

    /// Called for each request that an endpoint runs for a customer.
    using run_listener = std::function<void(const customer_run &run)>;
    void setRunListener(run_listener listener) { m_onRun = std::move(listener); }
    void noteRun(const customer_run &run) const
    {
        if (m_onRun && !run.customer.empty())
            m_onRun(run);
    }

    /// Records that another entry sent a prompt to \p endpoint, which processes it for \p reading
    /// and then caches the prefixes. Ignored for an unlisted endpoint.
    void noteSendElsewhere(std::string_view endpoint, milliseconds reading,
                           std::span<const prompt_prefix> prefixes, time_point now);

    /// \returns the data for sampling among the usable endpoints of \p service, in their order.
    /// Cached until the endpoints change: computing it for 3,000 endpoints takes longer than the
    /// choice itself.
    const std::vector<sampled_endpoint> &sampled(std::string_view service);

    /// \returns the data for sampling among \p endpoints.
    std::vector<sampled_endpoint> sampledOf(std::span<const endpoint_ptr> endpoints) const;

    /// \returns requests per second that this entry may send to \p endpoint while it is cold or may
    /// be; nothing when no such bound applies now.
    std::optional<double> coldShare(const service_endpoint &endpoint, time_point now);

    /// \returns requests per second that this entry may send to \p endpoint, which states a rate
    /// limit.
    double limitShare(const service_endpoint &endpoint);

    /// \returns true when this entry, which has no share of the rate limit of \p endpoint, may send
    /// one request to check whether the limit still holds.
    bool isLimitCheckDue(const service_endpoint &endpoint, time_point now);

    /// Applies a rate limit that was stated to another entry. Ignored for an unlisted endpoint.
    void noteRateLimitElsewhere(const rate_limit_notice &notice, time_point now);

    /// \returns the number of entries that share connections and duties, including this one; 1
    /// while none is known.
    std::size_t entries() const { return std::max<std::size_t>(1, m_entries.size()); }

    /// \returns this entry's fraction of what all entries share; 0 while its own row is unknown,
    /// because the other entries don't count it then.
    double shareOfEntries() const { return m_share; }

    /// \param names of all entries.
    /// \param own name of this entry.
    /// \param dataCentres keyed by entry, where known.
    void setEntries(std::vector<std::string> names, std::string own,
                    std::map<std::string, std::string> dataCentres = {});

private:
    /// \returns true if what \p service has room for is limited or changes without notice.
    bool hasHardLoad(std::string_view service) const
    {
        return m_bounds.load.competesForRoom || m_statingPace.count(service) != 0;
    }

    routing_bounds m_bounds;
    cascade_settings m_cascade;
    random_source m_random;
    /// For budgets, separate from the source that decisions draw from.
    random_source m_roundingRandom;
    budget_borrowing m_borrowing;
    contract_ptr m_contract;
    service_directory m_directory;
    crash_watch m_crashes;
    rate_limit_watch m_rateLimits;
    leaving_watch m_leaving;
    backoff_watch m_backoffs;
    pace_watch m_pace;
    std::map<std::string, rollout_tracker, std::less<>> m_rollouts;
    std::map<std::string, send_budget, std::less<>> m_repeats;
    std::map<std::string, failure_streak, std::less<>> m_outlooks;
    std::map<std::string, recent_wait, std::less<>> m_waits;
    std::map<std::string, service_pressure, std::less<>> m_pressures;
    std::map<std::string, service_room, std::less<>> m_rooms;
    std::map<std::string, service_demand, std::less<>> m_demands;
    std::set<std::string, std::less<>> m_statingPace; ///< services whose endpoints state their pace
    std::map<std::string, prefill_rate, std::less<>> m_promptRates;
    struct sample_list
    {
        std::uint64_t revision = 0; ///< of the service directory
        std::vector<sampled_endpoint> items;
    };
    std::map<std::string, sample_list, std::less<>> m_sampled; ///< keyed by service
    std::vector<std::string> m_entries;
    std::map<std::string, std::string> m_dataCentres; ///< keyed by entry
    std::string m_own;
    double m_share = 0; ///< fraction of what all entries share
    /// Requests per second that this entry may send to an endpoint.
    struct cold_share
    {
        double ifCold = 0;
        double ifPossible = 0; ///< while it is unknown whether the endpoint is cold
    };
    /// Keyed by endpoint; valid for m_entries.
    std::map<std::string, cold_share, std::less<>> m_coldShares;
    struct limit_share
    {
        double limit = 0; ///< requests per second from all entries
        double share = 0;
        limit_check_delays check; ///< used when this entry has no share
    };
    const limit_share &limitShareAt(const service_endpoint &endpoint);
    std::map<std::string, limit_share, std::less<>> m_limitShares; ///< keyed by endpoint
    send_listener m_onSend;
    run_listener m_onRun;
};

} // namespace laurelcroft

#endif
