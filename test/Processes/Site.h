//===-- Site.h - test fixture that runs a site of real processes -*- C++ -*-===//
//
// Starts stand-ins, entries and agents as processes on loopback, reads their ports from
// their output, and ends them by process id.
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

/// A child process whose output goes to a temporary file.
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

    /// Waits until the process has printed \p marker. \returns the word after it.
    std::string waitForWord(const std::string &marker) const;
    std::string output() const;
    int pid() const { return m_pid; }

private:
    std::string m_name;
    std::string m_logPath;
    int m_pid = -1;
    std::optional<int> m_exitCode;
};

/// An HTTP call and what has been received of its response.
struct pending_call
{
    http_call_id id = 0;
    bool ended = false;
    bool failed = false; ///< the connection was lost or the call timed out
    int status = 0;
    http_headers headers;
    std::string body;
    bool complete() const { return ended && !failed && status == http_status::ok; }
    std::string header(std::string_view name) const
    {
        return std::string(findHeader(headers, name));
    }
};

/// Parameters of a request to an entry.
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

/// A site with a table, an object store, a ratings service, endpoints with agents, and entries.
class site
{
public:
    site();
    ~site();

    child &start(const std::string &name, const std::vector<std::string> &command);
    child &process(const std::string &name) { return *m_children.at(name); }
    void startEntry(const std::string &name, const std::string &dataCentre);
    /// \param decodeUs time per generated token at the agent's endpoint, in microseconds.
    void startAgent(const std::string &name, const std::string &dataCentre, const std::string &pool,
                    int decodeUs);

    /// Runs the operator command with \p words. \returns its exit code and output.
    std::pair<int, std::string> runOperator(const std::vector<std::string> &words);
    /// Proposes the bundle \p text, signs it with both operators' keys and accepts it.
    void putInForce(const std::string &text);
    /// Waits until every running entry and agent has bundle \p epoch in force.
    void waitForEpoch(std::uint64_t epoch);

    /// Starts a request to an entry; runUntil() advances it.
    std::shared_ptr<pending_call> sendRequest(const request_options &options);
    std::shared_ptr<pending_call> call(http_call request);
    /// Closes the connection of an unfinished call.
    void cancelCall(const pending_call &call) { m_client.cancel(call.id); }
    /// Runs the client until \p done returns true. \returns false if \p longest passes first.
    bool runUntil(const std::function<bool()> &done, seconds longest = seconds(20));
    /// Sends a request and waits for the end of its response.
    pending_call sendAndWait(const request_options &options);

    /// Configures a fault at a stand-in.
    void injectFault(const std::string &standin, const nlohmann::json &what);
    /// \returns the journal lines of a stand-in.
    std::vector<nlohmann::json> readJournal(const std::string &standin);
    /// Counts the journal lines of \p kind; an empty \p requestId matches every request.
    std::size_t countJournalEntries(const std::string &standin, const std::string &kind,
                                    const std::string &requestId);
    /// \returns the current table rows whose keys start with \p prefix, as key and value.
    std::map<std::string, std::string> tableRows(const std::string &prefix);

    std::string url(const std::string &name) const { return m_urls.at(name); }
    /// \returns the value of a metric of \p entry, or an empty string if it has none.
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

/// \returns the bundle that the process tests use, with small@2 in state \p small2.
std::string siteBundle(const std::string &small2);

} // namespace laurelcroft::testing

#endif
