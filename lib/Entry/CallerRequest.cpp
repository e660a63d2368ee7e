//===-- CallerRequest.cpp - error answers ---------------------------------===//
//
// Formats errors as JSON.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/CallerRequest.h"

#include <nlohmann/json.hpp>

using namespace laurelcroft;

std::string_view laurelcroft::textOf(executed value)
{
    switch (value) {
    case executed::no:
        return "no";
    case executed::yes:
        return "yes";
    case executed::unknown:
        return "unknown";
    }
    return "unknown";
}

whole_answer laurelcroft::errorAnswer(const caller_error &error, http_headers headers)
{
    nlohmann::ordered_json inner = {{"type", error.type},
                                    {"code", error.code},
                                    {"message", error.message},
                                    {"executed", textOf(error.ran)}};
    whole_answer answer;
    answer.status = error.status;
    answer.headers = std::move(headers);
    if (error.retryAfter.count() > 0) {
        inner["retry_after_ms"] = error.retryAfter.count();
        const auto whole = std::chrono::ceil<seconds>(error.retryAfter).count();
        answer.headers.push_back({"Retry-After", std::to_string(whole)});
    }
    answer.headers.push_back({"Content-Type", "application/json"});
    nlohmann::ordered_json body;
    body["error"] = inner;
    answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}
