//===-- Site.cpp - test fixture that runs a site of real processes ----------===//
//
// Every wait is for a condition, with a time limit that is reached only on failure.
//
//===----------------------------------------------------------------------===//
#include "Site.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

using namespace laurelcroft;
using namespace laurelcroft::testing;
using nlohmann::json;

extern char **environ;

namespace {
constexpr auto pollInterval = std::chrono::milliseconds(5);
constexpr int maxWaitTries = 1000;
constexpr useconds_t waitInterval = 10000;
const std::string siteKey = "site key of the process tests";
} // namespace

child::child(std::string name, const std::vector<std::string> &command)
    : m_name(std::move(name))
{
    char path[] = "/tmp/laurelcroft-test-XXXXXX";
    const int descriptor = mkstemp(path);
    m_logPath = path;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, descriptor, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, descriptor, STDERR_FILENO);
    std::vector<char *> arguments;
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    posix_spawn(&m_pid, command[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(descriptor);
}

child::~child()
{
    if (!m_exitCode) {
        signal(SIGCONT);
        signal(SIGKILL);
        wait();
    }
    // If LAURELCROFT_KEEP_LOGS is set, keep the output in the folder that it names.
    if (const char *folder = std::getenv("LAURELCROFT_KEEP_LOGS"))
        std::ofstream(std::string(folder) + "/" + m_name + ".log") << output();
    unlink(m_logPath.c_str());
}

void child::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

int child::wait()
{
    if (m_exitCode)
        return *m_exitCode;
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return *m_exitCode;
}

bool child::hasEnded()
{
    if (m_exitCode)
        return true;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == 0)
        return false;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return true;
}

std::string child::output() const
{
    std::ifstream in(m_logPath);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::string child::waitForWord(const std::string &marker) const
{
    for (int i = 0; i < maxWaitTries; ++i) {
        const std::string text = output();
        const std::size_t at = text.find(marker);
        const std::size_t end
                = at == std::string::npos ? at : text.find_first_of(" \n", at + marker.size());
        if (end != std::string::npos)
            return text.substr(at + marker.size(), end - at - marker.size());
        usleep(waitInterval);
    }
    throw std::runtime_error(m_name + " did not print '" + marker + "': " + output());
}

site::site()
    : m_client(m_context)
{
    char folder[] = "/tmp/laurelcroft-site-XXXXXX";
    m_folder = mkdtemp(folder);
    for (const char *key : {"a", "b"}) {
        const signing_key made = makeSigningKey();
        std::ofstream(m_folder + "/" + key + ".key") << made.secretHex << "\n";
        m_signoffKeys += (m_signoffKeys.empty() ? "" : ",") + made.publicHex;
    }
    const std::vector<std::pair<std::string, std::vector<std::string>>> standins
            = {{"table", {"--rate", "2000"}}, {"objects", {}}, {"ratings", {}}};
    for (const auto &[role, more] : standins) {
        std::vector<std::string> command = {BIN_DIR "/laurelcroft-standin", "--role", role};
        command.insert(command.end(), more.begin(), more.end());
        m_urls[role] = "http://127.0.0.1:" + start(role, command).waitForWord("port ");
    }
}

site::~site()
{
    m_children.clear();
    for (const char *name : {"/a.key", "/b.key", "/bundle.yaml"})
        unlink((m_folder + name).c_str());
    rmdir(m_folder.c_str());
}

child &site::start(const std::string &name, const std::vector<std::string> &command)
{
    m_children[name] = std::make_unique<child>(name, command);
    return *m_children[name];
}

std::vector<std::string> site::commonSettings() const
{
    std::string seeds;
    for (const std::string &seed : m_seeds)
        seeds += (seeds.empty() ? "" : ",") + seed;
    return {"--site-key",
            siteKey,
            "--signoff-keys",
            m_signoffKeys,
            "--signoff-required",
            "2",
            "--table-url",
            url("table"),
            "--objects-url",
            url("objects"),
            "--ratings-url",
            url("ratings"),
            "--probe-period",
            "200",
            "--poll-period",
            "300",
            "--table-timeout",
            "500",
            "--seeds",
            seeds};
}

void site::startEntry(const std::string &name, const std::string &dataCentre)
{
    std::vector<std::string> command = {BIN_DIR "/laurelcroft-entry",
                                        "--instance",
                                        name,
                                        "--data-centre",
                                        dataCentre,
                                        "--session-keys",
                                        "k1:secret of the process tests"};
    const auto common = commonSettings();
    command.insert(command.end(), common.begin(), common.end());
    child &entry = start(name, command);
    m_urls[name] = "http://127.0.0.1:" + entry.waitForWord("callers are served port=");
    m_urls[name + "-admin"] = "http://127.0.0.1:" + entry.waitForWord("admin_port=");
    m_seeds.push_back(entry.waitForWord(" gossip="));
}

void site::startAgent(const std::string &name, const std::string &dataCentre,
                      const std::string &pool, int decodeUs)
{
    const std::string engine = name + "-engine";
    child &worker = start(engine,
                          {BIN_DIR "/laurelcroft-standin", "--role",
                           pool == "plain" ? "service" : "engine", "--decode-us",
                           std::to_string(decodeUs), "--delay-ms", "300"});
    m_urls[engine] = "http://127.0.0.1:" + worker.waitForWord("port ");
    std::vector<std::string> command = {BIN_DIR "/laurelcroft-agent",
                                        "--instance",
                                        name,
                                        "--data-centre",
                                        dataCentre,
                                        "--pool",
                                        pool,
                                        "--endpoint-url",
                                        m_urls[engine]};
    const auto common = commonSettings();
    command.insert(command.end(), common.begin(), common.end());
    start(name, command).waitForWord(" gossip=");
}

std::pair<int, std::string> site::runOperator(const std::vector<std::string> &words)
{
    std::vector<std::string> command = {BIN_DIR "/laurelcroft"};
    command.insert(command.end(), words.begin(), words.end());
    const std::vector<std::string> more = {"--table-url",  url("table"),     "--objects-url",
                                           url("objects"), "--signoff-keys", m_signoffKeys};
    command.insert(command.end(), more.begin(), more.end());
    if (std::find(command.begin(), command.end(), "--signoff-required") == command.end())
        command.insert(command.end(), {"--signoff-required", "2"});
    for (std::string &word : command) {
        if (word == "KEY-A" || word == "KEY-B")
            word = m_folder + (word == "KEY-A" ? "/a.key" : "/b.key");
        if (word == "BUNDLE")
            word = m_folder + "/bundle.yaml";
    }
    child run("laurelcroft", command);
    const int code = run.wait();
    return {code, run.output()};
}

void site::putInForce(const std::string &text)
{
    std::ofstream(m_folder + "/bundle.yaml") << text;
    const auto proposed = runOperator({"propose", "BUNDLE"});
    const std::string hash = proposed.second.substr(std::string("proposed ").size(), 64);
    runOperator({"sign", hash, "--key-file", "KEY-A"});
    runOperator({"sign", hash, "--key-file", "KEY-B"});
    const auto accepted = runOperator({"accept", hash});
    if (accepted.first != 0)
        throw std::runtime_error("bundle not accepted: " + proposed.second + accepted.second);
}

void site::waitForEpoch(std::uint64_t epoch)
{
    const std::string marker = "bundle in force epoch=" + std::to_string(epoch) + " ";
    for (auto &[name, item] : m_children) {
        if (item->output().find("instance started") != std::string::npos && !item->hasEnded())
            item->waitForWord(marker);
    }
}

std::shared_ptr<pending_call> site::call(http_call request)
{
    const auto pending = std::make_shared<pending_call>();
    http_call_events events;
    events.onBegin = [pending](int status, const http_headers &headers) {
        pending->status = status;
        pending->headers = headers;
    };
    events.onData = [pending](std::string_view data) { pending->body += data; };
    events.onEnd = [pending](const outcome<int, http_error> &result) {
        pending->ended = true;
        pending->failed = !result;
    };
    pending->id = m_client.start(std::move(request), std::move(events));
    return pending;
}

std::shared_ptr<pending_call> site::sendRequest(const request_options &options)
{
    http_call request;
    request.method = "POST";
    request.timeout = milliseconds(30000);
    request.headers = {{"Authorization", "Bearer key-" + options.customer}};
    if (!options.idempotencyKey.empty())
        request.headers.push_back({"Idempotency-Key", options.idempotencyKey});
    if (!options.session.empty())
        request.headers.push_back({"X-Laurelcroft-Session", options.session});
    if (options.model == "publish") {
        request.url = url(options.entry) + "/v1/services/publish";
        request.body = "{}";
        return call(std::move(request));
    }
    request.url = url(options.entry) + "/v1/chat/completions";
    request.body = json{{"model", options.model},
                        {"stream", options.stream},
                        {"max_tokens", options.tokens},
                        {"messages", {{{"role", "user"}, {"content", "hello"}}}}}
                           .dump();
    return call(std::move(request));
}

bool site::runUntil(const std::function<bool()> &done, seconds longest)
{
    const auto end = std::chrono::steady_clock::now() + longest;
    while (std::chrono::steady_clock::now() < end) {
        if (done())
            return true;
        // Polling without a pause would exceed the table's rate limit when a condition reads the
        // table.
        asio::steady_timer pause(m_context, pollInterval);
        pause.async_wait([](const asio::error_code &) {});
        m_context.restart();
        m_context.run_for(pollInterval);
    }
    return done();
}

pending_call site::sendAndWait(const request_options &options)
{
    const auto pending = sendRequest(options);
    runUntil([&] { return pending->ended; });
    return *pending;
}

void site::injectFault(const std::string &standin, const json &what)
{
    http_call request;
    request.method = "PUT";
    request.url = url(standin) + "/standin/fault";
    request.body = what.dump();
    const auto pending = call(std::move(request));
    runUntil([&] { return pending->ended; });
}

std::vector<json> site::readJournal(const std::string &standin)
{
    http_call request;
    request.url = url(standin) + "/standin/journal";
    const auto pending = call(std::move(request));
    runUntil([&] { return pending->ended; });
    std::vector<json> lines;
    std::size_t begin = 0;
    while (begin < pending->body.size()) {
        const std::size_t end = pending->body.find('\n', begin);
        lines.push_back(json::parse(pending->body.substr(begin, end - begin)));
        begin = end + 1;
    }
    return lines;
}

std::size_t site::countJournalEntries(const std::string &standin, const std::string &kind,
                                      const std::string &requestId)
{
    std::size_t count = 0;
    for (const json &line : readJournal(standin)) {
        const bool same = line.value("kind", "") == kind
                && (requestId.empty() || line.value("request_id", "") == requestId);
        count += same ? 1 : 0;
    }
    return count;
}

std::map<std::string, std::string> site::tableRows(const std::string &prefix)
{
    http_call request;
    request.url = url("table") + "/v1/table/scan?prefix=" + prefix;
    const auto pending = call(std::move(request));
    runUntil([&] { return pending->ended; });
    std::map<std::string, std::string> rows;
    const json body = json::parse(pending->body, nullptr, false);
    if (!body.is_object())
        return rows;
    for (const json &row : body.value("rows", json::array()))
        rows[row.value("key", "")] = row.value("value", "");
    return rows;
}

std::string site::readEntryMetric(const std::string &entry, const std::string &series)
{
    http_call request;
    request.url = url(entry + "-admin") + "/metrics";
    const auto pending = call(std::move(request));
    runUntil([&] { return pending->ended; });
    const std::string marker = "laurelcroft_" + series + " ";
    const std::size_t at = pending->body.find(marker);
    if (at == std::string::npos)
        return "";
    const std::size_t end = pending->body.find('\n', at);
    return pending->body.substr(at + marker.size(), end - at - marker.size());
}

std::string laurelcroft::testing::siteBundle(const std::string &small2)
{
    const std::string digest = sha256Hex("key-school");
    return R"(laurelcroft: 1
site: tests
pools:
  - {name: cheap, kind: engine}
  - {name: costly, kind: engine}
  - {name: plain, kind: service}
models:
  - {name: small, pool: cheap, input_cost: 0.1, output_cost: 0.5, versions: [{name: "1"}, {name: "2", state: )"
            + small2 + R"(}]}
  - {name: large, pool: costly, input_cost: 2, output_cost: 10, versions: [{name: "1"}]}
services:
  - {name: publish, pool: plain, repeatable: false, cost: 1}
cascades:
  - {name: plan, tiers: [small, large], quality_target: 0.9, start_score: 0.8, latency_ms: 9000}
  - {name: rebuild, tiers: [small, large], quality_target: 0.9, start_score: 0.8, latency_ms: 9000, repeatable: false}
customers:
  - {name: school, key_sha256: )"
            + digest
            + R"(, group: g, allowed: [small, large, plan, rebuild, publish], requests_per_second: 10000, burst: 10000, max_concurrent: 1000}
)";
}
