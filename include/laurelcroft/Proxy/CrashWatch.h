//===-- Proxy/CrashWatch.h - endpoints that end under requests ---*- C++ -*-===//
//
// Ties what endpoints were working on to what speaks against requests, and what this entry finds to
// what the others have found. One thread.
//
// What goes where, of three ways that were there: by rows alone an entry knows within 0.04 to 1 s,
// and not at all while the store is away; by datagrams alone an entry that starts later does not
// know. So a finding is a datagram, passed on by whoever hears it first, and a row.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_CRASHWATCH_H
#define LAURELCROFT_PROXY_CRASHWATCH_H

#include "laurelcroft/Policy/CrashSuspects.h"
#include "laurelcroft/Proxy/CrashNotices.h"
#include "laurelcroft/Proxy/EndpointRuns.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace laurelcroft {

/// Ways to the other entries. Each may be empty.
struct crash_notice_senders
{
    std::function<void(const crash_notice &notice)> sendCrashNotice;
    std::function<void(const withheld_notice &notice)> sendWithheldNotice;
    std::function<void(const cleared_notice &notice)> sendClearedNotice;
};

/// A finding that is to be written.
struct unwritten_finding
{
    request_key key = 0;
    withheld_row row; ///< but for its end
    milliseconds left{0}; ///< until its end
};

/// What one entry knows of ended endpoints and their requests.
class crash_watch
{
public:
    /// Findings that wait for the store at most.
    static constexpr std::size_t maxUnwritten = 64;

    void setSenders(crash_notice_senders links) { m_links = std::move(links); }

    endpoint_runs &runs() { return m_runs; }
    crash_suspects &suspects() { return m_suspects; }

    /// The process of \p endpoint was found to have ended. \param at the first sign of that.
    void endpointEnded(const service_endpoint &endpoint, time_point at);

    /// Take what other entries sendWithheldFinding.
    void applyNotice(const crash_notice &notice, time_point now);
    void applyNotice(const withheld_notice &notice, time_point now);
    void applyNotice(const cleared_notice &notice, time_point now);

    /// An endpoint of \p version has answered a request of this entry, or runs it for long.
    void clear(request_key key, const std::string &version, time_point now);

    /// Takes a row. \param until the moment up to which it holds.
    void applyRow(request_key key, const withheld_row &row, time_point until, time_point now);

    /// The row of \p key was removed: by an operator, or since it is too old.
    void removeRow(request_key key);

    /// Requests whose rows are not in \p listed any more are released; a whole table was read.
    void removeUnlistedRows(const std::vector<request_key> &listed);

    /// \returns the finding that waits longest to be written: a firm one, or that a request is
    /// strongly suspected.
    std::optional<unwritten_finding> nextUnwrittenFinding(time_point now);

    /// \returns true when \p row tells all that is known here of \p key.
    bool isCoveredBy(request_key key, const withheld_row &row) const;

    /// \returns a request that has a row although it was cleared.
    std::optional<request_key> findStaleRow() const;

    /// The finding needs no more to be written.
    void markWritten(request_key key);

    /// \returns requests that were withheld since they were asked for last.
    unsigned takeNewlyWithheld() { return std::exchange(m_newlyWithheld, 0); }

private:
    std::vector<std::uint64_t> otherEndpoints(request_key key, const endpoint_end &end) const;
    void reportWithheld(request_key key, const endpoint_run &run, const endpoint_end &end);
    void forwardNewCrashes(const crash_notice &notice, std::span<const unsigned> before);
    void sendWithheldFinding(request_key key, time_point now);
    void enqueue(request_key key, const endpoint_run &run, const std::string &service);
    /// \returns true when a row has to sendWithheldFinding of \p key: it is withheld, or strongly
    /// suspected.
    bool isFinding(request_key key) const;
    /// Sets the versions and the ended endpoints.
    void setCrashDetails(withheld_row &row, request_key key) const;

    endpoint_runs m_runs;
    crash_suspects m_suspects;
    crash_notice_senders m_links;
    std::deque<unwritten_finding> m_unwritten; ///< with what operators read only
    std::set<request_key> m_fromRows; ///< requests that have a row
    std::set<request_key> m_clearedHere; ///< whose rows are to go
    unsigned m_newlyWithheld = 0;
};

} // namespace laurelcroft

#endif
