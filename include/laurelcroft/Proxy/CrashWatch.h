//===-- Proxy/CrashWatch.h - crash attribution to requests -------*- C++ -*-===//
//
// Attributes endpoint crashes to the requests that ran there, and exchanges the findings with other
// entries. Not thread-safe.
//
// A finding is both sent as a datagram, which entries forward if it is new to them, and written as
// a row. Rows alone reach the other entries only after 0.04 to 1 s, and not at all while the store
// is unavailable. Datagrams alone never reach entries that start later.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_CRASHWATCH_H
#define LAURELCROFT_PROXY_CRASHWATCH_H

#include "laurelcroft/Policy/CrashSuspects.h"
#include "laurelcroft/Proxy/CrashNotices.h"
#include "laurelcroft/Proxy/EndpointRuns.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace laurelcroft {

/// Functions that send notices to the other entries. Each may be empty.
struct crash_notice_senders
{
    std::function<void(const crash_notice &notice)> sendCrashNotice;
    std::function<void(const withheld_notice &notice)> sendWithheldNotice;
    std::function<void(const cleared_notice &notice)> sendClearedNotice;
};

/// A finding that has to be written to the store.
struct unwritten_finding
{
    request_key key = 0;
    withheld_row row; ///< without its expiry time
    milliseconds remaining{0}; ///< time until it expires
};

/// Tracks crashed endpoints and the requests that are suspected of crashing them, for one entry.
class crash_watch
{
public:
    /// Maximum number of findings that wait to be written.
    static constexpr std::size_t maxUnwritten = 64;
    /// Maximum number of requests that wait in clearLater(); further ones stay uncleared.
    static constexpr std::size_t maxPending = 1024;

    void setSenders(crash_notice_senders links) { m_senders = std::move(links); }

    endpoint_runs &runs() { return m_runs; }
    crash_suspects &suspects() { return m_suspects; }

    /// Records that the process of \p endpoint has exited.
    /// \param at when the exit was first noticed.
    void endpointEnded(const service_endpoint &endpoint, time_point at);

    /// Applies a notice from another entry. Forwards it as far as it is new here.
    void applyNotice(const crash_notice &notice, time_point now);
    void applyNotice(const withheld_notice &notice, time_point now);
    void applyNotice(const cleared_notice &notice, time_point now);

    /// Clears a request or a prompt part for \p version: an endpoint has answered it, or has run it
    /// for at least \c endpoint_runs::clearedAfter.
    void clear(request_key key, const std::string &version, time_point now);

    /// Records that an endpoint of \p version has run a request with these prompt \p parts without
    /// crashing, and clears those that are suspected.
    void proveParts(std::span<const request_key> parts, const std::string &version, time_point now);

    /// Clears the request of \p run and its prompt parts at \p endpoint's version, unless the
    /// endpoint is found to have exited by endpoint_runs::suspectAfterCancel from \p now. Only the
    /// end of the connection shows that its answer is complete, and a crash ends it as well.
    void clearLater(std::shared_ptr<endpoint_run> run, const service_endpoint &endpoint,
                    time_point now);

    /// Clears what clearLater() has put off until \p now.
    void clearPending(time_point now);

    /// Applies a row from the store.
    /// \param until when the row expires.
    void applyRow(request_key key, const withheld_row &row, time_point until, time_point now);

    /// Releases request \p key because its row was removed by an operator or has expired.
    void removeRow(request_key key);

    /// Releases all requests whose rows are not in \p listed. Called after a full table read.
    void removeUnlistedRows(const std::vector<request_key> &listed);

    /// \returns the oldest unwritten finding, or nothing while it may still be cleared. The finding
    /// is either a withheld or a strongly suspected request.
    std::optional<unwritten_finding> nextUnwrittenFinding(time_point now);

    /// \returns true if \p row lists at least as many versions and endpoints as are known here for
    /// \p key.
    bool isCoveredBy(request_key key, const withheld_row &row) const;

    /// \returns a request that still has a row although it was cleared here.
    std::optional<request_key> findStaleRow() const;

    /// Removes the finding on \p key from the findings to write.
    void markWritten(request_key key);

    /// \returns the number of requests withheld since the last call.
    unsigned takeNewlyWithheld() { return std::exchange(m_newlyWithheld, 0); }

private:
    /// A request whose answer has ended with its connection.
    struct pending_clearance
    {
        std::shared_ptr<endpoint_run> run;
        std::string endpoint;
        std::string version;
        time_point at{};
    };
    /// \returns the endpoints that crashed under \p key, without that of \p end.
    std::vector<std::uint64_t> otherEndpoints(request_key key, const endpoint_end &end) const;
    void reportWithheld(request_key key, const endpoint_run &run, const endpoint_end &end);
    /// Forwards the requests of \p notice that gained a crash.
    /// \param before number of crashes of each request before the notice.
    void forwardNewCrashes(const crash_notice &notice, std::span<const unsigned> before);
    void sendWithheldFinding(request_key key, time_point now);
    /// Sends the findings on \p keys. One notice reports all prompt parts with the same ends.
    void sendFindings(std::span<const request_key> keys, time_point now);
    /// Records the finding of \p notice on \p key and on all prompt parts with the same ends.
    /// \returns true if it changes what this entry knows.
    bool withholdAll(const withheld_notice &notice, time_point now);
    /// Clears those of \p keys that are suspected.
    /// \returns those that other entries may suspect as well.
    std::vector<request_key> clearAll(std::span<const request_key> keys, const std::string &version,
                                      time_point now);
    void sendCleared(std::span<const request_key> keys, const std::string &version);
    /// Sends the findings that withhold more requests since the last end.
    void sendWidenedFindings(time_point now);
    /// Notifies other entries of those of \p keys that don't crash endpoints of \p version, unless
    /// such a notice was sent just before.
    void sendProof(std::span<const request_key> keys, const std::string &version, time_point now);
    void enqueue(request_key key, const endpoint_run &run, const std::string &service);
    /// Releases the keys that the finding on \p key demands as well.
    void releaseWith(request_key key);
    /// \returns true if \p key needs a row because it is withheld or strongly suspected.
    bool isFinding(request_key key) const;
    /// Sets the versions and the crashed endpoints of \p row.
    void setCrashDetails(withheld_row &row, request_key key) const;

    endpoint_runs m_runs;
    crash_suspects m_suspects;
    crash_notice_senders m_senders;
    std::deque<unwritten_finding> m_unwritten; ///< versions and endpoints are set on reading
    std::set<request_key> m_fromRows; ///< requests that have a row in the store
    std::set<request_key> m_clearedHere; ///< cleared requests whose rows have to be removed
    std::deque<pending_clearance> m_pending; ///< oldest first
    std::map<request_key, time_point> m_proofsSent; ///< recent ones, see sendProof()
    unsigned m_newlyWithheld = 0;
};

} // namespace laurelcroft

#endif
