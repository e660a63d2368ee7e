//===-- Proxy/BorrowNotice.h - borrowing sends by datagram -------*- C++ -*-===//
//
// The messages with which an entry borrows a further send from another entry's budget.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_BORROWNOTICE_H
#define LAURELCROFT_PROXY_BORROWNOTICE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Asks another entry for one further send.
struct borrow_request
{
    std::uint64_t id = 0; ///< chosen by the borrower
    std::string borrower; ///< name of the asking entry
    std::string service;

    bool operator==(const borrow_request &) const = default;
};

/// Answers a \c borrow_request.
struct borrow_reply
{
    std::uint64_t id = 0; ///< of the request
    bool isGranted = false; ///< if true, the lender has taken the send from its own budget

    bool operator==(const borrow_reply &) const = default;
};

std::string encodeBorrowRequest(const borrow_request &request);
/// \returns nothing if \p bytes are not a valid borrow request.
std::optional<borrow_request> decodeBorrowRequest(std::string_view bytes);

std::string encodeBorrowReply(const borrow_reply &reply);
/// \returns nothing if \p bytes are not a valid borrow reply.
std::optional<borrow_reply> decodeBorrowReply(std::string_view bytes);

} // namespace laurelcroft

#endif
