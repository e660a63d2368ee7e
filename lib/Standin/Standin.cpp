//===-- Standin.cpp - small stand-ins of the outside ------------------------===//
//
// One process, one role, one duty; faults and journal are the same for all.
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

void standin_base::reply(const exchange_ptr &exchange, int status, const json &body)
{
    if (fault.loseAnswers > 0) {
        // Dropped without an answer: the caller can't tell whether it took effect.
        fault.loseAnswers -= 1;
        return;
    }
    const auto send = [exchange, status, text = body.dump()] {
        exchange->reply(status, {{"Content-Type", "application/json"}}, text);
    };
    if (fault.slow.count() > 0)
        runtime.after(fault.slow, send);
    else
        send();
}

static standin_fault readFault(const json &body)
{
    standin_fault fault;
    fault.down = body.value("down", false);
    fault.slow = milliseconds(body.value("slow_ms", 0));
    fault.loseAnswers = body.value("lose_answers", 0);
    fault.errorShare = body.value("error_share", 0.0);
    fault.badVersion = body.value("bad_version", "");
    fault.badShare = body.value("bad_share", 0.0);
    return fault;
}

/// Answers the paths that every stand-in has. \returns false for others.
static bool handleCommon(standin_base &base, const exchange_ptr &exchange)
{
    const http_request &request = exchange->request();
    if (request.path == "/standin/journal") {
        exchange->reply(http_status::ok, {{"Content-Type", "application/jsonl"}}, base.log.text());
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
    base.fault = readFault(body);
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
    options.fenced = !given.flag("unfenced");
    return options;
}

static std::unique_ptr<standin_role> makeRole(standin_base &base, const settings &given)
{
    const std::string &role = given.text("role");
    const milliseconds delay(given.number("delay-ms"));
    if (role == "engine")
        return std::make_unique<engine_role>(base, readEngineOptions(given));
    if (role == "table")
        return std::make_unique<table_role>(base, static_cast<double>(given.number("rate")));
    if (role == "objects")
        return std::make_unique<objects_role>(base);
    if (role == "ratings")
        return std::make_unique<ratings_role>(base, delay);
    if (role == "list")
        return std::make_unique<list_role>(base, delay);
    if (role == "service")
        return std::make_unique<service_role>(base, delay);
    return nullptr;
}

void laurelcroft::addStandinSettings(settings &declared)
{
    declared.addRequired("role", "engine, service, table, objects, ratings or list");
    declared.addText("listen", "127.0.0.1:0", "host:port");
    declared.addNumber("seed", 1, 0, 1000000000, "", "of all draws");
    declared.addNumber("rate", 500, 1, 1000000, "calls/s", "that the table takes");
    declared.addNumber("delay-ms", 0, 0, 600000, "ms", "of a rating, a service or the list");
    declared.addNumber("slots", 8, 1, 4096, "requests", "that an engine runs at once");
    declared.addNumber("decode-us", 2000, 1, 1000000, "us", "of a token at batch one");
    declared.addNumber("prefill-us", 20, 0, 1000000, "us", "of a prompt token");
    declared.addNumber("quality-percent", 90, 0, 100, "%", "mean confidence of an engine");
    declared.addNumber("load-ms", 50, 0, 600000, "ms", "to load a version");
    declared.addFlag("unfenced", "an engine that does not check the fence of orders");
}

int laurelcroft::runStandin(const settings &given)
{
    http_server_options options;
    if (!splitAddress(given.text("listen"), options.host, options.port)) {
        std::cerr << "laurelcroft-standin: error: --listen is not host:port\n";
        return 1;
    }
    blockStopSignals();
    event_loop_thread duty("standin");
    asio_runtime runtime(duty.context());
    standin_base base(runtime, static_cast<std::uint64_t>(given.number("seed")));
    const std::unique_ptr<standin_role> role = makeRole(base, given);
    if (!role) {
        std::cerr << "laurelcroft-standin: error: --role: '" << given.text("role")
                  << "' is no role\n";
        return 1;
    }
    http_server server(duty, options, [&](const exchange_ptr &exchange) {
        if (!handleCommon(base, exchange) && !role->handle(exchange))
            exchange->reply(http_status::notFound, {}, "no such path\n");
    });
    duty.start();
    const std::string error = server.open();
    if (!error.empty()) {
        std::cerr << "laurelcroft-standin: error: " << error << "\n";
        return 1;
    }
    std::cout << "port " << server.port() << std::endl;
    drain_steps steps;
    steps.begin = [] {};
    steps.isIdle = [] { return true; };
    waitAndDrain(duty, steps);
    duty.stop();
    return 0;
}
