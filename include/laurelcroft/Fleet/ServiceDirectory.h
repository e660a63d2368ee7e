//===-- Fleet/ServiceDirectory.h - endpoints without an agent ----*- C++ -*-===//
//
// The endpoints of plain and model services as listed in the store, with the state
// that this process infers for each. Not thread-safe: use it on one thread.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_SERVICEDIRECTORY_H
#define LAURELCROFT_FLEET_SERVICEDIRECTORY_H

#include "laurelcroft/Fleet/EndpointPace.h"
#include "laurelcroft/Fleet/PrefixCacheEstimate.h"
#include "laurelcroft/Support/Runtime.h"
#include "laurelcroft/Support/StoreVersion.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laurelcroft {

/// An endpoint's record in the store. An endpoint may restart under the same id; the start time
/// distinguishes its incarnations.
struct endpoint_record
{
    std::string id;
    std::string service;
    std::string host; ///< IP address
    std::uint16_t port = 0;
    std::string dataCentre;
    std::string softwareVersion;
    unsigned slots = 1; ///< requests that run concurrently
    bool leaving = false;
    milliseconds coldLeft{0}; ///< warm-up time left when the row was written
    std::uint64_t startedAt = 0; ///< start time in Unix milliseconds; 0 if not stated
    store_version rowVersion{}; ///< rises with each change; unknownVersion if unknown

    /// Compares all fields but \c rowVersion and \c coldLeft, which change with every heartbeat.
    bool isEquivalentTo(const endpoint_record &other) const;

    /// \returns true when both start times are known and this one is later.
    bool isLaterIncarnationThan(const endpoint_record &other) const;
};

/// The load that an endpoint reported with an answer.
struct endpoint_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// How long work takes there at this moment, relative to its usual time: 2 means twice as long.
    /// Empty if the endpoint does not state it.
    std::optional<double> slowdown = std::nullopt;
};

/// What is known of an endpoint's warm-up.
enum class cold_state {
    warm,
    possible, ///< it may have become cold, since its record in the store is not known
    cold, ///< by its record, or its data centre was taken back later than the known records
};

/// One endpoint with the state that this process infers for it.
class service_endpoint
{
public:
    explicit service_endpoint(endpoint_record record);

    const endpoint_record &record() const { return m_record; }

    /// Hash of the id, equal on all entries.
    std::uint64_t idHash() const { return m_idHash; }
    void update(endpoint_record record) { m_record = std::move(record); }

    /// Requests of this process that are in progress at the endpoint.
    unsigned running() const { return m_running; }
    void requestStarted() { ++m_running; }
    void requestEnded() { --m_running; }

    /// Sets the warm-up time left, during which the endpoint can take only few requests; 0 if it is
    /// warm.
    void setColdFor(milliseconds left, time_point now) { m_coldUntil = now + left; }
    time_point coldUntil() const { return m_coldUntil; }
    bool isCold(time_point now) const { return now < m_coldUntil; }

    /// \returns true when its row or one of its answers has stated that it is leaving. A later row
    /// doesn't clear what an answer stated; a restart does.
    bool isLeaving() const { return m_record.leaving || m_statedLeaving; }
    void setStatedLeaving() { m_statedLeaving = true; }

    /// Sets the rate limit stated in its latest answer, in requests per second summed over all
    /// entries; empty when it states no limit.
    void setRateLimit(std::optional<double> perSecond, time_point now);
    std::optional<double> rateLimit() const { return m_rateLimit; }
    time_point rateLimitReportedAt() const { return m_rateLimitReportedAt; }

    /// Records that this process sent it a request.
    void recordSend(time_point now);

    /// \returns when this process last sent it a request; the clock's epoch if it never did.
    time_point lastSentAt() const { return m_sent.empty() ? time_point() : m_sent.back(); }

    /// \returns the earliest time at which one more request stays within \p perSecond, which must
    /// be positive: at most ceil(perSecond) requests in any ceil(perSecond) / perSecond seconds.
    time_point nextSendAllowedAt(double perSecond) const;

    /// \returns true when one more request now stays within \p perSecond.
    bool hasRoomFor(double perSecond, time_point now) const
    {
        return perSecond > 0 && now >= nextSendAllowedAt(perSecond);
    }

    /// Estimated prefill time of this process's prompts that are still in prefill.
    double prefillMs() const { return m_prefillMs; }
    void addPrefill(double ms) { m_prefillMs += ms; }
    void removePrefill(double ms) { m_prefillMs -= ms; }

    /// Records that another entry sent it a prompt with an estimated prefill time of \p prefill.
    void addRemotePrefill(milliseconds prefill, time_point now);

    /// \returns the estimated prefill time left for prompts that other entries reported sending.
    double remotePrefillMs(time_point now) const;

    /// Estimate of the prompt prefixes that the endpoint has cached.
    prefix_cache_estimate &prefixCache() { return m_prefixCache; }
    const prefix_cache_estimate &prefixCache() const { return m_prefixCache; }

    /// How long work takes at the endpoint, relative to its usual time.
    endpoint_pace &pace() { return m_pace; }
    const endpoint_pace &pace() const { return m_pace; }

    /// \returns the estimated number of requests that wait at the endpoint, of all callers.
    double expectedQueue(time_point now) const;

    /// Records that a part of an answer arrived, which shows that the endpoint works.
    void recordProgress(time_point now) { m_progressedAt = now; }
    time_point progressedAt() const { return m_progressedAt; }

    /// Records a load report that came with an answer.
    void recordLoadReport(const endpoint_load &load, time_point now);

    /// \returns the estimated number of running and waiting requests of all callers.
    double expectedLoad(time_point now) const;

    /// \returns how much the last load report still counts, from 1 when it is new to 0.
    double reportWeight(time_point now) const;

    /// Records that a request was answered.
    void recordSuccess(time_point now);

    /// Records a failure that is the endpoint's fault.
    void recordFailure(time_point now);

    /// Records that it could not be reached. It is avoided for a time that doubles with each such
    /// failure in a row, up to a limit.
    void recordUnreachable(time_point now);

    /// Records that it refused a request because it is full. It is avoided briefly.
    void recordFull(time_point now);

    /// Records that it refuses requests of another entry for \p time: until then it gets requests
    /// only if there is no other endpoint.
    void recordRefusalElsewhere(duration time, time_point now)
    {
        m_avoidedUntil = std::max(m_avoidedUntil, now + time);
        m_isRecoveryUnconfirmed = true;
    }

    /// Starts a backoff of \p time, or extends the current one; never shortens it.
    void startBackoff(duration time, time_point now)
    {
        m_backoffUntil = std::max(m_backoffUntil, now + time);
        m_isRecoveryUnconfirmed = true;
    }
    void acceptedRequest() { m_isRecoveryUnconfirmed = false; }

    /// \returns true when it has accepted no request since its last backoff started, or since it
    /// was last known to refuse requests of another entry.
    bool isRecoveryUnconfirmed() const { return m_isRecoveryUnconfirmed; }
    time_point backoffUntil() const { return m_backoffUntil; }
    bool isInBackoff(time_point now) const { return now < m_backoffUntil; }

    /// \returns the recent failure rate, from 0 to 1; 0 when nothing is known.
    double failureRate(time_point now) const;

    /// \returns true while it should get requests only if there is no other endpoint.
    bool isAvoided(time_point now) const { return now < m_avoidedUntil; }

    /// \returns true once it was dropped from the directory. It must get no new requests then.
    bool isRemoved() const { return m_isRemoved; }
    void setRemoved() { m_isRemoved = true; }

private:
    void decay(time_point now);

    endpoint_record m_record;
    std::uint64_t m_idHash;
    unsigned m_running = 0;
    time_point m_coldUntil{};
    bool m_statedLeaving = false; ///< stated by an answer, not by the row
    std::optional<double> m_rateLimit; ///< requests per second
    time_point m_rateLimitReportedAt{};
    std::deque<time_point> m_sent; ///< send times in the longest rate window, and the latest one
    double m_prefillMs = 0;
    time_point m_remotePrefillUntil{}; ///< end of prefill, one prompt after the other
    prefix_cache_estimate m_prefixCache;
    time_point m_progressedAt{};
    double m_otherCallersLoad = 0; ///< requests of other callers at the last load report
    double m_reportedQueue = 0; ///< waiting requests at the last load report
    endpoint_pace m_pace;
    time_point m_reportedAt{};
    double m_successWeight = 0;
    double m_failureWeight = 0;
    time_point m_decayedAt{};
    time_point m_avoidedUntil{};
    bool m_isRecoveryUnconfirmed = false;
    time_point m_backoffUntil{};
    unsigned m_consecutiveUnreachable = 0;
    bool m_isRemoved = false;
};

using endpoint_ptr = std::shared_ptr<service_endpoint>;

/// All listed endpoints of all services.
class service_directory
{
public:
    /// Adds or updates an endpoint. Of two endpoints at one address, the one with the newer row is
    /// kept: an endpoint that crashed and restarted may come back under a new id while its earlier
    /// id stays listed for seconds. When it restarts under the same id, the state inferred for it
    /// is reset and records of the earlier incarnation are ignored.
    /// \param claimsAddress is false for a service that the contract does not name, so that such a
    /// record can't displace another endpoint at its address.
    void apply(endpoint_record record, time_point now, bool claimsAddress = true);

    /// Records that an answer of endpoint \p id, which started at \p startedAt, states that it is
    /// leaving, so that it gets no new requests. Its record is left unchanged, since other entries
    /// are sent records as they are in the store.
    /// \returns false when it is not listed, has another start time, or is already known to be
    /// leaving.
    bool setLeaving(std::string_view id, std::uint64_t startedAt);

    /// Handles the removal of an endpoint's record from the store. Until \c lapseGrace after a
    /// store outage the endpoint is kept, since its record may have expired although it is alive.
    /// \param version of the removal; one below the record's is outdated and ignored.
    /// \returns false when the endpoint is kept.
    bool remove(std::string_view id, time_point now, store_version version = {});

    /// \returns true while \p id is kept although its record was removed.
    bool isLapsed(std::string_view id) const { return m_lapsed.count(id) != 0; }

    /// Applies a full list of records and removes the endpoints that are not in it.
    void replaceAll(std::vector<endpoint_record> records, time_point now);

    /// Handles that this process can't read the store.
    void storeLost(time_point now);

    /// Handles that this process can read the store again.
    void storeRegained(time_point now);

    /// Handles that the entries from which this one reads rows have lost the store. It is unknown
    /// whether all entries lost it, so endpoints whose records are removed meanwhile are kept only
    /// until \p until.
    void deferRemovalsUntil(time_point until);

    /// Handles that the store came back from a copy; \p version is that of the first table read
    /// from it. Records up to this version may be older than what is known here: an endpoint whose
    /// record had been removed is not used again until its record changes, or is still listed after
    /// \c copyDoubtTime, and a cold endpoint stays cold.
    void storeReturned(store_version version, time_point now);

    /// Drops the endpoints whose grace period has ended, and takes over doubted records.
    void expire(time_point now);

    /// Sets the data centres whose endpoints must get no requests. Endpoints in a data centre that
    /// is taken back may have become cold. They count as cold until their rows say otherwise, or
    /// for \c assumedColdTime; and while the known records are older than \p version, for up to \c
    /// maxAssumedColdTime.
    /// \param version of the store at which \p dataCentres were read.
    void setEvacuated(std::set<std::string> dataCentres, time_point now,
                      store_version version = {});

    /// Notes that all records of the store at \p version are known, and that they count as current
    /// until \p currentUntil. An endpoint may become cold at any moment, and only its record shows
    /// it.
    void setRecordsCurrent(store_version version, time_point currentUntil);

    /// \returns false when endpoints may have become cold unnoticed.
    bool areRecordsCurrent(time_point now) const { return now <= m_recordsCurrentUntil; }

    /// \returns what is known of the warm-up of \p endpoint, which must be listed.
    cold_state coldStateOf(const service_endpoint &endpoint, time_point now) const;

    const std::set<std::string> &evacuated() const { return m_evacuated; }

    /// \returns the endpoints of \p service that may get new requests. Cached; valid until the list
    /// changes.
    const std::vector<endpoint_ptr> &usable(std::string_view service) const;

    /// \returns the software version that all usable endpoints of \p service share; null when they
    /// differ or there are none. Valid until the list changes.
    const std::string *commonVersion(std::string_view service) const;

    /// \returns a number that changes whenever the result of usable() changes.
    std::uint64_t revision() const { return m_revision; }

    /// \returns true when \p service has listed endpoints that are not leaving, but none is usable,
    /// as when their data centres are evacuated.
    bool isEvacuated(std::string_view service) const;

    /// \returns all listed endpoints, by id.
    const std::map<std::string, endpoint_ptr, std::less<>> &all() const { return m_endpoints; }

    /// How long a record may be missing after the store returns. By the users' requirements, a live
    /// endpoint is listed again within about two seconds.
    static constexpr milliseconds lapseGrace{2200};

    /// Time within which an endpoint's row reaches every entry: one read of the store by a reader
    /// entry, and one read from that entry.
    static constexpr milliseconds assumedColdTime{1500};

    /// The same while the store can't be read: longer than endpoints stay cold.
    static constexpr milliseconds maxAssumedColdTime{10'000};

    /// How long the record of a removed endpoint is doubted when the store comes back from a copy
    /// that still has it: longer than the store keeps the record of an endpoint that is silent.
    static constexpr milliseconds copyDoubtTime{10'000};

    /// Limit on remembered endpoints that have left; covers weeks of replacements.
    static constexpr std::size_t maxDeparted = 4096;

private:
    using address = std::pair<std::string, std::uint16_t>;
    void invalidateUsable();
    void drop(std::string_view id);
    /// Registers \p record at its address and drops an endpoint with an older row there.
    /// \returns false when the endpoint registered there has a newer row.
    bool claimAddress(const endpoint_record &record);
    /// \returns true when \p record belongs to an incarnation that has left.
    bool hasDeparted(const endpoint_record &record) const;
    /// \returns true when \p record may come from the copy from which the store came back.
    bool mayBeFromCopy(const endpoint_record &record, time_point now) const;
    /// Keeps \p record for later when its endpoint was removed before the store came back.
    /// \returns true when it is kept for later.
    bool isDoubted(const endpoint_record &record, time_point now);
    void add(endpoint_record &&record, time_point now);

    std::map<std::string, endpoint_ptr, std::less<>> m_endpoints;
    std::map<address, std::string> m_idByAddress; ///< id of the endpoint with the newest row
    struct usable_list
    {
        std::vector<endpoint_ptr> endpoints;
        const std::string *commonVersion = nullptr;
    };
    const usable_list &usableListOf(std::string_view service) const;
    /// \returns true when most records state a start time. On such a platform all of its endpoints
    /// state one, so a record without it was written by something else.
    bool mostReportStartTime() const;
    mutable std::map<std::string, usable_list, std::less<>> m_usable; ///< by service
    std::uint64_t m_revision = 0;
    std::map<std::string, time_point, std::less<>> m_lapsed; ///< end of the grace period, by id
    /// Start times of endpoints that were dropped while leaving, by id.
    std::map<std::string, std::uint64_t, std::less<>> m_departed;
    std::set<std::string> m_evacuated; ///< data centres
    /// A data centre that was taken back.
    struct taken_back
    {
        store_version version{}; ///< of the store, which no longer had the evacuation
        time_point until{}; ///< its endpoints count as cold no longer than this
    };
    std::map<std::string, taken_back, std::less<>> m_takenBack; ///< by data centre
    store_version m_recordsVersion; ///< of the store; all its records are known
    store_version m_returnVersion; ///< of the first table since the store came back from a copy
    time_point m_copyDoubtedUntil{};
    /// Eras in which endpoints that were not leaving were removed, by id.
    std::map<std::string, std::uint64_t, std::less<>> m_removedIn;
    std::map<std::string, endpoint_record, std::less<>> m_doubted; ///< by id
    time_point m_recordsCurrentUntil = time_point::max();
    bool m_isStoreUnavailable = false;
    time_point m_removalsTrustedFrom{};
};

} // namespace laurelcroft

#endif
