//===-- Standin/Standin.h - stand-ins for external services -----*- C++ -*-===//
//
// Simulates the services of the platform and the endpoints as small processes with seeded random
// draws, for tests, the demo and measurements. docs/STANDINS.md describes their protocols.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_STANDIN_STANDIN_H
#define LAURELCROFT_STANDIN_STANDIN_H

#include "laurelcroft/Http/Server.h"
#include "laurelcroft/Support/Random.h"
#include "laurelcroft/Support/Runtime.h"
#include "laurelcroft/Support/Settings.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace laurelcroft {

using exchange_ptr = std::shared_ptr<http_exchange>;

/// Log of the actions that a stand-in performed, in order. Tests compare it with what the product
/// reports.
class journal
{
public:
    void add(nlohmann::ordered_json line);
    std::string text() const;

private:
    std::vector<nlohmann::ordered_json> m_lines;
};

/// Injected faults, which tests set through `/standin/fault`.
struct standin_fault
{
    bool down = false; ///< reply with status 503; the instance list ignores it
    milliseconds extraDelay{0}; ///< extra delay of JSON replies, service calls and engine steps
    int dropReplies = 0; ///< number of calls whose reply is dropped after they took effect
    double errorShare = 0; ///< share of an engine's chat requests that fail
    std::string badVersion; ///< `model@version` whose answers are degraded
    double badShare = 0; ///< share of its good answers that turn bad
};

/// State shared by all roles: clock, random source, journal and faults.
struct standin_context
{
    standin_context(asio_runtime &runtime, std::uint64_t seed)
        : runtime(runtime)
        , random(seed)
    {
    }
    asio_runtime &runtime;
    random_source random;
    journal log;
    standin_fault fault;

    /// Sends a JSON reply, which the fault settings may delay or drop.
    void reply(const exchange_ptr &exchange, int status, const nlohmann::json &body);
};

/// Declares the command-line settings of `laurelcroft-standin`.
void addStandinSettings(settings &declared);

/// Runs one stand-in until the process receives a stop signal. \returns the exit code.
int runStandin(const settings &given);

} // namespace laurelcroft

#endif
