//===-- NoticeChannel.cpp - datagrams between entries -----------------------===//
//
// A send notice is a MessagePack array: endpoint id, prefill time in milliseconds, and hash and
// token count of each prefix. Nothing is queued: a datagram that cannot be sent at once is dropped.
// All kinds of notices use the same socket.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/NoticeChannel.h"

#include "laurelcroft/Fleet/Ranking.h"
#include "laurelcroft/Proxy/StoreReaders.h"
#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/MessagePack.h"
#include "laurelcroft/Support/Settings.h"
#include "laurelcroft/Support/TokenBucket.h"
#include "laurelcroft/Support/UdpAddress.h"

#include <asio/ip/udp.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

using namespace laurelcroft;
using asio::ip::udp;
using nlohmann::json;

namespace {

/// Size of the IP and UDP headers of a datagram.
constexpr double headerBytes = 28;
/// Fields of a send notice before the prefixes: endpoint id and prefill time.
constexpr std::size_t fieldsBeforePrefixes = 2;
/// Burst size of the byte budget, as seconds of its rate.
constexpr double burstSeconds = 1;
/// Part of the burst for findings that pace and backoff notices leave to them, since a late finding
/// costs more.
constexpr double hintReserveBytes = 0.75 * notice_channel::findingBurstBytes;

} // namespace

std::string laurelcroft::encodeSendNotice(const send_notice &notice)
{
    json item = json::array({notice.endpoint, notice.prefillTime.count()});
    const std::size_t count = std::min(notice.prefixes.size(), notice_channel::maxPrefixes);
    for (std::size_t i = 0; i < count; ++i) {
        item.push_back(notice.prefixes[i].hash);
        item.push_back(notice.prefixes[i].tokens);
    }
    return encodeMessagePack(item);
}

/// \returns the prefixes in \p item, or nothing if one is malformed.
static std::optional<std::vector<prompt_prefix>> prefixesIn(const json &item)
{
    const std::size_t numbers = item.size() - fieldsBeforePrefixes;
    if (numbers % 2 != 0 || numbers / 2 > notice_channel::maxPrefixes)
        return std::nullopt;
    std::vector<prompt_prefix> prefixes;
    for (std::size_t i = fieldsBeforePrefixes; i < item.size(); i += 2) {
        const json &hash = item[i];
        const json &tokens = item[i + 1];
        if (!hash.is_number_unsigned() || !tokens.is_number_unsigned())
            return std::nullopt;
        if (tokens.get<std::uint64_t>() > prefix_cache_estimate::defaultCapacity)
            return std::nullopt;
        prefixes.push_back({hash.get<std::uint64_t>(), tokens.get<unsigned>()});
    }
    return prefixes;
}

std::optional<send_notice> laurelcroft::decodeSendNotice(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool isWellFormed = item.is_array() && item.size() >= fieldsBeforePrefixes
            && item[0].is_string() && item[1].is_number_unsigned();
    if (!isWellFormed)
        return std::nullopt;
    const auto prefillTime = item[1].get<std::uint64_t>();
    if (prefillTime > static_cast<std::uint64_t>(notice_channel::maxPrefillTime.count()))
        return std::nullopt;
    const std::optional<std::vector<prompt_prefix>> prefixes = prefixesIn(item);
    if (!prefixes)
        return std::nullopt;
    send_notice notice{item[0].get<std::string>(), milliseconds(prefillTime), *prefixes};
    if (notice.endpoint.empty() || notice.endpoint.size() > maxNameBytes)
        return std::nullopt;
    return notice;
}

struct notice_channel::state
{
    state(asio::io_context &context, metric_registry &metrics, std::string ownAddress,
          notice_handlers handlers)
        : socket(context)
        , metrics(metrics)
        , ownAddress(std::move(ownAddress))
        , handlers(std::move(handlers))
    {
    }

    void receive();
    void handleDatagram(std::string_view bytes);
    bool receiveFinding(std::string_view bytes);
    /// Whose turn it is among the others, for one kind of notice.
    struct rotation
    {
        std::string metric; ///< counter of the kind
        std::size_t next = 0;
    };
    /// Sends \p bytes to \p recipients others in turn, while the budget of findings keeps \p
    /// reserve bytes.
    void sendInTurn(const std::string &bytes, std::size_t recipients, double reserve,
                    rotation &turn);
    void sendFinding(const std::string &bytes, bool isUrgent,
                     std::size_t recipients = maxRecipients);

    udp::socket socket;
    metric_registry &metrics;
    std::string ownAddress;
    notice_handlers handlers;
    std::vector<udp::endpoint> readers; ///< entries that read the store
    std::vector<udp::endpoint> others; ///< all other entries, in an order specific to this entry
    std::map<std::string, udp::endpoint> byName; ///< the same entries by name
    rotation findingTurn{"finding_notices_total"};
    rotation paceTurn{"pace_notices_total"};
    rotation backoffTurn{"backoff_notices_total"};
    token_bucket findingBytes{findingBytesPerSecond, findingBurstBytes};
    std::map<std::string, std::vector<udp::endpoint>> recipients; ///< by data centre
    token_bucket bytes{bytesPerSecond, bytesPerSecond *burstSeconds};
    udp::endpoint from;
    std::array<char, 1400> buffer{}; ///< one packet
};

notice_channel::notice_channel(asio::io_context &context, metric_registry &metrics,
                               std::string ownAddress, notice_handlers handlers)
    : m_state(std::make_unique<state>(context, metrics, std::move(ownAddress), std::move(handlers)))
{
}

notice_channel::~notice_channel() = default;

std::string notice_channel::open()
{
    std::string host;
    std::uint16_t port = 0;
    if (!splitAddress(m_state->ownAddress, host, port))
        return "not of the form host:port";
    asio::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (error)
        return error.message();
    m_state->socket.open(udp::v4(), error);
    if (!error)
        m_state->socket.bind({address, port}, error);
    if (!error)
        m_state->socket.non_blocking(true, error);
    if (error)
        return error.message();
    m_state->receive();
    return {};
}

std::uint16_t notice_channel::port() const
{
    asio::error_code error;
    return m_state->socket.local_endpoint(error).port();
}

void notice_channel::state::receive()
{
    socket.async_receive_from(asio::buffer(buffer), from,
                              [this](const asio::error_code &error, std::size_t size) {
                                  if (error == asio::error::operation_aborted)
                                      return;
                                  // Other errors mean that a recipient is gone.
                                  if (error)
                                      metrics.add("send_notices_total{way=\"unreachable\"}");
                                  else
                                      handleDatagram({buffer.data(), size});
                                  receive();
                              });
}

/// Calls \p handler, if set, with \p notice, if present. \returns true if \p notice is present.
template <class Notice>
static bool dispatch(const std::function<void(const Notice &)> &handler,
                     const std::optional<Notice> &notice)
{
    if (notice && handler)
        handler(*notice);
    return notice.has_value();
}

void notice_channel::state::handleDatagram(std::string_view bytes)
{
    // Send notices are by far the most frequent. No datagram decodes as two kinds.
    if (const std::optional<send_notice> notice = decodeSendNotice(bytes)) {
        metrics.add("send_notices_total{way=\"received\"}");
        handlers.onSend(*notice);
        return;
    }
    if (const std::optional<evidence_notice> evidence = decodeEvidenceNotice(bytes)) {
        metrics.add("evidence_notices_total{way=\"received\"}");
        handlers.onEvidence(*evidence);
        return;
    }
    if (dispatch(handlers.onPace, decodePaceNotice(bytes))) {
        metrics.add("pace_notices_total{way=\"received\"}");
        return;
    }
    if (receiveFinding(bytes))
        return;
    if (handlers.onOther && handlers.onOther(bytes))
        return;
    metrics.add("send_notices_total{way=\"refused\"}");
    logDebug(log_part::fleet, "unknown datagram ignored",
             {{"from", from.address().to_string()}, {"bytes", std::int64_t(bytes.size())}});
}

bool notice_channel::state::receiveFinding(std::string_view bytes)
{
    // Each decoder parses the whole datagram, so the most frequent kind is tried first.
    const bool isFinding = dispatch(handlers.onCrash, decodeCrashNotice(bytes))
            || dispatch(handlers.onWithheld, decodeWithheldNotice(bytes))
            || dispatch(handlers.onCleared, decodeClearedNotice(bytes))
            || dispatch(handlers.onRateLimit, decodeRateLimitNotice(bytes))
            || dispatch(handlers.onLeaving, decodeLeavingNotice(bytes))
            || dispatch(handlers.onBackoff, decodeBackoffNotice(bytes))
            || dispatch(handlers.onPressure, decodePressureNotice(bytes));
    if (isFinding)
        metrics.add("finding_notices_total{way=\"received\"}");
    return isFinding;
}

void notice_channel::state::sendInTurn(const std::string &bytes, std::size_t recipients,
                                       double reserve, rotation &turn)
{
    const double cost = static_cast<double>(bytes.size()) + headerBytes;
    const time_point now = bootNow();
    for (std::size_t i = 0; i < std::min(recipients, others.size()); ++i) {
        if (!findingBytes.refillAndCheck(cost + reserve, now)) {
            metrics.add(turn.metric + "{way=\"held\"}");
            return;
        }
        findingBytes.consume(cost);
        this->bytes.consume(cost);
        turn.next = (turn.next + 1) % others.size();
        asio::error_code error;
        socket.send_to(asio::buffer(bytes), others[turn.next], 0, error);
        metrics.add(turn.metric + (error ? "{way=\"failed\"}" : "{way=\"sent\"}"));
    }
}

void notice_channel::state::sendFinding(const std::string &bytes, bool isUrgent,
                                        std::size_t recipients)
{
    sendInTurn(bytes, recipients, isUrgent ? 0 : findingBurstBytes / 2, findingTurn);
}

void notice_channel::sendCrashNotice(const crash_notice &notice)
{
    m_state->sendFinding(encodeCrashNotice(notice), notice.isUrgent());
}

void notice_channel::sendWithheldNotice(const withheld_notice &notice)
{
    m_state->sendFinding(encodeWithheldNotice(notice), true);
}

void notice_channel::sendClearedNotice(const cleared_notice &notice)
{
    m_state->sendFinding(encodeClearedNotice(notice), true);
}

void notice_channel::sendRateLimitNotice(const rate_limit_notice &notice)
{
    m_state->sendFinding(encodeRateLimitNotice(notice), false);
}

void notice_channel::sendLeavingNotice(const leaving_notice &notice)
{
    m_state->sendFinding(encodeLeavingNotice(notice), false);
}

void notice_channel::sendBackoffNotice(const backoff_notice &notice)
{
    m_state->sendInTurn(encodeBackoffNotice(notice), maxRecipients, hintReserveBytes,
                        m_state->backoffTurn);
}

void notice_channel::sendPaceNotice(const pace_notice &notice, std::size_t recipients)
{
    m_state->sendInTurn(encodePaceNotice(notice), recipients, hintReserveBytes, m_state->paceTurn);
}

void notice_channel::sendPressureNotice(const pressure_notice &notice)
{
    m_state->sendFinding(encodePressureNotice(notice), false, pressureRecipients);
}

void notice_channel::send(const std::string &entry, std::string_view bytes)
{
    const auto it = m_state->byName.find(entry);
    if (it == m_state->byName.end())
        return;
    asio::error_code error;
    m_state->socket.send_to(asio::buffer(bytes.data(), bytes.size()), it->second, 0, error);
    m_state->metrics.add(error ? "other_notices_total{way=\"failed\"}"
                               : "other_notices_total{way=\"sent\"}");
}

void notice_channel::setEntries(const entry_map &entries, const std::string &own)
{
    std::map<std::string, std::vector<std::string>> names;
    for (const auto &[name, place] : entries) {
        // Adds the data centre even if this entry is the only one in it.
        std::vector<std::string> &inDataCentre = names[place.dataCentre];
        if (name != own && !place.address.empty())
            inDataCentre.push_back(name);
    }
    setReaders(entries, own);
    setOthers(entries, own);
    m_state->recipients.clear();
    // On a small site all entries are notified, since they also send requests to other data
    // centres.
    if (entries.size() <= maxRecipients + 1) {
        std::vector<std::string> all;
        for (const auto &[dataCentre, others] : names)
            all.insert(all.end(), others.begin(), others.end());
        for (auto &[dataCentre, others] : names)
            others = all;
    }
    for (const auto &[dataCentre, others] : names) {
        // Each entry ranks the others differently, so that all entries are notified by some.
        for (const std::string &name : topRanked(others, own, maxRecipients)) {
            if (const auto listener = parseUdpEndpoint(entries.at(name).address))
                m_state->recipients[dataCentre].push_back(*listener);
        }
    }
}

void notice_channel::setOthers(const entry_map &entries, const std::string &own)
{
    std::vector<std::string> names;
    for (const auto &[name, place] : entries) {
        if (name != own && !place.address.empty())
            names.push_back(name);
    }
    m_state->others.clear();
    m_state->byName.clear();
    for (const std::string &name : topRanked(names, own, names.size())) {
        if (const auto address = parseUdpEndpoint(entries.at(name).address)) {
            m_state->others.push_back(*address);
            m_state->byName[name] = *address;
        }
    }
}

void notice_channel::setReaders(const entry_map &entries, const std::string &own)
{
    m_state->readers.clear();
    for (const std::string &name : storeReaders(entries)) {
        const auto reader = parseUdpEndpoint(entries.at(name).address);
        if (reader && name != own)
            m_state->readers.push_back(*reader);
    }
}

bool notice_channel::sendToReaders(const evidence_notice &notice)
{
    const std::string bytes = encodeEvidenceNotice(notice);
    const double cost = static_cast<double>(bytes.size()) + headerBytes;
    bool isSentToAll = true;
    for (const udp::endpoint &reader : m_state->readers) {
        asio::error_code error;
        if (m_state->bytes.tryConsume(cost, bootNow()))
            m_state->socket.send_to(asio::buffer(bytes), reader, 0, error);
        else
            error = asio::error::no_buffer_space;
        m_state->metrics.add(error ? "evidence_notices_total{way=\"failed\"}"
                                   : "evidence_notices_total{way=\"sent\"}");
        isSentToAll = isSentToAll && !error;
    }
    return isSentToAll;
}

void notice_channel::sendToDataCentre(const send_notice &notice, const std::string &dataCentre)
{
    if (notice.prefillTime < minPrefillTime)
        return;
    const auto it = m_state->recipients.find(dataCentre);
    if (it == m_state->recipients.end())
        return;
    const std::string bytes = encodeSendNotice(
            {notice.endpoint, std::min(notice.prefillTime, maxPrefillTime), notice.prefixes});
    const double cost = static_cast<double>(bytes.size()) + headerBytes;
    for (const udp::endpoint &listener : it->second) {
        if (!m_state->bytes.tryConsume(cost, bootNow())) {
            m_state->metrics.add("send_notices_total{way=\"held\"}");
            return;
        }
        asio::error_code error;
        m_state->socket.send_to(asio::buffer(bytes), listener, 0, error);
        m_state->metrics.add(error ? "send_notices_total{way=\"failed\"}"
                                   : "send_notices_total{way=\"sent\"}");
    }
}
