//===-- BorrowNotice.cpp - borrowing sends by datagram ----------------------===//
//
// MessagePack arrays: kind, id, and either the borrower and the service or whether it is granted.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/BorrowNotice.h"

#include "laurelcroft/Support/MessagePack.h"

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::string_view requestKind = "borrow";
constexpr std::string_view replyKind = "lend";
constexpr std::size_t requestFields = 4;
constexpr std::size_t replyFields = 3;

} // namespace

/// \returns true if \p item has \p fields fields and begins with \p kind and an id.
static bool isBorrowNotice(const json &item, std::string_view kind, std::size_t fields)
{
    return item.is_array() && item.size() == fields && item[0] == json(kind)
            && item[1].is_number_unsigned();
}

std::string laurelcroft::encodeBorrowRequest(const borrow_request &request)
{
    return encodeMessagePack(
            json::array({requestKind, request.id, request.borrower, request.service}));
}

std::optional<borrow_request> laurelcroft::decodeBorrowRequest(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool isWellFormed = isBorrowNotice(item, requestKind, requestFields)
            && isNonEmptyName(item[2]) && isNonEmptyName(item[3]);
    if (!isWellFormed)
        return std::nullopt;
    return borrow_request{item[1].get<std::uint64_t>(), item[2].get<std::string>(),
                          item[3].get<std::string>()};
}

std::string laurelcroft::encodeBorrowReply(const borrow_reply &reply)
{
    return encodeMessagePack(json::array({replyKind, reply.id, reply.isGranted}));
}

std::optional<borrow_reply> laurelcroft::decodeBorrowReply(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    if (!isBorrowNotice(item, replyKind, replyFields) || !item[2].is_boolean())
        return std::nullopt;
    return borrow_reply{item[1].get<std::uint64_t>(), item[2].get<bool>()};
}
