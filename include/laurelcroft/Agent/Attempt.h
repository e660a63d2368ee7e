//===-- Agent/Attempt.h - one attempt at an endpoint -------------*- C++ -*-===//
//
// The typed state of what an agent runs.
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

/// Number of a stream to an entry; 0 is none.
using link_stream_id = std::uint64_t;

/// Number of a piece of work at the endpoint.
using work_id = std::uint64_t;

/// Names one attempt of one request.
struct attempt_key
{
    std::string requestId;
    std::uint32_t number = 0;

    auto operator<=>(const attempt_key &) const = default; // NOLINT(modernize-use-nullptr)
};

/// How the endpoint's work ended.
struct work_result
{
    bool failed = false;
    wire::execution executed = wire::execution_yes; ///< of a failed one
    std::string message;
    int status = 0;
    std::string contentType;
    wire::usage usage;
    double score = 0;
};

/// One attempt that was admitted and is not settled.
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
    int orphanGeneration
            = 0; ///< counts losses of the stream, so that an old timer is told from a new
    std::string answer;
    work_result result;
};

enum class order_action { load, unload };

/// An order to an engine, with the fence that older orders lose against.
struct engine_order
{
    order_action action = order_action::load;
    std::string version; ///< model@version
    std::uint64_t fence = 0;
};

/// Smoothed speed of an endpoint.
class token_rate_meter
{
public:
    void addSample(time_point now, std::uint64_t tokens, duration took);

    /// \returns generated tokens a second of one request; 0 before the first.
    double tokensPerSecond() const { return m_tokensPerSecond; }

private:
    double m_tokensPerSecond = 0;
};

/// \returns the number of server-sent events in \p stream.
std::uint64_t countEvents(std::string_view stream);

std::string_view textOf(wire::refusal refusal);

/// \returns the cost of one step under \p rules.
double costOf(const bundle &rules, const wire::bill_step &step);

} // namespace laurelcroft

#endif
