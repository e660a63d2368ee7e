//===-- Entry/CallerRequest.h - requests and answers of callers --*- C++ -*-===//
//
// What the HTTP side hands to the decisions and gets back, as typed messages.
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

/// Number of a caller's request at this entry.
using caller_id = std::uint64_t;

/// A request to run something.
struct caller_request
{
    caller_id id = 0;
    std::string key; ///< bearer key
    wire::work_kind kind = wire::work_chat;
    std::string target; ///< model, cascade or service
    std::string requestedVersion; ///< of `model@version`
    std::string session; ///< token or name; empty: none
    std::string idempotencyKey; ///< empty: none
    bool repeatable = true; ///< false: the caller forbids a second run
    bool stream = false;
    std::string body;
    double promptTokens = 0; ///< estimated
    double outputTokens = 0; ///< asked for at most
    milliseconds timeout{0}; ///< 0: the entry's default
};

/// A question about a request.
struct status_request
{
    caller_id id = 0;
    std::string key;
    std::string requestId;
};

/// A question about the models that a customer may use.
struct models_request
{
    caller_id id = 0;
    std::string key;
};

/// An answer that is sent at once and whole.
struct whole_answer
{
    int status = http_status::ok;
    http_headers headers;
    std::string body;
};

/// The beginning of a streamed answer.
struct answer_begin
{
    int status = http_status::ok;
    http_headers headers;
};

/// Data of a streamed answer.
struct answer_piece
{
    std::string data;
    std::size_t linkBytes = 0; ///< to give back to the link when the caller took it
};

/// The end of a streamed answer. \c complete false: the connection is cut instead.
struct answer_end
{
    bool complete = true;
    std::string data;
};

/// Header fields that name what answered.
inline constexpr std::string_view modelHeader = "X-Laurelcroft-Model";
inline constexpr std::string_view versionHeader = "X-Laurelcroft-Version";

using answer_event = std::variant<whole_answer, answer_begin, answer_piece, answer_end>;

/// Whether a request that failed has run.
enum class executed { no, yes, unknown };

std::string_view textOf(executed value);

/// An error towards a caller; docs/API.md lists the codes.
struct caller_error
{
    int status = http_status::internalError;
    std::string type; ///< class of the error
    std::string code; ///< stable, for programs
    std::string message; ///< a sentence that helps
    executed ran = executed::no;
    milliseconds retryAfter{0}; ///< 0: a retry does not help
};

/// \returns the answer that carries \p error in the one JSON shape.
whole_answer errorAnswer(const caller_error &error, http_headers headers = {});

} // namespace laurelcroft

#endif
