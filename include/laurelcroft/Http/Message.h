//===-- Http/Message.h - typed HTTP requests and replies ---------*- C++ -*-===//
//
// Types and helpers that the server and the client share.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_HTTP_MESSAGE_H
#define LAURELCROFT_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// One header field.
struct http_header
{
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/// Compares header names and the like, ignoring case.
bool sameIgnoringCase(std::string_view left, std::string_view right);

/// \returns the value of the first field called \p name, ignoring case; empty if there is none.
std::string_view findHeader(const http_headers &headers, std::string_view name);

/// \returns true if \p text holds only bytes that the name of a field may hold: those of a token,
/// RFC 9110, section 5.6.2. A part of a name can be checked, too.
bool hasOnlyTokenBytes(std::string_view text);

/// \returns true if \p text has control bytes other than tabs. The value of a field must not.
bool hasControlBytes(std::string_view text);

/// A complete request, as received by the server.
struct http_request
{
    std::string method;
    std::string path;
    std::string query;
    http_headers headers;
    std::string body;
};

/// \returns the value of \p name in a query string, without percent-decoding; empty if there is
/// none.
std::string queryValue(std::string_view query, std::string_view name);

/// \returns \p text with all bytes but letters, digits and -._~ encoded as %XX.
std::string percentEncoded(std::string_view text);

/// A complete reply.
struct http_reply
{
    int status = 0;
    http_headers headers;
    std::string body;
};

namespace http_status {
inline constexpr int ok = 200;
inline constexpr int badRequest = 400;
inline constexpr int unauthorized = 401;
inline constexpr int forbidden = 403;
inline constexpr int notFound = 404;
inline constexpr int methodNotAllowed = 405;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int tooLarge = 413;
inline constexpr int tooManyRequests = 429;
inline constexpr int internalError = 500;
inline constexpr int badGateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gatewayTimeout = 504;
} // namespace http_status

/// \returns true for the statuses that HTTP defines, RFC 9110, section 15.
constexpr bool isValidStatus(int status)
{
    return status >= 100 && status <= 599;
}

/// \returns true for the 1xx statuses. A response with such a status precedes the final one.
constexpr bool isInterim(int status)
{
    return status >= 100 && status < 200;
}

/// \returns true for the 2xx statuses.
constexpr bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace laurelcroft

#endif
