//===-- Site.h - a small site of real processes ------------------*- C++ -*-===//
//
// Starts stand-ins, entries and agents as processes on loopback, finds their
// ports in what they print, and ends them by process id.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_TEST_PROCESSES_SITE_H
#define LAURELCROFT_TEST_PROCESSES_SITE_H

#include "laurelcroft/Http/Client.h"
#include "laurelcroft/Support/Crypto.h"
#include "laurelcroft/Support/Runtime.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laurelcroft::testing {

/// One child process; its output goes to a file.
class child
{
public:
    child(std::string name, const std::vector<std::string> &command);
    ~child();
    child(const child &) = delete;
    child &operator=(const child &) = delete;

    void signal(int number) const;

    /// Waits until the process has ended. \returns its exit code, or -1 for a signal.
    int wait();
    bool hasEnded();

    /// Waits until \p marker was printed. \returns the word that follows it.
    std::string waitForWord(const std::string &marker) const;
    std::string output() const;
    int pid() const { return m_pid; }

private:
    std::string m_name;
    std::string m_logPath;
    int m_pid = -1;
    std::optional<int> m_exitCode;
};

/// A call that is under way.
struct pending_call
{
    http_call_id id = 0;
    bool ended = false;
    bool failed = false; ///< cut or timed out
    int status = 0;
    http_headers headers;
    std::string body;
    bool complete() const { return ended && !failed && status == http_status::ok; }
    std::string header(std::string_view name) const
    {
        return std::string(findHeader(headers, name));
    }
};

/// How to ask for something.
struct request_options
{
    std::string entry = "e1";
    std::string model = "small";
    std::string customer = "school";
    std::string idempotencyKey;
    std::string session;
    bool stream = false;
    int tokens = 8;
};

/// The site: a table, an object store, ratings, engines with agents, entries.
class site
{
public:
    site();
    ~site();

    child &start(const std::string &name, const std::vector<std::string> &command);
    child &process(const std::string &name) { return *m_children.at(name); }
    void startEntry(const std::string &name, const std::string &dataCentre);
    /// \param decodeUs time of one token at its engine.
    void startAgent(const std::string &name, const std::string &dataCentre, const std::string &pool,
                    int decodeUs);

    /// Runs the operators' command. \returns exit code and output.
    std::pair<int, std::string> runOperator(const std::vector<std::string> &words);
    /// Writes and puts in force \p text as both operators.
    void putInForce(const std::string &text);
    void waitForEpoch(std::uint64_t epoch);

    std::shared_ptr<pending_call> sendRequest(const request_options &options);
    std::shared_ptr<pending_call> call(http_call request);
    /// Closes the connection of a call that is under way.
    void cancelCall(const pending_call &call) { m_client.cancel(call.id); }
    /// Runs the client until \p done holds. \returns false after \p longest.
    bool runUntil(const std::function<bool()> &done, seconds longest = seconds(20));
    /// Asks and waits for the end.
    pending_call sendAndWait(const request_options &options);

    void injectFault(const std::string &standin, const nlohmann::json &what);
    std::vector<nlohmann::json> readJournal(const std::string &standin);
    std::size_t countJournalEntries(const std::string &standin, const std::string &kind,
                                    const std::string &requestId);
    /// \returns the keys under \p prefix that the table holds now, with their values.
    std::map<std::string, std::string> tableRows(const std::string &prefix);

    std::string url(const std::string &name) const { return m_urls.at(name); }
    std::string readEntryMetric(const std::string &entry, const std::string &series);

private:
    std::vector<std::string> commonSettings() const;

    asio::io_context m_context;
    http_client m_client;
    std::map<std::string, std::unique_ptr<child>> m_children;
    std::map<std::string, std::string> m_urls;
    std::vector<std::string> m_seeds;
    std::string m_folder;
    std::string m_signoffKeys;
};

/// The bundle that the process tests use; \p small2 is the state of small@2.
std::string siteBundle(const std::string &small2);

} // namespace laurelcroft::testing

#endif
