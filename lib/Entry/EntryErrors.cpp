//===-- EntryErrors.cpp - error answers to callers ------------------------===//
//
// Each error has a function of its own, so that all error messages are in this file.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/EntryErrors.h"

#include "laurelcroft/Support/Crypto.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

using namespace laurelcroft;

namespace {
constexpr milliseconds shortRetry{250};
constexpr milliseconds longRetry{2000};
constexpr std::size_t requestIdDigits = 32;
} // namespace

caller_error laurelcroft::noBundle()
{
    return {http_status::unavailable,          "unavailable", "no_bundle",
            "this instance has no bundle yet", executed::no,  longRetry};
}

caller_error laurelcroft::instanceLeaving()
{
    return {http_status::unavailable,
            "unavailable",
            "leaving",
            "this instance is leaving; another one will take the request",
            executed::no,
            shortRetry};
}

caller_error laurelcroft::badKey()
{
    return {http_status::unauthorized,
            "authentication_error",
            "bad_key",
            "send 'Authorization: Bearer KEY' with a key of the bundle in force",
            executed::no,
            milliseconds(0)};
}

caller_error laurelcroft::unknownTarget(const std::string &name)
{
    return {http_status::notFound,
            "invalid_request",
            "unknown_model",
            "no model, cascade or service is called '" + name + "'; GET /v1/models lists yours",
            executed::no,
            milliseconds(0)};
}

caller_error laurelcroft::notAllowed(const std::string &name)
{
    return {http_status::forbidden, "permission_error",
            "not_allowed",          "this customer may not use '" + name + "'",
            executed::no,           milliseconds(0)};
}

caller_error laurelcroft::wrongTargetKind(const std::string &name, bool asService)
{
    const std::string message = asService
            ? "'" + name + "' is a model; use POST /v1/chat/completions"
            : "'" + name + "' is a service; use POST /v1/services/" + name;
    return {http_status::badRequest, "invalid_request", "wrong_kind", message, executed::no,
            milliseconds(0)};
}

caller_error laurelcroft::alreadyRunning(const std::string &requestId)
{
    return {http_status::conflict,
            "conflict",
            "already_running",
            "a request with this key is known; ask GET /v1/requests/" + requestId,
            executed::unknown,
            milliseconds(1000)};
}

caller_error laurelcroft::overloaded()
{
    return {http_status::unavailable,
            "overloaded",
            "entry_full",
            "this instance has as many requests in flight as it may",
            executed::no,
            shortRetry};
}

caller_error laurelcroft::billNotAccepted()
{
    return {http_status::unavailable,
            "unavailable",
            "no_place_for_bill",
            "neither the table nor a second instance can take the bill of this request",
            executed::no,
            longRetry};
}

caller_error laurelcroft::limitExceeded(const limit_decision &limit)
{
    const bool rate = limit.verdict == limit_verdict::rateExceeded;
    return {http_status::tooManyRequests,
            "rate_limit",
            rate ? "rate_exceeded" : "too_many_in_flight",
            rate ? "the customer's rate is used up"
                 : "the customer has too many requests in flight",
            executed::no,
            limit.retryAfter};
}

caller_error laurelcroft::timedOutBeforeStart()
{
    return {http_status::gatewayTimeout,
            "timeout",
            "deadline_before_start",
            "the deadline passed before the request was started",
            executed::no,
            shortRetry};
}

caller_error laurelcroft::idempotencyKeyReused()
{
    return {http_status::conflict,
            "conflict",
            "key_used",
            "this Idempotency-Key was used for another request",
            executed::no,
            milliseconds(0)};
}

caller_error laurelcroft::claimUnavailable(milliseconds retryAfter)
{
    return {http_status::unavailable,
            "unavailable",
            "claim_unavailable",
            "a request that may not be repeated cannot be claimed while the table is away",
            executed::no,
            std::max(retryAfter, shortRetry)};
}

caller_error laurelcroft::tableUnavailable(const table_error &error)
{
    return {http_status::unavailable,        "unavailable", "table_unavailable",
            std::string(textOf(error.kind)), executed::no,  std::max(error.retryAfter, shortRetry)};
}

caller_error laurelcroft::unknownRequest()
{
    return {http_status::notFound, "invalid_request",
            "unknown_request",     "no such request of this customer is known",
            executed::unknown,     milliseconds(0)};
}

caller_error laurelcroft::tierError(const tier_result &result, bool nothingRan)
{
    caller_error error;
    error.type = result.timedOut ? "timeout" : "upstream_error";
    error.message = result.reason;
    error.status = result.timedOut ? http_status::gatewayTimeout : http_status::badGateway;
    switch (result.outcome) {
    case tier_outcome::notRun:
        error.ran = nothingRan ? executed::no : executed::yes;
        error.code
                = result.refusal == wire::refusal_withdrawn ? "version_withdrawn" : "no_endpoint";
        error.retryAfter = result.retryAfter;
        if (!result.timedOut)
            error.status = http_status::unavailable;
        break;
    case tier_outcome::uncertain:
        error.ran = executed::unknown;
        error.code = "endpoint_lost";
        break;
    case tier_outcome::failed:
    case tier_outcome::finished:
        error.ran = executed::yes;
        error.code = result.timedOut ? "deadline" : "endpoint_failed";
        break;
    }
    return error;
}

const customer *laurelcroft::authenticate(const bundle &rules, std::string_view key)
{
    const std::string digest = sha256Hex(key);
    const customer *found = nullptr;
    // Compare with all customers, so that the time taken does not depend on which one matches.
    for (const customer &who : rules.customers) {
        if (constantTimeEqual(who.keySha256, digest))
            found = &who;
    }
    return found;
}

whole_answer laurelcroft::modelsAnswer(const bundle &rules, const customer &who)
{
    nlohmann::ordered_json data = nlohmann::ordered_json::array();
    const auto add = [&](const std::string &name, const char *kind) {
        data.push_back({{"id", name}, {"object", "model"}, {"kind", kind}});
    };
    for (const cascade &item : rules.cascades) {
        if (mayUseAnyVersion(rules, who, item.name))
            add(item.name, "cascade");
    }
    for (const model &item : rules.models) {
        if (mayUseAnyVersion(rules, who, item.name))
            add(item.name, "model");
        for (const model_version &version : item.versions) {
            if (mayUse(rules, who, item.name, version.name))
                add(item.name + "@" + version.name, "version");
        }
    }
    whole_answer answer;
    answer.headers = {{"Content-Type", "application/json"}};
    nlohmann::ordered_json body;
    body["object"] = "list";
    body["data"] = data;
    answer.body = body.dump();
    return answer;
}

whole_answer laurelcroft::statusAnswer(const std::string &requestId, std::string_view state,
                                       const claim *found)
{
    nlohmann::ordered_json body;
    body["id"] = requestId;
    body["state"] = state;
    if (found != nullptr && found->state == claim_state::done) {
        body["status"] = found->status;
        body["content_type"] = found->contentType;
        body["version"] = found->version;
        body["answer"] = found->answer;
    }
    whole_answer answer;
    answer.headers = {{"Content-Type", "application/json"}};
    answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

whole_answer laurelcroft::replayAnswer(const claim &found, http_headers headers)
{
    whole_answer answer;
    answer.status = found.status;
    // The model and version of this call's session need not be those that produced the answer.
    std::erase_if(headers, [](const http_header &header) {
        return header.name == modelHeader || header.name == versionHeader;
    });
    answer.headers = std::move(headers);
    if (!found.model.empty()) {
        answer.headers.push_back({std::string(modelHeader), found.model});
        answer.headers.push_back({std::string(versionHeader), found.version});
    }
    answer.headers.push_back({"Content-Type", found.contentType});
    answer.headers.push_back({"X-Laurelcroft-Replayed", "yes"});
    answer.body = found.answer;
    return answer;
}

std::string_view laurelcroft::textOf(claim_verdict verdict)
{
    switch (verdict) {
    case claim_verdict::granted:
        return "granted";
    case claim_verdict::held:
        return "held";
    case claim_verdict::done:
        return "done";
    case claim_verdict::bodyMismatch:
        return "other body";
    case claim_verdict::unavailable:
        return "unavailable";
    }
    return "unknown";
}

std::string_view laurelcroft::claimStateText(const claim &found)
{
    switch (found.state) {
    case claim_state::claimed:
        return "claimed";
    case claim_state::released:
        return "not run";
    case claim_state::done:
        return "complete";
    }
    return "unknown";
}

bool laurelcroft::isRequestId(std::string_view text)
{
    if (text.size() != requestIdDigits + 1 || (text[0] != 'r' && text[0] != 'k'))
        return false;
    return fromHex(text.substr(1)).has_value();
}

std::string laurelcroft::shortNumber(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", value);
    return text.data();
}
