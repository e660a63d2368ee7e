//===-- Http/Parser.h - incremental HTTP/1.1 parser --------------*- C++ -*-===//
//
// http_parser behind typed heads and three callbacks. Both sides of the direct path
// use it: unlike a whole client or server library it shows every byte that belongs
// to no message, and never sends anything by itself.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_HTTP_PARSER_H
#define LAURELCROFT_HTTP_PARSER_H

#include "laurelcroft/Http/Message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Start line and header fields of a message.
struct message_head
{
    std::string method; ///< of a request
    std::string target; ///< of a request: path and query
    int status = 0; ///< of an answer
    http_headers headers;
    bool keepAlive = true; ///< the connection may carry another message afterwards
    bool endsWithConnection = false; ///< an answer without a length
    bool oldProtocol = false; ///< HTTP/1.0: the peer knows no chunks
};

/// How far a parser came with the bytes it was given.
enum class parse_state {
    open, ///< wants more bytes
    complete, ///< a message ended; bytes after it were not read
    failed ///< the bytes form no message
};

/// Called while bytes are parsed.
struct parser_events
{
    std::function<void(message_head &&head)> onHead;
    std::function<void(std::string_view data)> onBody;
};

/// Parses one direction of one connection, one message after another.
class message_parser
{
public:
    enum class side { requests, answers };

    /// \param maxHeaderBytes larger heads fail.
    message_parser(side which, parser_events events, std::size_t maxHeaderBytes);
    ~message_parser();
    message_parser(const message_parser &) = delete;
    message_parser &operator=(const message_parser &) = delete;

    /// Parses up to the end of the current message.
    /// \param used is set to the number of bytes taken.
    parse_state feed(std::string_view bytes, std::size_t &used);

    /// Tells that the connection ended in order.
    /// \returns complete when that ended a message without a length, otherwise failed.
    parse_state finish();

    /// Begins the next message.
    void reset();

    /// The next answer has no body, whatever its head says, as after HEAD.
    void expectNoBody();

    /// \returns true when the current message has begun.
    bool hasBegun() const;

    /// \returns true when the head is too large, after a failure.
    bool headTooLarge() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
