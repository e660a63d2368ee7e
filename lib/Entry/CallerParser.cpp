//===-- CallerParser.cpp - parses callers' HTTP requests ------------------===//
//
// Refuses every request that can be refused without the bundle or the state of the entry.
//
//===----------------------------------------------------------------------===//
#include "CallerParser.h"

#include "laurelcroft/Entry/SessionToken.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view modelsPath = "/v1/models";
constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::string_view requestPrefix = "/v1/requests/";
constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t maxIdempotencyKeyBytes = 255;
constexpr std::size_t maxTargetBytes = 200;
constexpr double bytesPerToken = 4; // rough estimate of the prompt's tokens
constexpr double maxOutputTokens = 1e6;

} // namespace

static caller_error badRequest(std::string code, std::string message,
                               int status = http_status::badRequest)
{
    return {status,       "invalid_request", std::move(code), std::move(message),
            executed::no, milliseconds(0)};
}

static std::string keyOf(const http_request &request)
{
    const std::string_view field = findHeader(request.headers, "Authorization");
    if (field.substr(0, bearer.size()) != bearer)
        return {};
    return std::string(field.substr(bearer.size()));
}

/// Reads the header fields common to chat and service requests.
static std::optional<caller_error> readFields(const http_request &from, caller_request &request)
{
    request.key = keyOf(from);
    request.session = findHeader(from.headers, "X-Laurelcroft-Session");
    request.idempotencyKey = findHeader(from.headers, "Idempotency-Key");
    if (request.session.size() > maxSessionTextBytes)
        return badRequest("session_invalid", "X-Laurelcroft-Session is longer than 4096 bytes");
    if (request.idempotencyKey.size() > maxIdempotencyKeyBytes)
        return badRequest("bad_idempotency_key", "Idempotency-Key is longer than 255 bytes");
    const std::string_view repeat = findHeader(from.headers, "X-Laurelcroft-Repeatable");
    if (!repeat.empty() && repeat != "yes" && repeat != "no")
        return badRequest("bad_header", "X-Laurelcroft-Repeatable must be yes or no");
    request.repeatable = repeat != "no";
    const std::string_view timeout = findHeader(from.headers, "X-Laurelcroft-Timeout-Ms");
    if (timeout.empty())
        return std::nullopt;
    std::int64_t ms = 0;
    const auto [end, error] = std::from_chars(timeout.data(), timeout.data() + timeout.size(), ms);
    if (error != std::errc() || end != timeout.data() + timeout.size() || ms <= 0)
        return badRequest("bad_header", "X-Laurelcroft-Timeout-Ms must be a positive number");
    request.timeout = milliseconds(ms);
    return std::nullopt;
}

static void splitTarget(const std::string &name, caller_request &request)
{
    const std::size_t at = name.find('@');
    request.target = name.substr(0, at);
    if (at != std::string::npos)
        request.requestedVersion = name.substr(at + 1);
}

static std::optional<caller_error> readChat(const http_request &from, caller_request &request)
{
    const json body = json::parse(from.body, nullptr, false);
    if (!body.is_object())
        return badRequest("bad_json", "the body must be a JSON object");
    const auto name = body.find("model");
    if (name == body.end() || !name->is_string() || name->get_ref<const std::string &>().empty()
        || name->get_ref<const std::string &>().size() > maxTargetBytes)
        return badRequest("bad_model", "the field 'model' must name a model or cascade");
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return badRequest("bad_messages", "the field 'messages' must be a list of messages");
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
        return badRequest("bad_stream", "the field 'stream' must be true or false");
    const auto maxTokens = body.find("max_tokens");
    if (maxTokens != body.end() && !maxTokens->is_number_unsigned())
        return badRequest("bad_max_tokens", "the field 'max_tokens' must be a whole number");
    splitTarget(name->get<std::string>(), request);
    request.stream = stream != body.end() && stream->get<bool>();
    if (maxTokens != body.end())
        request.outputTokens = std::min(maxTokens->get<double>(), maxOutputTokens);
    request.promptTokens = static_cast<double>(from.body.size()) / bytesPerToken;
    request.body = from.body;
    return std::nullopt;
}

static outcome<parsed_request, caller_error> parseRun(const http_request &from, bool isService,
                                                      const caller_limits &limits)
{
    if (from.method != "POST")
        return failure(badRequest("bad_method", "use POST here", http_status::methodNotAllowed));
    if (from.body.size() > limits.maxBodyBytes)
        return failure(badRequest("body_too_large",
                                  "the body is larger than " + std::to_string(limits.maxBodyBytes)
                                          + " bytes",
                                  http_status::tooLarge));
    caller_request request;
    auto error = readFields(from, request);
    if (!error && !isService)
        error = readChat(from, request);
    if (error)
        return failure(*error);
    if (isService) {
        request.kind = wire::work_service;
        request.target = from.path.substr(servicePrefix.size());
        request.body = from.body;
    }
    return parsed_request(std::move(request));
}

outcome<parsed_request, caller_error> laurelcroft::parseCaller(const http_request &request,
                                                               const caller_limits &limits)
{
    if (request.path == chatPath)
        return parseRun(request, false, limits);
    if (request.path.rfind(servicePrefix, 0) == 0)
        return parseRun(request, true, limits);
    const bool isQuestion = request.path == modelsPath || request.path.rfind(requestPrefix, 0) == 0;
    if (!isQuestion)
        return failure(badRequest("unknown_path", "no such path; docs/API.md lists them",
                                  http_status::notFound));
    if (request.method != "GET")
        return failure(badRequest("bad_method", "use GET here", http_status::methodNotAllowed));
    if (request.path == modelsPath)
        return parsed_request(models_request{0, keyOf(request)});
    return parsed_request(
            status_request{0, keyOf(request), request.path.substr(requestPrefix.size())});
}
