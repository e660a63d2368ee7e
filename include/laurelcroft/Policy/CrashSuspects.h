//===-- Policy/CrashSuspects.h - requests that crash endpoints --*- C++ -*-===//
//
// Some requests crash every endpoint that starts to run them, and callers send them again. When an
// endpoint terminates unexpectedly (an "end"), any request that it had recently started may be the
// cause. The cause is identified over several ends, and by requests that other endpoints complete.
//
// A suspect is a key: that of a whole request, or of a part of prompts that different requests
// share. Several keys may have the same ends, because all requests that crashed endpoints held all
// of them. Then only requests that hold all of them are withheld; one that holds some of them is
// sent, one at a time, and its outcome shows which of them are the cause.
//
// The cases that it must handle: crashing requests that come often, at any entry, to endpoints that
// each run many other recent requests; crashing requests that share only a part of their prompts
// with each other, and their other parts with harmless ones; endpoints that also terminate for
// other reasons while all callers send the same harmless request; and a flood of requests of which
// none is repeated.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_CRASHSUSPECTS_H
#define LAURELCROFT_POLICY_CRASHSUSPECTS_H

#include "laurelcroft/Policy/ProvenKeys.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laurelcroft {

/// Keys of prompt parts begin with these 16 bits. A request whose key happens to begin with them is
/// withheld one end later.
inline constexpr std::uint64_t partKeyMark = 0x9a27'0000'0000'0000;
inline constexpr std::uint64_t partKeyMask = 0xffff'0000'0000'0000;

/// \returns the key of a prompt part with this \p hash.
constexpr std::uint64_t partKeyFrom(std::uint64_t hash)
{
    return partKeyMark | (hash & ~partKeyMask);
}

constexpr bool isPartKey(std::uint64_t key)
{
    return (key & partKeyMask) == partKeyMark;
}

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
    std::uint64_t key = 0; ///< of the request, or of a part of its prompt
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
    /// For a prompt part: keys that all requests under which the endpoints ended held as well. A
    /// request is withheld only if it holds these, too.
    std::vector<std::uint64_t> with = {};
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
    /// Number of keys in withheld_request::with, at most. With more, the findings would apply to
    /// hardly any other request.
    static constexpr std::size_t maxKeysWith = 40;

    /// Keys of one request: its own and those of the parts of its prompt.
    using key_span = std::span<const std::uint64_t>;

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

    /// Records that an endpoint of \p version has run a request with these \p parts without
    /// crashing. Parts that are not suspected are recorded as well; see clear() for the others.
    void prove(key_span parts, std::string_view version, time_point now);

    /// \returns true if an endpoint of \p version has run \p key without crashing.
    bool isCleared(std::uint64_t key, std::string_view version, time_point now) const;

    /// \returns the level of suspicion against \p key.
    suspicion suspicionOf(std::uint64_t key, time_point now) const;

    /// \returns the highest level of suspicion against a key of a request.
    suspicion suspicionOf(key_span keys, time_point now) const;

    /// \returns those of \p keys that are under suspicion.
    std::vector<std::uint64_t> suspectedOf(key_span keys, time_point now) const;

    /// \returns true if there is a finding on \p key for endpoints of \p version.
    bool isWithheld(std::uint64_t key, std::string_view version, time_point now) const;

    /// \returns the key for which a request with \p keys must not be sent to endpoints of
    /// \p version, if there is one.
    std::optional<std::uint64_t> withholdingKey(key_span keys, std::string_view version,
                                                time_point now) const;

    /// \returns true while the finding on \p key is not yet confirmed.
    bool isUnconfirmed(std::uint64_t key, time_point now) const;

    /// \returns true while a request with \p keys is withheld by a finding that is not yet
    /// confirmed.
    bool isUnconfirmed(key_span keys, time_point now) const;

    /// \returns the time until which a request with \p keys is withheld, if it is.
    std::optional<time_point> withheldUntil(key_span keys, time_point now) const;

    /// \returns the time until which a request that has no other key than \p key is withheld.
    std::optional<time_point> withheldUntil(std::uint64_t key, time_point now) const
    {
        return withheldUntil(key_span(&key, 1), now);
    }

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
    bool isProbing(key_span keys) const;
    bool hasProbes() const { return !m_probes.empty(); }

    /// Removes expired items.
    void expire(time_point now);

    const std::map<std::uint64_t, withheld_request> &withheld() const { return m_withheld; }

    /// \returns the keys whose findings withhold more requests since the last call, because an end
    /// has shown that keys of withheld_request::with are not part of the cause.
    std::vector<std::uint64_t> takeWidened() { return std::exchange(m_widened, {}); }
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

    unsigned priorEnds(const endpoint_end &end, const recent_request &request) const;
    bool attributeEnd(const endpoint_end &end, recent_request &request);
    std::vector<std::uint64_t> attributeToStrongest(const endpoint_end &end,
                                                    std::span<recent_request> recent,
                                                    unsigned minPriorEnds);
    /// Removes the requests from \p found, and keeps prompt parts, if several requests have the
    /// same few ends.
    void keepOneRequest(std::vector<std::uint64_t> &found) const;
    void explainEarlierEnds(std::span<const std::uint64_t> keys);
    bool addEnd(const endpoint_end &end, const recent_request &request);
    bool hasEnoughEnds(std::uint64_t key, time_point now);
    void markExplained(std::uint64_t endpoint, std::span<const std::uint64_t> byKeys);
    void addUnexplained(const endpoint_end &end);
    bool isExplained(std::uint64_t endpoint) const;
    /// \returns true if a request with \p keys holds all that the finding \p request demands.
    static bool holdsAll(key_span keys, const withheld_request &request);
    /// \returns true if the finding on \p key withholds a request with \p keys from any version.
    bool isWithheldBy(std::uint64_t key, key_span keys, time_point now) const;
    /// Removes from the finding on \p key what none of the \p recent requests held.
    void widenFinding(std::uint64_t key, std::span<const recent_request> recent);

    std::map<std::uint64_t, suspect> m_suspects; ///< by key
    std::map<std::uint64_t, cleared_request> m_cleared;
    proven_keys m_proven; ///< prompt parts
    std::map<std::uint64_t, withheld_request> m_withheld;
    std::vector<std::uint64_t> m_widened;
    std::map<std::uint64_t, unsigned> m_probes; ///< number of sends in progress, by key
    std::deque<endpoint_end> m_unexplained; ///< within \c unexplainedEndsWindow
    std::deque<std::uint64_t> m_explained; ///< endpoints whose ends are attributed to a request
};

} // namespace laurelcroft

#endif
