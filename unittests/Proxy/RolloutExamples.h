//===-- RolloutExamples.h - roll-out test data ------------------*- C++ -*-===//
//
// An example order, its row and endpoints for tests of roll-outs.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_ROLLOUTEXAMPLES_H
#define LAURELCROFT_UNITTESTS_PROXY_ROLLOUTEXAMPLES_H

#include "laurelcroft/Proxy/RolloutTracker.h"

#include <memory>
#include <string>

namespace laurelcroft {

/// \returns increasing times, far enough apart that each slow answer counts.
inline time_point nextMoment()
{
    static time_point moment{};
    moment += seconds(1);
    return moment;
}

inline endpoint_ptr endpointOf(const std::string &id, const std::string &version)
{
    endpoint_record record;
    record.id = id;
    record.softwareVersion = version;
    return std::make_shared<service_endpoint>(record);
}

inline rollout_order exampleOrder()
{
    return {"pool", "v2", seconds(20), 7};
}

inline rollout_row rowAt(rollout_stage stage)
{
    return {7, "v2", stage, milliseconds(1000), milliseconds(1000), 0.5};
}

} // namespace laurelcroft

#endif
