//===-- Standin.cpp - stand-ins for external services -----------------------===//
//
// Each process runs a single role on one thread. Fault injection and the journal are common to all
// roles.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Standin/Standin.h"

#include "Roles.h"
#include "laurelcroft/Node/Drain.h"
#include "laurelcroft/Support/Log.h"

#include <csignal>
#include <iostream>

using namespace laurelcroft;
using nlohmann::json;

void journal::add(nlohmann::ordered_json line)
{
    line["seq"] = m_lines.size();
    m_lines.push_back(std::move(line));
}

std::string journal::text() const
{
    std::string all;
    for (const auto &line : m_lines)
        all += line.dump() + "\n";
    return all;
}

void standin_context::reply(const exchange_ptr &exchange, int status, const json &body)
{
    if (fault.dropReplies > 0) {
        // No reply is sent, so that the caller can't tell whether the call took effect.
        fault.dropReplies -= 1;
        return;
    }
    const auto send = [exchange, status, text = body.dump()] {
        exchange->reply(status, {{"Content-Type", "application/json"}}, text);
    };
    if (fault.extraDelay.count() > 0)
        runtime.after(fault.extraDelay, send);
    else
        send();
}

static standin_fault readFault(const json &body)
{
    standin_fault fault;
    fault.down = body.value("down", false);
    fault.extraDelay = milliseconds(body.value("slow_ms", 0));
    fault.dropReplies = body.value("lose_answers", 0);
    fault.errorShare = body.value("error_share", 0.0);
    fault.badVersion = body.value("bad_version", "");
    fault.badShare = body.value("bad_share", 0.0);
    return fault;
}

/// Handles the paths that every stand-in serves. \returns false for other paths.
static bool handleCommon(standin_context &context, const exchange_ptr &exchange)
{
    const http_request &request = exchange->request();
    if (request.path == "/standin/journal") {
        exchange->reply(http_status::ok, {{"Content-Type", "application/jsonl"}},
                        context.log.text());
        return true;
    }
    if (request.path == "/healthz") {
        exchange->reply(http_status::ok, {}, "ok\n");
        return true;
    }
    if (request.path != "/standin/fault")
        return false;
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        exchange->reply(http_status::badRequest, {}, "a fault is a JSON object\n");
        return true;
    }
    context.fault = readFault(body);
    exchange->reply(http_status::ok, {}, "ok\n");
    return true;
}

static engine_options readEngineOptions(const settings &given)
{
    engine_options options;
    options.slots = static_cast<std::size_t>(given.number("slots"));
    options.decodeMs = static_cast<double>(given.number("decode-us")) / 1000.0;
    options.prefillMsPerToken = static_cast<double>(given.number("prefill-us")) / 1000.0;
    options.quality = static_cast<double>(given.number("quality-percent")) / 100.0;
    options.loadTime = milliseconds(given.number("load-ms"));
    options.checksFence = !given.flag("unfenced");
    return options;
}

static std::unique_ptr<standin_role> makeRole(standin_context &context, const settings &given)
{
    const std::string &role = given.text("role");
    const milliseconds delay(given.number("delay-ms"));
    if (role == "engine")
        return std::make_unique<engine_role>(context, readEngineOptions(given));
    if (role == "table")
        return std::make_unique<table_role>(context, static_cast<double>(given.number("rate")));
    if (role == "objects")
        return std::make_unique<object_store_role>(context);
    if (role == "ratings")
        return std::make_unique<ratings_role>(context, delay);
    if (role == "list")
        return std::make_unique<instance_list_role>(context, delay);
    if (role == "service")
        return std::make_unique<service_role>(context, delay);
    return nullptr;
}

void laurelcroft::addStandinSettings(settings &declared)
{
    declared.addRequired("role",
                         "service to simulate: engine, service, table, objects, ratings or list");
    declared.addText("listen", "127.0.0.1:0", "host:port to listen on; port 0 picks a free port");
    declared.addNumber("seed", 1, 0, 1000000000, "", "random seed");
    declared.addNumber("rate", 500, 1, 1000000, "calls/s", "rate limit of the table");
    declared.addNumber("delay-ms", 0, 0, 600000, "ms",
                       "response time of a rating or a service, or lag of the instance list");
    declared.addNumber("slots", 8, 1, 4096, "requests",
                       "number of requests that an engine runs concurrently");
    declared.addNumber("decode-us", 2000, 1, 1000000, "us",
                       "decode time per token of a single request");
    declared.addNumber("prefill-us", 20, 0, 1000000, "us", "prefill time per prompt token");
    declared.addNumber("quality-percent", 90, 0, 100, "%",
                       "mean confidence of an engine's answers");
    declared.addNumber("load-ms", 50, 0, 600000, "ms",
                       "time that an engine takes to load a version");
    declared.addFlag("unfenced", "let an engine execute orders with a stale fence");
}

int laurelcroft::runStandin(const settings &given)
{
    http_server_options options;
    if (!splitAddress(given.text("listen"), options.host, options.port)) {
        std::cerr << "laurelcroft-standin: error: --listen: expected host:port\n";
        return 1;
    }
    blockStopSignals();
    event_loop_thread thread("standin");
    asio_runtime runtime(thread.context());
    standin_context context(runtime, static_cast<std::uint64_t>(given.number("seed")));
    const std::unique_ptr<standin_role> role = makeRole(context, given);
    if (!role) {
        std::cerr << "laurelcroft-standin: error: --role: unknown role '" << given.text("role")
                  << "'\n";
        return 1;
    }
    http_server server(thread, options, [&](const exchange_ptr &exchange) {
        if (!handleCommon(context, exchange) && !role->handle(exchange))
            exchange->reply(http_status::notFound, {}, "no such path\n");
    });
    thread.start();
    const std::string error = server.open();
    if (!error.empty()) {
        std::cerr << "laurelcroft-standin: error: " << error << "\n";
        return 1;
    }
    std::cout << "port " << server.port() << std::endl;
    drain_steps steps;
    steps.begin = [] {};
    steps.isIdle = [] { return true; };
    waitAndDrain(thread, steps);
    thread.stop();
    return 0;
}
