//===-- UsageNotice.cpp - datagrams of the usage duty -----------------------===//
//
// MessagePack arrays whose first item tells their kind; no other notice begins with one of these
// words. A batch is its number, the window before which all is told, and its counts: an array for
// each window, of its number and names and counts by turns.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Usage/UsageNotice.h"

#include "laurelcroft/Support/MessagePack.h"

#include <stdexcept>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::string_view noticeKind = "usage";
constexpr std::string_view ackKind = "usage-ack";
constexpr std::string_view handoverKind = "usage-handover";

/// A field is missing or of another type.
class malformed : public std::runtime_error
{
public:
    malformed()
        : std::runtime_error("usage message is malformed")
    {
    }
};

} // namespace

static std::uint64_t numberIn(const json &item)
{
    if (!item.is_number_unsigned())
        throw malformed();
    return item.get<std::uint64_t>();
}

static std::int64_t countIn(const json &item)
{
    if (!item.is_number_integer())
        throw malformed();
    return item.get<std::int64_t>();
}

static std::string nameIn(const json &item)
{
    if (!isName(item))
        throw malformed();
    return item.get<std::string>();
}

static json encodeBatch(const usage_batch &batch)
{
    json item = json::array({batch.number, batch.closedBefore});
    for (const auto &[window, counts] : batch.counts) {
        json told = json::array({window});
        for (const auto &[customer, count] : counts) {
            told.push_back(customer);
            told.push_back(count);
        }
        item.push_back(std::move(told));
    }
    return item;
}

static void decodeWindow(const json &item, usage_batch &batch)
{
    customer_counts &counts = batch.counts[numberIn(item.at(0))];
    for (std::size_t i = 1; i < item.size(); i += 2)
        counts[nameIn(item.at(i))] = countIn(item.at(i + 1));
}

static usage_batch decodeBatch(const json &item)
{
    usage_batch batch;
    batch.number = numberIn(item.at(0));
    batch.closedBefore = numberIn(item.at(1));
    for (std::size_t i = 2; i < item.size(); ++i)
        decodeWindow(item.at(i), batch);
    return batch;
}

static json encoded(const usage_notice &notice)
{
    json item = json::array({noticeKind, notice.entry, notice.life, notice.acknowledged});
    for (const usage_batch &batch : notice.batches)
        item.push_back(encodeBatch(batch));
    return item;
}

static json encoded(const usage_ack &ack)
{
    return json::array({ackKind, ack.holder, ack.token, ack.life, ack.number});
}

static json encoded(const usage_handover &handover)
{
    return json::array({handoverKind, handover.holder, handover.token});
}

static usage_message decode(const json &item)
{
    const std::string kind = nameIn(item.at(0));
    const std::string entry = nameIn(item.at(1));
    const std::uint64_t number = numberIn(item.at(2));
    if (kind == handoverKind)
        return usage_handover{entry, number};
    if (kind == ackKind)
        return usage_ack{entry, number, numberIn(item.at(3)), numberIn(item.at(4))};
    if (kind != noticeKind)
        throw malformed();
    usage_notice notice{entry, number, numberIn(item.at(3)), {}};
    for (std::size_t i = 4; i < item.size(); ++i)
        notice.batches.push_back(decodeBatch(item.at(i)));
    return notice;
}

std::string laurelcroft::encodeUsageMessage(const usage_message &message)
{
    return encodeMessagePack(std::visit([](const auto &item) { return encoded(item); }, message));
}

std::optional<usage_message> laurelcroft::decodeUsageMessage(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool isMessage = item.is_array() && !item.empty() && item[0].is_string()
            && item[0].get_ref<const std::string &>().starts_with(noticeKind);
    if (!isMessage)
        return std::nullopt;
    try {
        return decode(item);
    } catch (const malformed &) {
        return std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}
