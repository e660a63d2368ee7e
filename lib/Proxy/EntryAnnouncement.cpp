//===-- EntryAnnouncement.cpp - registration of new entries -----------------===//
//
// An announcement is the value of an HTTP header: the Base64 encoding of a MessagePack array of
// name, wall time and row.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/EntryAnnouncement.h"

#include "laurelcroft/Support/Crypto.h"
#include "laurelcroft/Support/MessagePack.h"

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::size_t fields = 3;

} // namespace

std::string laurelcroft::encodeAnnouncement(const entry_announcement &announcement)
{
    return toBase64(encodeMessagePack(json::array(
            {announcement.entry, announcement.wallTime.count(), encodeEntry(announcement.place)})));
}

std::optional<entry_announcement> laurelcroft::decodeAnnouncement(std::string_view bytes)
{
    const std::optional<std::string> text = fromBase64(std::string(bytes));
    const json item = text ? decodeMessagePack(*text) : json();
    const bool isWellFormed = item.is_array() && item.size() == fields && isName(item[0])
            && item[1].is_number_integer() && item[2].is_string();
    if (!isWellFormed)
        return std::nullopt;
    entry_announcement announcement{item[0].get<std::string>(),
                                    decodeEntry(item[2].get<std::string>()),
                                    milliseconds(item[1].get<std::int64_t>())};
    const bool isNamed = !announcement.entry.empty() && announcement.entry.size() <= maxNameBytes;
    if (!isNamed || announcement.place.address.empty())
        return std::nullopt;
    return announcement;
}
