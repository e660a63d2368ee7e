//===-- LoadTool.cpp - load generator and experiments -----------------------===//
//
// The first word is the command: `http` sends load, `run FILE` runs the experiments in FILE.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Load/LoadTool.h"

#include "Report.h"
#include "laurelcroft/Load/OpenLoop.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace laurelcroft;

static double asMs(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

static nlohmann::ordered_json quantiles(const latency_histogram &values)
{
    return {{"p50_ms", asMs(values.quantile(0.5))},
            {"p95_ms", asMs(values.quantile(0.95))},
            {"p99_ms", asMs(values.quantile(0.99))}};
}

static int runHttp(const settings &given)
{
    load_plan plan;
    plan.urls = splitList(given.text("urls"), ',');
    plan.key = given.text("key");
    plan.model = given.text("model");
    plan.stream = !given.flag("whole");
    plan.requestsPerSecond = static_cast<double>(given.number("rate"));
    plan.durationSeconds = static_cast<double>(given.number("for"));
    plan.outputTokens = static_cast<std::uint32_t>(given.number("tokens"));
    plan.promptBytes = static_cast<std::uint32_t>(given.number("prompt-bytes"));
    plan.sessions = static_cast<std::uint32_t>(given.number("sessions"));
    plan.threads = static_cast<std::uint32_t>(given.number("threads"));
    plan.seed = static_cast<std::uint64_t>(given.number("seed"));
    if (plan.urls.empty()) {
        std::cerr << "laurelcroft-load: error: --urls is empty\n";
        return 1;
    }
    const load_result result = runLoad(plan);
    nlohmann::ordered_json line;
    line["sent"] = result.sent;
    line["complete"] = result.complete;
    line["errors"] = result.errors;
    line["requests_per_second"]
            = static_cast<double>(result.complete) / std::max(plan.durationSeconds, 0.001);
    line["tokens_per_second"]
            = static_cast<double>(result.tokens) / std::max(plan.durationSeconds, 0.001);
    line["first_token"] = quantiles(result.timeToFirstToken);
    line["between_tokens"] = quantiles(result.interTokenLatency);
    line["whole"] = quantiles(result.totalLatency);
    std::cout << line.dump() << "\n";
    return 0;
}

namespace {

struct trial_kind
{
    std::string_view name;
    std::vector<trial_row> (*run)(const trial_settings &);
};

constexpr std::array<trial_kind, 6> trialKinds = {{
        {"spread", &runSpreadTrial},
        {"socket-spread", &runSocketSpreadTrial},
        {"cascade", &runCascadeTrial},
        {"guard", &runGuardTrial},
        {"endpoints", &runEndpointTrial},
        {"limits", &runLimitTrial},
}};

} // namespace

static trial_settings readTrial(const YAML::Node &node)
{
    trial_settings given;
    given.kind = node["kind"].as<std::string>();
    given.seed = node["seed"].as<std::uint64_t>(1);
    given.axisValues = node["at"].as<std::vector<double>>(std::vector<double>{0});
    given.runs = node["runs"].as<double>(1);
    given.loss = node["loss"].as<double>(0);
    return given;
}

/// Runs one experiment and appends its rows to \p rows.
/// \returns false if the kind of the experiment is unknown.
static bool runTrial(const trial_settings &given, std::vector<trial_row> &rows)
{
    for (const trial_kind &kind : trialKinds) {
        if (kind.name != given.kind)
            continue;
        std::cerr << "running experiment " << given.kind << " with seed " << given.seed
                  << std::endl;
        const auto results = kind.run(given);
        rows.insert(rows.end(), results.begin(), results.end());
        return true;
    }
    std::cerr << "laurelcroft-load: error: unknown kind of experiment '" << given.kind << "'\n";
    return false;
}

static int runExperiments(const settings &given)
{
    if (given.positionalArguments().size() != 2) {
        std::cerr << "laurelcroft-load: error: 'run' expects one file name\n";
        return 2;
    }
    std::ifstream in(given.positionalArguments()[1]);
    const std::string source{std::istreambuf_iterator<char>(in), {}};
    std::vector<trial_row> rows;
    try {
        const YAML::Node root = YAML::Load(source);
        for (const YAML::Node &item : root["experiments"]) {
            if (!runTrial(readTrial(item), rows))
                return 1;
        }
    } catch (const YAML::Exception &error) {
        std::cerr << "laurelcroft-load: error: " << given.positionalArguments()[1] << ": "
                  << error.what() << "\n";
        return 1;
    }
    std::cout << (given.flag("json") ? jsonLines(rows) : textTable(rows));
    if (!given.text("html").empty())
        std::ofstream(given.text("html")) << htmlPage(rows, source);
    return rows.empty() ? 1 : 0;
}

void laurelcroft::addLoadSettings(settings &declared)
{
    declared.allowPositionalArguments();
    declared.addText("html", "", "write the results as an HTML page with plots to this file (run)");
    declared.addFlag("json", "print JSON lines instead of a table (run)");
    declared.addText("urls", "", "base URLs of the servers, separated by commas (http)");
    declared.addText("key", "", "bearer token; no Authorization header if empty (http)");
    declared.addText("model", "portal-small", "model or cascade to request (http)");
    declared.addFlag("whole", "request complete responses instead of streams (http)");
    declared.addNumber("rate", 100, 1, 100000, "requests/s",
                       "mean rate of the Poisson arrivals (http)");
    declared.addNumber("for", 5, 1, 600, "s", "how long requests are sent (http)");
    declared.addNumber("tokens", 8, 1, 100000, "tokens",
                       "number of tokens to generate per request (http)");
    declared.addNumber("prompt-bytes", 200, 1, 1000000, "bytes", "size of a prompt (http)");
    declared.addNumber("sessions", 0, 0, 1000000, "prompts",
                       "number of distinct prompts; 0 makes every prompt new (http)");
    declared.addNumber("threads", 2, 1, 16, "threads", "number of threads that send (http)");
    declared.addNumber("seed", 1, 0, 1000000000, "", "random seed (http)");
}

int laurelcroft::runLoadTool(const settings &given)
{
    const std::string word
            = given.positionalArguments().empty() ? "" : given.positionalArguments().front();
    if (word == "http")
        return runHttp(given);
    if (word == "run")
        return runExperiments(given);
    std::cerr << "laurelcroft-load: error: expected the command 'http' or 'run FILE'\n";
    return 2;
}
