//===-- Http/Parser.h - incremental HTTP/1.1 parser --------------*- C++ -*-===//
//
// Wraps http_parser with typed message heads and callbacks. The proxy uses it towards
// clients and endpoints: unlike a complete client or server library, it exposes bytes that
// belong to no message, and never sends anything by itself.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_HTTP_PARSER_H
#define LAURELCROFT_HTTP_PARSER_H

#include "laurelcroft/Http/Message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Start line and header fields of a message.
struct message_head
{
    std::string method; ///< requests only
    std::string target; ///< requests only: path and query
    int status = 0; ///< responses only
    http_headers headers;
    std::optional<std::uint64_t> bodyLength; ///< responses only: as stated in Content-Length
    bool keepAlive = true; ///< the connection may be reused for another message
    bool endsWithConnection = false; ///< the end of the connection delimits the body
    bool isHttp10 = false; ///< HTTP/1.0: the peer does not support chunked encoding
};

/// State of a parser after the bytes it was given.
enum class parse_state {
    open, ///< more bytes are needed
    complete, ///< a message ended; the bytes after it were not parsed
    failed ///< the bytes are not a valid message
};

/// Callbacks during parsing. Each may be empty.
struct parser_events
{
    /// Interim responses are not reported.
    std::function<void(message_head &&head)> onHead;
    std::function<void(std::string_view data)> onBody;
};

/// Parses the messages of one direction of a connection.
class message_parser
{
public:
    enum class side { requests, answers };

    /// \param maxHeaderBytes maximum size of a message head; larger ones fail to parse.
    message_parser(side which, parser_events events, std::size_t maxHeaderBytes);
    ~message_parser();
    message_parser(const message_parser &) = delete;
    message_parser &operator=(const message_parser &) = delete;

    /// Parses up to the end of the current message.
    /// \param used is set to the number of bytes parsed.
    parse_state feed(std::string_view bytes, std::size_t &used);

    /// Must be called when the peer closed the connection regularly.
    /// \returns \c complete if this ended a message without a length, otherwise \c failed.
    parse_state finish();

    /// Prepares for the next message.
    void reset();

    /// Treats responses as having no body, whatever their heads say; for responses to HEAD.
    void expectNoBody();

    /// \returns true if bytes of the current message have been parsed.
    bool hasBegun() const;

    /// \returns true if parsing failed because the head was too large.
    bool headTooLarge() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
