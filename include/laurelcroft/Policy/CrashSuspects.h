//===-- Policy/CrashSuspects.h - requests that end endpoints -----*- C++ -*-===//
//
// Some requests end each endpoint that begins to run them, and come again. When an endpoint ends,
// all that it had just begun may be to blame; who is shows over several ends, and by who survives.
//
// The load that it answers: one request that comes every 0.4 s, at any entry, before endpoints that
// each have some ten other young requests; endpoints that also end by themselves, eight a second of
// 24, under a request that everybody sends; a flood of requests of which none comes twice.
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

/// How much speaks against a request.
enum class suspicion {
    none,
    weak, ///< one endpoint ended while it was young there
    strong ///< more did, one after the other: its sends are made one at a time
};

/// An endpoint that has ended without being asked to.
struct endpoint_end
{
    std::uint64_t endpoint = 0; ///< hash of its id and start
    std::string service;
    std::string version; ///< of its software
    time_point at{};
};

/// A request that an ended endpoint had just begun, or was about to.
struct recent_request
{
    std::uint64_t key = 0; ///< of its caller, path and body
    time_point sentAt{};
    time_point leftAt{}; ///< when its entry no longer waited for it, or the end
    unsigned ends = 0; ///< endpoints that have ended under it, this one included
    std::vector<std::uint64_t> earlier; ///< hashes of the others, as far as told
};

/// A request that no endpoint of some versions gets any more.
struct withheld_request
{
    std::string service;
    std::vector<std::string> versions; ///< of the service's software
    std::vector<std::uint64_t> ended; ///< hashes of the endpoints
    time_point until{};
    time_point confirmedAt{}; ///< until then it waits: what is under way elsewhere may clear it
};

/// What one entry thinks of requests. One thread.
class crash_suspects
{
public:
    /// Endpoints that end under a request, one after the other, before it is withheld. An innocent
    /// request that was young at two ended endpoints in turn is sent alone to a third.
    static constexpr unsigned endsToWithhold = 3;
    /// The same while endpoints also end for no known reason, \c minUnexplainedEnds of them or more
    /// in \c unexplainedEndsWindow: where each ends every three seconds, 3 of 1,000 requests would
    /// meet three.
    static constexpr unsigned endsToWithholdUnstable = 5;
    static constexpr std::size_t minUnexplainedEnds = 5;
    static constexpr seconds unexplainedEndsWindow{10};
    /// An end of an endpoint where a request with so many earlier ends was young is that request's.
    static constexpr unsigned minEndsToExplain = 2;
    /// A suspicion is kept this long after the last end: a caller that comes every few minutes is
    /// still known.
    static constexpr std::chrono::minutes suspicionLifetime{5};
    /// A request that an endpoint has answered is above suspicion at this version for so long.
    static constexpr std::chrono::minutes clearedFor{10};
    /// A request is withheld this long, unless an operator or a new version ends it before: each
    /// hour costs three endpoints at most.
    static constexpr std::chrono::hours withheldFor{1};
    /// A finding is firm after this: an innocent request's runs that were under way at any entry
    /// have been answered or run for long by then, and its sends have only waited. Where eight of
    /// 24 endpoints end each second under a body that all have just begun to send, it was withheld
    /// on 2 of 12 plays without it, and 960 requests were refused on each.
    static constexpr milliseconds confirmationDelay{1100};
    /// Bounds of memory, about 200 bytes each: a flood of requests that come only once.
    static constexpr std::size_t maxSuspects = 4096;
    static constexpr std::size_t maxCleared = 4096;
    static constexpr std::size_t maxWithheld = 1024;

    /// \returns true when nothing speaks against any request.
    bool isEmpty() const { return m_suspects.empty() && m_withheld.empty(); }

    /// An endpoint has ended. \param young what it had, as far as known here; sets their \c ends.
    /// \returns the keys of those that are withheld from now on.
    std::vector<std::uint64_t> ended(const endpoint_end &end, std::span<recent_request> young);

    /// Another entry's row tells that \p endpoints have ended under \p key.
    void addReportedEnds(std::uint64_t key, std::span<const std::uint64_t> endpoints,
                         time_point now);

    /// An endpoint of \p version has answered the request, or runs it for long: it is withheld
    /// there no more. \returns true when others may think otherwise and have to be told.
    bool clear(std::uint64_t key, std::string_view version, time_point now);

    /// \returns what speaks against \p key.
    suspicion suspicionOf(std::uint64_t key, time_point now) const;

    /// \returns true when endpoints of \p version must not get \p key.
    bool isWithheld(std::uint64_t key, std::string_view version, time_point now) const;

    /// \returns true while it is not yet firm that \p key is withheld.
    bool isUnconfirmed(std::uint64_t key, time_point now) const;

    /// \returns when \p key is withheld no more, if it is.
    std::optional<time_point> withheldUntil(std::uint64_t key, time_point now) const;

    /// \returns hashes of the endpoints whose ends speak against \p key.
    std::vector<std::uint64_t> endpointsOf(std::uint64_t key) const;

    /// \returns the ends that speak against \p key.
    unsigned endsOf(std::uint64_t key) const;

    /// Another entry has found that \p key has to be withheld.
    /// \returns true when that is news.
    bool withhold(std::uint64_t key, const withheld_request &request, time_point now);

    /// Nothing speaks against \p key any more.
    void release(std::uint64_t key);

    /// A suspected request is under way here, or no more.
    void probeStarted(std::uint64_t key) { ++m_probes[key]; }
    void probeFinished(std::uint64_t key);
    bool isProbing(std::uint64_t key) const { return m_probes.count(key) != 0; }
    bool hasProbes() const { return !m_probes.empty(); }

    /// Drops what is too old.
    void expire(time_point now);

    const std::map<std::uint64_t, withheld_request> &withheld() const { return m_withheld; }
    std::size_t suspects() const { return m_suspects.size(); }

private:
    /// One end that counts against a request.
    struct counted_end
    {
        std::uint64_t endpoint = 0; ///< hash
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
        std::uint64_t version = 0; ///< hash
        time_point until{};
    };

    unsigned endsBefore(const recent_request &request) const;
    bool attributeEnd(const endpoint_end &end, recent_request &request);
    std::vector<std::uint64_t> attributeToStrongest(const endpoint_end &end,
                                                    std::span<recent_request> young,
                                                    unsigned leastBefore);
    void explainEarlierEnds(std::span<const std::uint64_t> keys);
    bool isCleared(std::uint64_t key, std::string_view version, time_point now) const;
    bool count(const endpoint_end &end, const recent_request &request);
    bool hasEnoughEnds(std::uint64_t key, time_point now);
    void explain(std::uint64_t endpoint, std::span<const std::uint64_t> byKeys);
    void addUnexplained(const endpoint_end &end);
    bool isExplained(std::uint64_t endpoint) const;

    std::map<std::uint64_t, suspect> m_suspects; ///< by key
    std::map<std::uint64_t, cleared_request> m_cleared;
    std::map<std::uint64_t, withheld_request> m_withheld;
    std::map<std::uint64_t, unsigned> m_probes; ///< sends under way, by key
    std::deque<endpoint_end> m_unexplained; ///< of \c unexplainedEndsWindow
    std::deque<std::uint64_t> m_explained; ///< endpoints whose ends are some request's
};

} // namespace laurelcroft

#endif
