//===-- Entry/CallerRequest.h - callers' requests and answers ---*- C++ -*-===//
//
// The typed messages between the HTTP server for callers and the entry's core.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_CALLERREQUEST_H
#define LAURELCROFT_ENTRY_CALLERREQUEST_H

#include "laurelcroft.pb.h"
#include "laurelcroft/Http/Message.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace laurelcroft {

/// Identifies a caller's HTTP request within this process.
using caller_id = std::uint64_t;

/// A request to run a model, cascade or service.
struct caller_request
{
    caller_id id = 0;
    std::string key; ///< API key from the Authorization header
    wire::work_kind kind = wire::work_chat;
    std::string target; ///< name of a model, cascade or service
    std::string requestedVersion; ///< version in `model@version`; empty if none
    std::string session; ///< session token or name; empty if none
    std::string idempotencyKey; ///< empty if none
    bool repeatable = true; ///< false if the caller forbids running it more than once
    bool stream = false;
    std::string body;
    double promptTokens = 0; ///< estimated
    double outputTokens = 0; ///< upper limit set by the caller; 0 if none
    milliseconds timeout{0}; ///< 0 for the entry's default
};

/// A query for the status of a request.
struct status_request
{
    caller_id id = 0;
    std::string key;
    std::string requestId;
};

/// A query for the models that a customer may use.
struct models_request
{
    caller_id id = 0;
    std::string key;
};

/// A complete, unstreamed answer.
struct whole_answer
{
    int status = http_status::ok;
    http_headers headers;
    std::string body;
};

/// The status and headers of a streamed answer.
struct answer_begin
{
    int status = http_status::ok;
    http_headers headers;
};

/// A part of the body of a streamed answer.
struct answer_piece
{
    std::string data;
    std::size_t linkBytes = 0; ///< flow-control credit to return once the caller received it
};

/// The end of a streamed answer. If \c complete is false, the connection is aborted instead.
struct answer_end
{
    bool complete = true;
    std::string data;
};

/// Header fields with the model and version that produced the answer.
inline constexpr std::string_view modelHeader = "X-Laurelcroft-Model";
inline constexpr std::string_view versionHeader = "X-Laurelcroft-Version";

using answer_event = std::variant<whole_answer, answer_begin, answer_piece, answer_end>;

/// Whether a failed request has run.
enum class executed { no, yes, unknown };

std::string_view textOf(executed value);

/// An error returned to a caller; docs/API.md lists the codes.
struct caller_error
{
    int status = http_status::internalError;
    std::string type; ///< category of the error
    std::string code; ///< stable and machine-readable
    std::string message; ///< human-readable
    executed ran = executed::no;
    milliseconds retryAfter{0}; ///< 0 if a retry would not help
};

/// \returns the answer for \p error, in the JSON format that all errors share.
whole_answer errorAnswer(const caller_error &error, http_headers headers = {});

} // namespace laurelcroft

#endif
