//===-- Proxy/NoticeChannel.h - entries tell each other of sends *- C++ -*-===//
//
// An endpoint says how full it is only with its answers, and a long prompt holds up all that
// run beside it. So an entry tells the others that use an endpoint when it sends a long prompt
// there, and which shared prefixes the endpoint keeps from then on: one small datagram each. What
// gets lost costs a worse choice, nothing more.
//
// The prefixes gain 0.034 of worth on three entries with 12 endpoints (0.635 to 0.669, mean of
// 30 days of 34 s with faults): a third less of the shared parts is read again.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_NOTICECHANNEL_H
#define LAURELCROFT_PROXY_NOTICECHANNEL_H

#include "laurelcroft/Fleet/PromptMemory.h"
#include "laurelcroft/Proxy/CrashNotices.h"
#include "laurelcroft/Proxy/EvidenceNotice.h"
#include "laurelcroft/Proxy/LeavingNotice.h"
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

/// A prompt that an entry has just sent.
struct send_notice
{
    std::string endpoint; ///< its id
    milliseconds prefillTime{0}; ///< that the prompt is thought to take
    std::vector<prompt_prefix> prefixes; ///< shared ones of the prompt, shortest first

    bool operator==(const send_notice &) const = default;
};

std::string encodeSendNotice(const send_notice &notice);
/// \returns nothing for bytes that are no notice, or one with a reading out of range.
std::optional<send_notice> decodeSendNotice(std::string_view bytes);

/// What is done with notices of other entries.
struct notice_handlers
{
    std::function<void(const send_notice &notice)> onSend;
    std::function<void(const evidence_notice &notice)> onEvidence;
    std::function<void(const crash_notice &notice)> onCrash;
    std::function<void(const withheld_notice &notice)> onWithheld;
    std::function<void(const cleared_notice &notice)> onCleared;
    std::function<void(const rate_limit_notice &notice)> onRateLimit = nullptr;
    std::function<void(const leaving_notice &notice)> onLeaving = nullptr;
    /// Takes datagrams of no kind above. \returns true for one that it knows. May be empty.
    std::function<bool(std::string_view bytes)> onOther = nullptr;
};

/// The datagrams between entries. One thread.
class notice_channel
{
public:
    /// Shorter readings are not told: they are over before they would change a choice.
    static constexpr milliseconds minPrefillTime{30};
    /// Longer ones are not believed: no prompt takes that long.
    static constexpr milliseconds maxPrefillTime{10'000};
    /// Prefixes that are told at most: a prompt of more parts is told by its first ones.
    static constexpr std::size_t maxPrefixes = 8;
    /// Entries that are told at most; the same ones each time.
    static constexpr std::size_t maxRecipients = 12;
    /// Bytes a second, headers included, that telling may cost: what the users' first letter
    /// gives a node for control.
    static constexpr double bytesPerSecond = 2000;

    /// Of these, bytes a second that telling of ended endpoints and withheld requests may cost, and
    /// how many may be saved up: a finding at 12 listeners is about 1,600, an end with the young
    /// requests of one entry up to 12,000. Half is left to what is urgent. What they take the sends
    /// go without.
    static constexpr double findingBytesPerSecond = 1000;
    static constexpr double findingBurstBytes = 12000;

    /// \param ownAddress "host:port" that \c open listens on.
    notice_channel(asio::io_context &context, metric_registry &metrics, std::string ownAddress,
                   notice_handlers handlers);
    ~notice_channel();
    notice_channel(const notice_channel &) = delete;
    notice_channel &operator=(const notice_channel &) = delete;

    /// \returns an empty string, or what failed.
    std::string open();

    /// The port in use, after open().
    std::uint16_t port() const;

    /// Entries by name; \p own is left out.
    void setEntries(const entry_map &entries, const std::string &own);

    /// Tells the entries of \p dataCentre, where the endpoint is; on a site of few entries all.
    void sendToDataCentre(const send_notice &notice, const std::string &dataCentre);

    /// Tells the entries that read the store. \returns false when not all could be told.
    bool sendToReaders(const evidence_notice &notice);

    /// Sends a datagram of another kind to \p entry, if it is known.
    void send(const std::string &entry, std::string_view bytes);

    /// Tell other entries, \c maxRecipients of them, and others the next time.
    void sendCrashNotice(const crash_notice &notice);
    void sendWithheldNotice(const withheld_notice &notice);
    void sendClearedNotice(const cleared_notice &notice);
    void sendRateLimitNotice(const rate_limit_notice &notice);
    void sendLeavingNotice(const leaving_notice &notice);

private:
    struct state;
    void setReaders(const entry_map &entries, const std::string &own);
    void setOthers(const entry_map &entries, const std::string &own);
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
