//===-- SessionPinner.cpp - pins sessions to versions ---------------------===//
//
// The errors for versions that may not be used.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/SessionPinner.h"

using namespace laurelcroft;

caller_error laurelcroft::versionError(version_refusal refusal, const std::string &model,
                                       const std::string &version)
{
    caller_error error;
    error.type = "version_error";
    const std::string name = version.empty() ? model : model + "@" + version;
    error.message = name + ": " + std::string(textOf(refusal));
    switch (refusal) {
    case version_refusal::unknownModel:
        error.status = http_status::notFound;
        error.code = "unknown_model";
        break;
    case version_refusal::notAllowed:
        error.status = http_status::forbidden;
        error.code = "not_allowed";
        break;
    case version_refusal::withdrawn:
        error.status = http_status::conflict;
        error.code = "version_withdrawn";
        error.message += "; begin a new session";
        break;
    case version_refusal::noVersion:
        error.status = http_status::unavailable;
        error.code = "no_version";
        error.retryAfter = seconds(5);
        break;
    case version_refusal::stopped:
        error.status = http_status::conflict;
        error.code = "version_stopped";
        break;
    }
    return error;
}
