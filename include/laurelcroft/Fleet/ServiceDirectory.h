//===-- Fleet/ServiceDirectory.h - endpoints without an agent ----*- C++ -*-===//
//
// The endpoints of plain and model services as a store lists them, with what this
// process believes of each from its own requests. Used on one thread.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_SERVICEDIRECTORY_H
#define LAURELCROFT_FLEET_SERVICEDIRECTORY_H

#include "laurelcroft/Fleet/PrefixCacheEstimate.h"
#include "laurelcroft/Support/Runtime.h"

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

/// What an endpoint says of itself. It may start again under the id that it had: the moment of its
/// start tells its incarnations apart.
struct endpoint_record
{
    std::string id;
    std::string service;
    std::string host; ///< IP number
    std::uint16_t port = 0;
    std::string dataCentre;
    std::string softwareVersion;
    unsigned slots = 1; ///< requests that run at once
    bool leaving = false;
    milliseconds coldLeft{0}; ///< how much longer it bears few requests, when the row was written
    std::uint64_t startedAt = 0; ///< Unix milliseconds of its start; 0: not told
    std::uint64_t rowVersion = 0; ///< version of the row; rises with each heartbeat. 0: not known

    /// \returns true when both say the same; heartbeats alone make no difference, nor do times
    /// that run off.
    bool isEquivalentTo(const endpoint_record &other) const;

    /// \returns true when this is of a later incarnation than \p other.
    bool isLaterIncarnationThan(const endpoint_record &other) const;
};

/// Running and waiting requests as an endpoint reported them.
struct endpoint_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/// One endpoint and the beliefs about it.
class service_endpoint
{
public:
    explicit service_endpoint(endpoint_record record);

    const endpoint_record &record() const { return m_record; }

    /// Hash of its id, the same at all entries.
    std::uint64_t idHash() const { return m_idHash; }
    void update(endpoint_record record) { m_record = std::move(record); }

    /// Requests of this process that it works on.
    unsigned running() const { return m_running; }
    void requestStarted() { ++m_running; }
    void requestEnded() { --m_running; }

    /// It says how much longer it bears few requests; 0: it bears all.
    void setColdFor(milliseconds left, time_point now) { m_coldUntil = now + left; }
    time_point coldUntil() const { return m_coldUntil; }
    bool isCold(time_point now) const { return now < m_coldUntil; }

    /// \returns true when its row or one of its answers has stated that it is leaving. A later row
    /// doesn't clear the statement of an answer; a new start does.
    bool isLeaving() const { return m_record.leaving || m_statedLeaving; }
    void setStatedLeaving() { m_statedLeaving = true; }

    /// Sets the rate limit stated in its latest answer, in requests per second summed over all
    /// entries; empty when it states no limit.
    void setRateLimit(std::optional<double> perSecond, time_point now);
    std::optional<double> rateLimit() const { return m_rateLimit; }
    time_point rateLimitReportedAt() const { return m_rateLimitReportedAt; }

    /// This process sent it a request.
    void recordSend(time_point now);

    /// \returns when this process last sent it a request; the clock's epoch if it never did.
    time_point lastSentAt() const { return m_sent.empty() ? time_point() : m_sent.back(); }

    /// \returns the earliest time at which one more request keeps to \p perSecond, which must be
    /// positive: at most ceil(perSecond) requests in any ceil(perSecond) / perSecond seconds.
    time_point nextSendAllowedAt(double perSecond) const;

    /// \returns true when one more request keeps to \p perSecond.
    bool hasRoomFor(double perSecond, time_point now) const
    {
        return perSecond > 0 && now >= nextSendAllowedAt(perSecond);
    }

    /// Prompts of this process that it still reads, as time that this is thought to take.
    double prefillMs() const { return m_prefillMs; }
    void addPrefill(double ms) { m_prefillMs += ms; }
    void removePrefill(double ms) { m_prefillMs -= ms; }

    /// Another entry sent it a prompt that takes \p reading.
    void addRemotePrefill(milliseconds reading, time_point now);

    /// \returns how much longer it reads prompts of other entries, as far as they have told.
    double remotePrefillMs(time_point now) const;

    /// Prefixes that it is thought to keep.
    prefix_cache_estimate &prefixCache() { return m_prefixCache; }
    const prefix_cache_estimate &prefixCache() const { return m_prefixCache; }

    /// A part of any answer came, which shows that it works.
    void recordProgress(time_point now) { m_progressedAt = now; }
    time_point progressedAt() const { return m_progressedAt; }

    /// Takes a load report that came with an answer.
    void recordLoadReport(const endpoint_load &load, time_point now);

    /// \returns running and waiting requests of all callers, as far as known.
    double expectedLoad(time_point now) const;

    /// A request was answered, or failed in a way that is the endpoint's fault.
    void recordSuccess(time_point now);
    void recordFailure(time_point now);

    /// It could not be reached at all, or refused as full.
    void recordUnreachable(time_point now);
    void recordFull(time_point now);

    /// Starts a backoff of \p time, or extends the current one; never shortens it.
    void startBackoff(duration time, time_point now)
    {
        m_backoffUntil = std::max(m_backoffUntil, now + time);
        m_isRecoveryUnconfirmed = true;
    }
    void acceptedRequest() { m_isRecoveryUnconfirmed = false; }

    /// \returns true when it has accepted no request since its last backoff started.
    bool isRecoveryUnconfirmed() const { return m_isRecoveryUnconfirmed; }
    time_point backoffUntil() const { return m_backoffUntil; }
    bool isInBackoff(time_point now) const { return now < m_backoffUntil; }

    /// \returns the recent share of failures, 0 when nothing is known.
    double failureRate(time_point now) const;

    /// \returns true while no request should go there unless there is no other.
    bool isAvoided(time_point now) const { return now < m_avoidedUntil; }

    /// It may get no new request at all.
    bool isRemoved() const { return m_isRemoved; }
    void setRemoved() { m_isRemoved = true; }

private:
    void decay(time_point now);

    endpoint_record m_record;
    std::uint64_t m_idHash;
    unsigned m_running = 0;
    time_point m_coldUntil{};
    bool m_statedLeaving = false; ///< by an answer, not by its row
    std::optional<double> m_rateLimit; ///< requests per second
    time_point m_rateLimitReportedAt{};
    std::deque<time_point> m_sent; ///< within the longest rate window, and the last one
    double m_prefillMs = 0;
    time_point m_remotePrefillUntil{}; ///< prompts of other entries, one after the other
    prefix_cache_estimate m_prefixCache;
    time_point m_progressedAt{};
    double m_otherCallersLoad = 0; ///< requests of other callers at the last report
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

/// All endpoints, by service.
class service_directory
{
public:
    /// Takes an endpoint's record, new or changed. Of two at one address the one that was heard of
    /// last lives: an endpoint that crashed and started again may come back under a new id, and its
    /// earlier id stays listed for seconds. Where it comes back under its id, nothing that was
    /// believed of it holds, and what its earlier start still says counts no more.
    /// \param takesAddress false for a service that nobody asks for: whoever wrote the record
    /// doesn't end another one at its address.
    void apply(endpoint_record record, time_point now, bool takesAddress = true);

    /// Records that an answer of endpoint \p id, which started at \p startedAt, states that it is
    /// leaving, so that it gets no new requests. Its record is left unchanged, since other entries
    /// are sent records as they are in the store.
    /// \returns false when it is not listed, has another start, or is already known to be leaving.
    bool setLeaving(std::string_view id, std::uint64_t startedAt);

    /// The store says that an endpoint's record was removed. Just after the store was away the
    /// endpoint is kept for \c lapseGrace, since its record may have lapsed although it lives.
    /// \param version of the removal; one before the record's is late and says nothing. 0: unknown.
    /// \returns false when it is kept.
    bool remove(std::string_view id, time_point now, std::uint64_t version = 0);

    /// \returns true while \p id is kept although its record was removed.
    bool isLapsed(std::string_view id) const { return m_lapsed.count(id) != 0; }

    /// Takes a whole list; endpoints that are not in it are removed.
    void replaceAll(std::vector<endpoint_record> records, time_point now);

    /// The store could not be read by this process, or can be read again.
    void storeLost(time_point now);
    void storeRegained(time_point now);

    /// The entries that this one reads from have lost the store; whether it was away for all is not
    /// known. Endpoints whose records were removed meanwhile are kept until \p until at most.
    void deferRemovalsUntil(time_point until);

    /// Drops the endpoints whose grace has passed.
    void expire(time_point now);

    /// Data centres whose endpoints must get nothing, until the next call. Those that are taken
    /// back may have turned cold: they count as cold until their rows say otherwise, or for
    /// \c assumedColdTime.
    void setEvacuated(std::set<std::string> dataCentres, time_point now);
    const std::set<std::string> &evacuated() const { return m_evacuated; }

    /// \returns the endpoints of \p service that may get new requests. Worked out when the list has
    /// changed; valid until it changes again.
    const std::vector<endpoint_ptr> &usable(std::string_view service) const;

    /// \returns the software version that all usable endpoints of \p service have; null when there
    /// are several, or no endpoints. Valid until the list changes.
    const std::string *commonVersion(std::string_view service) const;

    /// \returns a number that is another one after each change of what usable() returns.
    std::uint64_t revision() const { return m_revision; }

    /// \returns true when \p service would have endpoints but for the evacuated data centres.
    bool isEvacuated(std::string_view service) const;

    /// \returns all endpoints that are listed.
    const std::map<std::string, endpoint_ptr, std::less<>> &all() const { return m_endpoints; }

    /// How long a record may be missing after the store's return. The users' letter: an
    /// endpoint that lives is listed again within about two seconds.
    static constexpr milliseconds lapseGrace{2200};

    /// An endpoint's row reaches every entry within this: a read of a reader and one of its own.
    static constexpr milliseconds assumedColdTime{1500};

    /// Endpoints that have left are remembered, so many at most: weeks of replacements.
    static constexpr std::size_t maxDeparted = 4096;

private:
    using address = std::pair<std::string, std::uint16_t>;
    void invalidateUsable();
    void drop(std::string_view id);
    /// \returns false when a later one than \p record lives at its address; drops an earlier one.
    bool claimAddress(const endpoint_record &record);
    /// \returns true when \p record is of an incarnation that has left.
    bool hasDeparted(const endpoint_record &record) const;
    void add(endpoint_record &&record, time_point now);

    std::map<std::string, endpoint_ptr, std::less<>> m_endpoints;
    std::map<address, std::string> m_idByAddress; ///< id of the endpoint that was heard of last
    struct usable_list
    {
        std::vector<endpoint_ptr> endpoints;
        const std::string *commonVersion = nullptr;
    };
    const usable_list &usableListOf(std::string_view service) const;
    /// \returns true when most records tell the endpoint's start. A platform whose endpoints do so
    /// has it in all their records; one without it is somebody else's.
    bool mostReportStartTime() const;
    mutable std::map<std::string, usable_list, std::less<>> m_usable; ///< by service
    std::uint64_t m_revision = 0;
    std::map<std::string, time_point, std::less<>> m_lapsed; ///< kept until, by id
    /// Had begun to leave and are gone, with the moments of their starts.
    std::map<std::string, std::uint64_t, std::less<>> m_departed;
    std::set<std::string> m_evacuated; ///< data centres
    bool m_isStoreUnavailable = false;
    time_point m_removalsTrustedFrom{};
};

} // namespace laurelcroft

#endif
