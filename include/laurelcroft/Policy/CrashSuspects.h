//===-- Policy/CrashSuspects.h - requests that crash endpoints --*- C++ -*-===//
//
// Some requests crash every endpoint that starts to run them, and callers send them again. When an
// endpoint terminates unexpectedly (an "end"), any request that it had recently started may be the
// cause. The cause is identified over several ends, and by requests that other endpoints complete.
//
// The cases that it must handle: crashing requests that come often, at any entry, to endpoints that
// each run many other recent requests; endpoints that also terminate for other reasons while all
// callers send the same harmless request; and a flood of requests of which none is repeated.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_CRASHSUSPECTS_H
#define LAURELCROFT_POLICY_CRASHSUSPECTS_H

#include "laurelcroft/Support/Runtime.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Level of evidence that a request crashes endpoints.
enum class suspicion {
    none,
    weak, ///< one endpoint ended shortly after it received the request
    strong ///< several did, one after the other; the request is then sent to one at a time
};

/// An unexpected termination of an endpoint.
struct endpoint_end
{
    std::uint64_t endpoint = 0; ///< hash of its id and start time
    std::string service;
    std::string version; ///< of the endpoint's software
    time_point at{};
};

/// A request that had recently started at an endpoint that ended, or was about to start.
struct recent_request
{
    std::uint64_t key = 0; ///< hash of its caller, path and body
    time_point sentAt{};
    time_point leftAt{}; ///< when its entry stopped waiting for it, or the end
    unsigned ends = 0; ///< number of endpoints that ended while they had it, including this one
    std::vector<std::uint64_t> earlier; ///< hashes of the other endpoints, as far as reported
};

/// A request that is no longer sent to endpoints of certain versions.
struct withheld_request
{
    std::string service;
    std::vector<std::string> versions; ///< of the service's software
    std::vector<std::uint64_t> ended; ///< hashes of the endpoints that it ended
    time_point until{};
    time_point confirmedAt{}; ///< until then sends wait; it may still be cleared
};

/// The suspected and withheld requests as known to one entry. Not thread-safe.
class crash_suspects
{
public:
    /// Number of consecutive ends after which a request is withheld. A harmless request that two
    /// ended endpoints had recently started is sent alone to a third.
    static constexpr unsigned endsToWithhold = 3;
    /// The same while endpoints also terminate for unknown reasons: \c minUnexplainedEnds or more
    /// times within \c unexplainedEndsWindow: harmless requests then meet three ends by chance.
    static constexpr unsigned endsToWithholdUnstable = 5;
    static constexpr std::size_t minUnexplainedEnds = 5;
    static constexpr seconds unexplainedEndsWindow{10};
    /// Number of earlier ends from which a request explains the next end of an endpoint that had
    /// recently started it: that end is attributed to it alone.
    static constexpr unsigned minEndsToExplain = 2;
    /// How long a suspicion is kept after the last end; long enough to recognise a caller that
    /// repeats the request every few minutes.
    static constexpr std::chrono::minutes suspicionLifetime{5};
    /// How long a request that an endpoint has completed is not suspected for that version.
    static constexpr std::chrono::minutes clearedFor{10};
    /// How long a request is withheld unless an operator or a new version ends it earlier. Once it
    /// expires, the request can end at most three endpoints: at most three per hour.
    static constexpr std::chrono::hours withheldFor{1};
    /// Delay after which a finding is confirmed. By then, any runs of a harmless request that were
    /// in progress at any entry have been completed or have lasted long enough to clear it; its
    /// sends have only been delayed. Without the delay, a harmless request that all callers have
    /// just begun to send is withheld while endpoints also terminate for other reasons.
    static constexpr milliseconds confirmationDelay{1100};
    /// Memory bounds, at about 200 bytes per entry, against a flood of requests that are sent only
    /// once.
    static constexpr std::size_t maxSuspects = 4096;
    static constexpr std::size_t maxCleared = 4096;
    static constexpr std::size_t maxWithheld = 1024;

    /// \returns true if no request is suspected or withheld.
    bool isEmpty() const { return m_suspects.empty() && m_withheld.empty(); }

    /// Records the end of an endpoint.
    /// \param recent its recent requests, as far as this entry knows them; sets their \c ends.
    /// \returns the keys of the requests that are withheld from now on.
    std::vector<std::uint64_t> recordEnd(const endpoint_end &end, std::span<recent_request> recent);

    /// Records that, according to another entry's row, \p endpoints have ended under \p key.
    void addReportedEnds(std::uint64_t key, std::span<const std::uint64_t> endpoints,
                         time_point now);

    /// Records that an endpoint of \p version has completed the request or has run it for a long
    /// time, so it is no longer withheld from that version.
    /// \returns true if other entries may still suspect or withhold it and must be notified.
    bool clear(std::uint64_t key, std::string_view version, time_point now);

    /// \returns the level of suspicion against \p key.
    suspicion suspicionOf(std::uint64_t key, time_point now) const;

    /// \returns true if \p key must not be sent to endpoints of \p version.
    bool isWithheld(std::uint64_t key, std::string_view version, time_point now) const;

    /// \returns true while \p key is withheld but the finding is not yet confirmed.
    bool isUnconfirmed(std::uint64_t key, time_point now) const;

    /// \returns the time until which \p key is withheld, if it is.
    std::optional<time_point> withheldUntil(std::uint64_t key, time_point now) const;

    /// \returns hashes of the endpoints whose ends count against \p key.
    std::vector<std::uint64_t> endpointsOf(std::uint64_t key) const;

    /// \returns the number of ends that count against \p key.
    unsigned endsOf(std::uint64_t key) const;

    /// Records another entry's finding that \p key must be withheld.
    /// \returns true if it changes what this entry knows.
    bool withhold(std::uint64_t key, const withheld_request &request, time_point now);

    /// Removes all findings and suspicions against \p key.
    void release(std::uint64_t key);

    /// Tracks the sends of a suspected request that are in progress at this entry.
    void probeStarted(std::uint64_t key) { ++m_probes[key]; }
    void probeFinished(std::uint64_t key);
    bool isProbing(std::uint64_t key) const { return m_probes.count(key) != 0; }
    bool hasProbes() const { return !m_probes.empty(); }

    /// Removes expired items.
    void expire(time_point now);

    const std::map<std::uint64_t, withheld_request> &withheld() const { return m_withheld; }
    std::size_t suspectCount() const { return m_suspects.size(); }

private:
    /// An end that counts against a request.
    struct counted_end
    {
        std::uint64_t endpoint = 0; ///< hash of its id and start time
        time_point sentAt{};
        time_point leftAt{};
    };
    struct suspect
    {
        std::vector<counted_end> ends;
        time_point lastAt{};

        std::vector<std::uint64_t> endpoints() const;
    };
    struct cleared_request
    {
        std::uint64_t version = 0; ///< hash of the version
        time_point until{};
    };

    unsigned priorEnds(const recent_request &request) const;
    bool attributeEnd(const endpoint_end &end, recent_request &request);
    std::vector<std::uint64_t> attributeToStrongest(const endpoint_end &end,
                                                    std::span<recent_request> recent,
                                                    unsigned minPriorEnds);
    void explainEarlierEnds(std::span<const std::uint64_t> keys);
    bool isCleared(std::uint64_t key, std::string_view version, time_point now) const;
    bool addEnd(const endpoint_end &end, const recent_request &request);
    bool hasEnoughEnds(std::uint64_t key, time_point now);
    void markExplained(std::uint64_t endpoint, std::span<const std::uint64_t> byKeys);
    void addUnexplained(const endpoint_end &end);
    bool isExplained(std::uint64_t endpoint) const;

    std::map<std::uint64_t, suspect> m_suspects; ///< by key
    std::map<std::uint64_t, cleared_request> m_cleared;
    std::map<std::uint64_t, withheld_request> m_withheld;
    std::map<std::uint64_t, unsigned> m_probes; ///< number of sends in progress, by key
    std::deque<endpoint_end> m_unexplained; ///< within \c unexplainedEndsWindow
    std::deque<std::uint64_t> m_explained; ///< endpoints whose ends are attributed to a request
};

} // namespace laurelcroft

#endif
