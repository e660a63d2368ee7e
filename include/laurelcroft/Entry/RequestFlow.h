//===-- Entry/RequestFlow.h - one request on its way -------------*- C++ -*-===//
//
// The typed state of a request from its receipt to the release of its last part.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_REQUESTFLOW_H
#define LAURELCROFT_ENTRY_REQUESTFLOW_H

#include "laurelcroft/Entry/CallerRequest.h"
#include "laurelcroft/Entry/SessionPinner.h"
#include "laurelcroft/Fleet/BundleTracker.h"
#include "laurelcroft/Policy/CascadeLearner.h"

#include <optional>
#include <string>
#include <vector>

namespace laurelcroft {

/// What a request's target turned out to be.
struct resolved_target
{
    const cascade *foundCascade = nullptr;
    const model *foundModel = nullptr;
    const service *foundService = nullptr;

    bool isKnown() const { return foundCascade || foundModel || foundService; }

    /// \returns the models it may use, cheapest first.
    std::vector<std::string> models() const;
};

resolved_target resolveTarget(const bundle &rules, std::string_view name);

/// One request.
struct request_flow
{
    caller_request request;
    std::string requestId;
    std::shared_ptr<const accepted_bundle> rules;
    std::string customerName;
    resolved_target target;
    bool repeatable = true;
    time_point receivedAt{};
    time_point deadline{};

    pinned_session session;
    std::optional<std::string> claimOperationId;
    std::size_t tier = 0;
    std::uint64_t run = 0; ///< the tier that runs now; 0: none
    std::vector<std::uint64_t> unsettled; ///< runs whose agents still keep the answer
    std::vector<wire::bill_step> steps;
    bool streamBegun = false; ///< the streamed answer has begun
    bool callerLeft = false;
    int bundleRetries = 0;

    const customer &who() const { return *rules->rules.findCustomer(customerName); }
    bundle_epoch epoch() const { return rules->accepted.epoch; }

    /// \returns the model or service of the current tier.
    std::string tierTarget() const;

    /// \returns the version that the session holds for the current tier; empty for a service.
    std::string tierVersion() const;

    /// \returns true when no further tier stands behind the current one.
    bool onLastTier() const;
};

/// \returns the request's bill as it stands.
wire::bill makeBill(const request_flow &flow, std::string_view outcome);

/// \returns the headers of an error: no model or version, for none has answered.
http_headers errorHeaders(const request_flow &flow);

/// \returns the headers that every answer of \p flow carries.
http_headers answerHeaders(const request_flow &flow);

/// \returns the id of a request with the caller's own key; the same at every entry.
std::string keyedRequestId(std::string_view customer, std::string_view idempotencyKey);

} // namespace laurelcroft

#endif
