//===-- Entry/RequestFlow.h - state of one request --------------*- C++ -*-===//
//
// The state of a request from its receipt until its last part is sent to the caller.
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

/// The cascade, model or service that a request's target names, or null.
struct resolved_target
{
    const cascade *foundCascade = nullptr;
    const model *foundModel = nullptr;
    const service *foundService = nullptr;

    bool isKnown() const { return foundCascade || foundModel || foundService; }

    /// \returns the models that it may use, cheapest first; none for a service.
    std::vector<std::string> models() const;
};

resolved_target resolveTarget(const bundle &rules, std::string_view name);

/// One request in progress.
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
    std::optional<std::string> claimOperationId; ///< set once the request is claimed
    std::size_t tier = 0; ///< index of the current tier of a cascade
    std::uint64_t run = 0; ///< run id of the current tier; 0 if none is running
    std::vector<std::uint64_t> unsettled; ///< finished runs that agents still keep
    std::vector<wire::bill_step> steps; ///< tiers to be billed
    bool streamBegun = false; ///< the headers of a streamed answer were sent
    bool callerLeft = false; ///< the caller disconnected
    int bundleRetries = 0; ///< number of retries to use a newer bundle

    const customer &who() const { return *rules->rules.findCustomer(customerName); }
    bundle_epoch epoch() const { return rules->accepted.epoch; }

    /// \returns the model or service of the current tier.
    std::string tierTarget() const;

    /// \returns the version that the session uses for the current tier; empty for a service.
    std::string tierVersion() const;

    /// \returns true if the current tier is the last one.
    bool onLastTier() const;
};

/// \returns the bill for the steps that the request has taken so far.
wire::bill makeBill(const request_flow &flow, std::string_view outcome);

/// \returns the headers of an error answer. They name no model or version, since none answered.
http_headers errorHeaders(const request_flow &flow);

/// \returns the headers common to all answers of \p flow.
http_headers answerHeaders(const request_flow &flow);

/// \returns the id of a request with an idempotency key. It is the same at every entry.
std::string keyedRequestId(std::string_view customer, std::string_view idempotencyKey);

} // namespace laurelcroft

#endif
