//===-- Proxy/ProxyTypes.h - requests that are passed on ---------*- C++ -*-===//
//
// What the direct path knows of a request and of an answer. A dialect decodes both
// from the wire and encodes what goes to an endpoint; nothing else here knows a header.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_PROXYTYPES_H
#define LAURELCROFT_PROXY_PROXYTYPES_H

#include "laurelcroft/Fleet/ServiceDirectory.h"
#include "laurelcroft/Http/Message.h"
#include "laurelcroft/Http/Parser.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laurelcroft {

/// A part of a prompt, named alike by all requests that begin with it.
struct prompt_part
{
    std::string id;
    unsigned tokens = 0;
};

/// A caller's request.
struct proxy_request
{
    std::string method;
    std::string target; ///< path and query, unchanged
    std::string host; ///< without a port
    std::string path;
    http_headers headers; ///< those that are passed on
    std::string body;

    std::string id; ///< minted by the caller; echoed in the answer
    std::optional<milliseconds> patience; ///< how long the caller waits
    std::string session; ///< requests of one session name it alike; empty: none
    std::string key; ///< names the customer; never passed on
    std::string model; ///< empty: none named
    bool anyModel = false; ///< the caller leaves the model to the router
    std::optional<std::uint64_t> afterEvent; ///< a stream goes on after this event id
    std::vector<prompt_part> promptParts; ///< in order; the last is the request's own
    unsigned promptTokens = 0;
};

/// One send of a request to an endpoint.
struct proxy_attempt
{
    std::shared_ptr<const proxy_request> request;
    endpoint_ptr endpoint;
    milliseconds remaining{0}; ///< of the deadline
    std::string customer; ///< empty: none
    int priority = 5;
    std::string model; ///< instead of the caller's; empty: as it came
    std::optional<std::uint64_t> afterEvent; ///< instead of the caller's
    bool atMostOnce = false; ///< needs a connection that is surely alive
};

/// Head of an endpoint's answer.
struct proxy_answer
{
    int status = 0;
    http_headers headers; ///< those that are passed back
    std::string requestId;
    bool notRun = false; ///< the endpoint says that the request has not run and won't
    bool misdirected = false; ///< another process than the one meant lives at the address
    bool signedByEndpoint = false; ///< carries the endpoint's mark of authenticity
    bool encoded = false; ///< the body is in a coding that nobody asked for
    std::optional<endpoint_load> load;
    std::optional<int> confidence; ///< percent, the model's own
    bool endpointLeaving = false; ///< the endpoint states that it is leaving
    /// Time for which the endpoint asks this entry to send no requests; empty unless the answer is
    /// a 503 with a valid time.
    std::optional<milliseconds> retryAfter;
    /// Requests per second that the endpoint accepts from all entries together; empty when the
    /// answer states no valid limit.
    std::optional<double> rateLimit;
    std::optional<seconds> keepAliveTimeout; ///< how long the endpoint keeps an idle connection
};

/// How messages are read and written. Plain functions without state.
struct proxy_dialect
{
    /// Decodes a caller's head; the body is filled in later.
    std::function<proxy_request(message_head &&head)> decodeRequest;
    /// \returns the head of the request to the endpoint, with its empty line.
    std::function<std::string(const proxy_attempt &attempt)> encodeAttempt;
    std::function<proxy_answer(message_head &&head)> decodeAnswer;
};

/// How a call to an endpoint ended on the wire.
enum class call_end {
    complete, ///< the answer is whole
    notSent, ///< no connection stood: the endpoint saw nothing
    broken ///< reset, closed, or bytes that form no answer
};

/// What a call reports, in this order; none comes from within the start of the call.
struct call_events
{
    std::function<void(proxy_answer &&answer)> onAnswer;
    std::function<void(std::string_view data)> onData;
    std::function<void(call_end end)> onEnd;
};

using call_id = std::uint64_t;

} // namespace laurelcroft

#endif
