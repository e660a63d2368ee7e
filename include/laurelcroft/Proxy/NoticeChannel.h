//===-- Proxy/NoticeChannel.h - datagrams between entries --------*- C++ -*-===//
//
// Sends notices between entries as datagrams. Most frequent are send notices: an endpoint reports
// its load only in answers, and a long prompt delays all requests that run beside it. So an entry
// notifies the other users of an endpoint when it sends a long prompt there, and which shared
// prompt prefixes the endpoint caches as a result. A lost send notice only makes a worse routing
// decision.
//
// Sharing the prefixes raises the score by 0.034 on three entries with 12 endpoints (0.635 to
// 0.669, mean of 30 test days of 34 s with faults): a third fewer shared tokens are processed
// again.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_NOTICECHANNEL_H
#define LAURELCROFT_PROXY_NOTICECHANNEL_H

#include "laurelcroft/Fleet/PrefixCacheEstimate.h"
#include "laurelcroft/Proxy/BackoffNotice.h"
#include "laurelcroft/Proxy/CrashNotices.h"
#include "laurelcroft/Proxy/EvidenceNotice.h"
#include "laurelcroft/Proxy/LeavingNotice.h"
#include "laurelcroft/Proxy/PaceNotice.h"
#include "laurelcroft/Proxy/PressureNotice.h"
#include "laurelcroft/Proxy/RateLimitNotice.h"
#include "laurelcroft/Support/Metrics.h"
#include "laurelcroft/Support/Runtime.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Reports that an entry has just sent a prompt to an endpoint.
struct send_notice
{
    std::string endpoint; ///< id of the endpoint
    milliseconds prefillTime{0}; ///< estimated prefill time of the prompt
    std::vector<prompt_prefix> prefixes; ///< shared prefixes of the prompt, shortest first

    bool operator==(const send_notice &) const = default;
};

std::string encodeSendNotice(const send_notice &notice);
/// \returns nothing if \p bytes are not a valid send notice or a number is out of range.
std::optional<send_notice> decodeSendNotice(std::string_view bytes);

/// Handlers for notices from other entries.
struct notice_handlers
{
    std::function<void(const send_notice &notice)> onSend;
    std::function<void(const evidence_notice &notice)> onEvidence;
    std::function<void(const crash_notice &notice)> onCrash;
    std::function<void(const withheld_notice &notice)> onWithheld;
    std::function<void(const cleared_notice &notice)> onCleared;
    std::function<void(const rate_limit_notice &notice)> onRateLimit = nullptr;
    std::function<void(const leaving_notice &notice)> onLeaving = nullptr;
    std::function<void(const pace_notice &notice)> onPace = nullptr;
    std::function<void(const pressure_notice &notice)> onPressure = nullptr;
    /// Handles datagrams of any other kind. \returns true if it accepts the datagram. May be empty.
    std::function<bool(std::string_view bytes)> onOther = nullptr;
    std::function<void(const backoff_notice &notice)> onBackoff = nullptr;
};

/// Sends and receives notices between entries. Not thread-safe.
class notice_channel
{
public:
    /// Prompts with a shorter prefill time are not reported: they finish before the notice could
    /// change a routing decision.
    static constexpr milliseconds minPrefillTime{30};
    /// Notices with a longer prefill time are rejected, since no prompt takes that long.
    static constexpr milliseconds maxPrefillTime{10'000};
    /// Maximum number of prefixes in a notice. The shortest ones are kept.
    static constexpr std::size_t maxPrefixes = 8;
    /// Maximum number of entries that a notice is sent to. Send notices go to the same entries
    /// each time.
    static constexpr std::size_t maxRecipients = 12;
    /// Rate limit for send notices, evidence notices and findings, including packet headers. This
    /// is the control traffic that the requirements allow per node.
    static constexpr double bytesPerSecond = 2000;

    /// Part of \c bytesPerSecond for findings (all notices except send and evidence notices), and
    /// their burst size. A finding for 12 recipients takes about 1,600 bytes, a crash with the
    /// recent requests of one entry up to 12,000. Half of the burst is reserved for urgent notices.
    /// Bytes used by findings are also charged to \c bytesPerSecond.
    static constexpr double findingBytesPerSecond = 1000;
    static constexpr double findingBurstBytes = 12000;
    /// Number of entries that a pressure notice is sent to. Each entry gets as many as it sends.
    static constexpr std::size_t pressureRecipients = 3;

    /// Number of entries that a regular pace notice is sent to. Each second a few of them
    /// learn of all endpoints that answered this entry, for about 500 bytes.
    static constexpr std::size_t paceRecipients = 4;

    /// \param ownAddress address as "host:port" that open() binds to.
    notice_channel(asio::io_context &context, metric_registry &metrics, std::string ownAddress,
                   notice_handlers handlers);
    ~notice_channel();
    notice_channel(const notice_channel &) = delete;
    notice_channel &operator=(const notice_channel &) = delete;

    /// Binds the socket and starts receiving. \returns an empty string, or an error message.
    std::string open();

    /// \returns the bound port. Valid after open().
    std::uint16_t port() const;

    /// Sets the known entries by name. Nothing is sent to \p own.
    void setEntries(const entry_map &entries, const std::string &own);

    /// Sends \p notice to entries in \p dataCentre, the endpoint's data centre. On a site with at
    /// most \c maxRecipients other entries, sends it to all of them.
    void sendToDataCentre(const send_notice &notice, const std::string &dataCentre);

    /// Sends \p notice to the entries that read the store.
    /// \returns false if it could not be sent to all of them.
    bool sendToReaders(const evidence_notice &notice);

    /// Sends a datagram of another kind to \p entry. Does nothing if the entry is unknown.
    void send(const std::string &entry, std::string_view bytes);

    /// Send a finding to \c maxRecipients other entries, chosen round-robin.
    void sendCrashNotice(const crash_notice &notice);
    void sendWithheldNotice(const withheld_notice &notice);
    void sendClearedNotice(const cleared_notice &notice);
    void sendRateLimitNotice(const rate_limit_notice &notice);
    void sendLeavingNotice(const leaving_notice &notice);

    /// Sends \p notice to \c maxRecipients other entries, chosen round-robin, within the budget.
    void sendBackoffNotice(const backoff_notice &notice);
    /// Sends \p notice to \p recipients other entries, chosen round-robin, within the budget.
    void sendPaceNotice(const pace_notice &notice, std::size_t recipients);
    /// Sends \p notice to \c pressureRecipients other entries, chosen round-robin.
    void sendPressureNotice(const pressure_notice &notice);

private:
    struct state;
    void setReaders(const entry_map &entries, const std::string &own);
    void setOthers(const entry_map &entries, const std::string &own);
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
