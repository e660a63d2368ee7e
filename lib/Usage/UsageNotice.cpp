//===-- UsageNotice.cpp - datagrams of the usage duty ---------------------===//
//
// Messages are MessagePack arrays. The first item is the kind of the message, a string that no
// other kind of notice between entries starts with. A batch is an array of its number, closedBefore
// and one array per window: the number of the window, then alternating customer names and counts.
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

/// Thrown if a field has an unexpected type or value.
class malformed_message : public std::runtime_error
{
public:
    malformed_message()
        : std::runtime_error("usage message is malformed")
    {
    }
};

} // namespace

static std::uint64_t decodeUnsigned(const json &item)
{
    if (!item.is_number_unsigned())
        throw malformed_message();
    return item.get<std::uint64_t>();
}

static std::int64_t decodeSigned(const json &item)
{
    if (!item.is_number_integer())
        throw malformed_message();
    return item.get<std::int64_t>();
}

static std::string decodeName(const json &item)
{
    if (!isName(item))
        throw malformed_message();
    return item.get<std::string>();
}

static json encodeBatch(const usage_batch &batch)
{
    json item = json::array({batch.number, batch.closedBefore});
    for (const auto &[window, counts] : batch.counts) {
        json windowItem = json::array({window});
        for (const auto &[customer, count] : counts) {
            windowItem.push_back(customer);
            windowItem.push_back(count);
        }
        item.push_back(std::move(windowItem));
    }
    return item;
}

static void decodeWindow(const json &item, usage_batch &batch)
{
    customer_counts &counts = batch.counts[decodeUnsigned(item.at(0))];
    for (std::size_t i = 1; i < item.size(); i += 2)
        counts[decodeName(item.at(i))] = decodeSigned(item.at(i + 1));
}

static usage_batch decodeBatch(const json &item)
{
    usage_batch batch;
    batch.number = decodeUnsigned(item.at(0));
    batch.closedBefore = decodeUnsigned(item.at(1));
    for (std::size_t i = 2; i < item.size(); ++i)
        decodeWindow(item.at(i), batch);
    return batch;
}

static json toJson(const usage_notice &notice)
{
    json item = json::array({noticeKind, notice.entry, notice.life, notice.acknowledged});
    for (const usage_batch &batch : notice.batches)
        item.push_back(encodeBatch(batch));
    return item;
}

static json toJson(const usage_ack &ack)
{
    return json::array({ackKind, ack.holder, ack.token, ack.life, ack.number});
}

static json toJson(const usage_handover &handover)
{
    return json::array({handoverKind, handover.holder, handover.token});
}

static usage_message fromJson(const json &item)
{
    const std::string kind = decodeName(item.at(0));
    const std::string entry = decodeName(item.at(1));
    const std::uint64_t number = decodeUnsigned(item.at(2));
    if (kind == handoverKind)
        return usage_handover{entry, number};
    if (kind == ackKind)
        return usage_ack{entry, number, decodeUnsigned(item.at(3)), decodeUnsigned(item.at(4))};
    if (kind != noticeKind)
        throw malformed_message();
    usage_notice notice{entry, number, decodeUnsigned(item.at(3)), {}};
    for (std::size_t i = 4; i < item.size(); ++i)
        notice.batches.push_back(decodeBatch(item.at(i)));
    return notice;
}

std::string laurelcroft::encodeUsageMessage(const usage_message &message)
{
    return encodeMessagePack(std::visit([](const auto &item) { return toJson(item); }, message));
}

std::optional<usage_message> laurelcroft::decodeUsageMessage(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool isMessage = item.is_array() && !item.empty() && item[0].is_string()
            && item[0].get_ref<const std::string &>().starts_with(noticeKind);
    if (!isMessage)
        return std::nullopt;
    try {
        return fromJson(item);
    } catch (const malformed_message &) {
        return std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}
