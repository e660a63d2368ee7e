//===-- Agent/Attempt.h - attempts, engine orders, costs ---------*- C++ -*-===//
//
// Data types of the agent core: attempts and their results, orders to the engine, the
// token rate, and the cost of a bill step.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_AGENT_ATTEMPT_H
#define LAURELCROFT_AGENT_ATTEMPT_H

#include "laurelcroft.pb.h"
#include "laurelcroft/Contract/Bundle.h"
#include "laurelcroft/Support/Runtime.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Id of a stream to an entry; 0 means none.
using link_stream_id = std::uint64_t;

/// Id of a call to the endpoint.
using work_id = std::uint64_t;

/// Identifies one attempt of a request.
struct attempt_key
{
    std::string requestId;
    std::uint32_t number = 0;

    auto operator<=>(const attempt_key &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Outcome of a call to the endpoint.
struct work_result
{
    bool failed = false;
    wire::execution executed = wire::execution_yes; ///< whether failed work was executed
    std::string message;
    int status = 0;
    std::string contentType;
    wire::usage usage;
    double score = 0;
};

/// An admitted attempt that is not settled yet.
struct attempt
{
    attempt_key key;
    wire::offer offer;
    bundle_epoch epoch = 0;
    link_stream_id stream = 0;
    work_id work = 0;
    time_point startedAt{};
    bool running = true;
    bool orphaned = false;
    /// Changes on each loss and resume of the stream, so that timers of earlier losses are ignored.
    int orphanGeneration = 0;
    std::string answer;
    work_result result;
};

enum class order_action { load, unload };

/// A load or unload order to an engine. The fence is a fencing token: the engine rejects orders
/// with a lower one.
struct engine_order
{
    order_action action = order_action::load;
    std::string version; ///< model@version
    std::uint64_t fence = 0;
};

/// Exponential moving average of the token rate of an endpoint.
class token_rate_meter
{
public:
    void addSample(time_point now, std::uint64_t tokens, duration took);

    /// \returns the generated tokens per second of one request; 0 before the first sample.
    double tokensPerSecond() const { return m_tokensPerSecond; }

private:
    double m_tokensPerSecond = 0;
};

/// \returns the number of server-sent events in \p stream, counted by their data fields.
std::uint64_t countEvents(std::string_view stream);

/// \returns the text of \p refusal for logs and decision records.
std::string_view textOf(wire::refusal refusal);

/// \returns the cost of \p step at the prices in \p rules; 0 for an unknown target.
double costOf(const bundle &rules, const wire::bill_step &step);

} // namespace laurelcroft

#endif
