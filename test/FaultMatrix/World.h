//===-- World.h - deterministic simulation of one site ------------*- C++ -*-===//
//
// Entries and agents run their production cores over a fake table, fake links and
// fake engines, all driven by one manual clock. Faults are injected at named steps.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_TEST_FAULTMATRIX_WORLD_H
#define LAURELCROFT_TEST_FAULTMATRIX_WORLD_H

#include "Process.h"
#include "laurelcroft/Agent/AgentCore.h"
#include "laurelcroft/Entry/EntryCore.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laurelcroft::testing {

class simulated_site;
struct simulated_entry_core;
struct simulated_agent_core;

/// Faults that the simulation can inject.
enum class fault_kind {
    none,
    killEntry, ///< without notice, as SIGKILL
    killAgent, ///< without notice, as SIGKILL
    freezeEntry, ///< as SIGSTOP, then SIGCONT five seconds later
    freezeAgent, ///< as SIGSTOP, then SIGCONT five seconds later
    resetLink, ///< every open stream between entries and agents breaks once
    cutLink, ///< no message passes between one entry and one agent for six seconds
    tableDown, ///< the table cannot be reached for twenty seconds
    tableSlow, ///< for ten seconds, the client times out before a call takes effect
    loseAnswer, ///< the next write takes effect, but its answer is lost
    loseRequest, ///< the next write never reaches the table
    engineFails, ///< the next attempt fails after its engine has started
    poolFull, ///< all agents refuse for two seconds
    stopEntry, ///< planned stop: drains first
    stopAgent, ///< planned stop: drains first
    replaceAll, ///< replaces all instances one after another by planned stops
    loseDataCentre, ///< kills every instance of dc1
    lateMembership, ///< kills the agent and reports deaths ten seconds late from then on
    callerRepeats, ///< the caller sends the same key to the other entry at once
    withdraw, ///< the version in use is withdrawn
};

inline constexpr int lastFaultKind = static_cast<int>(fault_kind::withdraw);
std::string_view textOf(fault_kind kind);

/// A defect that the fakes introduce on purpose, to check that the auditor reports it.
enum class sabotage {
    none,
    runTwice, ///< engines run every attempt twice
    dropBills, ///< the table confirms bills without storing them
    doubleBills, ///< the table stores each bill under a second key as well
    mixAnswers, ///< callers receive the answer of another request
    lieNotRun, ///< errors claim that the request has not run
    otherVersion, ///< engines run a version other than the session's
    withdrawnWork, ///< engines run version 2 even after its withdrawal
    leavingWork, ///< a leaving agent still admits attempts
    cutOnStop, ///< a planned stop kills without draining
    revertEpoch, ///< the check of e1's bundle epoch reports a step backwards
    forbiddenWork, ///< engines run a model that the customer is not allowed to use
};

/// The fault to inject and the step at which to inject it.
struct fault_point
{
    std::string step;
    int occurrence = 1;
    bool after = false; ///< true: after the step has taken effect; false: before
    fault_kind kind = fault_kind::none;

    std::string text() const;
};

/// One start of an attempt at an engine.
struct engine_start
{
    time_point at{}; ///< when the agent passed the attempt to the engine
    std::string requestId;
    std::string agent;
    std::string entry;
    std::string customer;
    std::string target;
    std::string version;
    bool repeatable = true;
};

/// One request as its caller sees it.
struct caller_record
{
    caller_id id = 0;
    std::string entry;
    caller_request request;
    time_point sentAt{};
    time_point answeredAt{};
    bool headersReceived = false;
    bool ended = false; ///< the final answer has arrived or the connection was lost
    bool connectionLost = false;
    int status = 0;
    std::string body;
    http_headers headers;
    std::string executed; ///< field "executed" of an error body
    std::string code; ///< field "code" of an error body
    std::string group; ///< identifies the session; empty outside one
    std::string requestId; ///< from the response header or the idempotency key
    bool complete() const { return ended && !connectionLost && status < 400; }
    std::string header(std::string_view name) const
    {
        return std::string(findHeader(headers, name));
    }
};

/// State of the fake table, shared by all simulated processes.
struct table_store
{
    std::map<std::string, table_row> rows;
    time_point downUntil{};
    time_point slowUntil{};
    bool loseNextAnswer = false;
    bool loseNextRequest = false;
};

/// Client of the fake table for one simulated process.
class fake_table
{
public:
    fake_table(simulated_site &site, process_runtime &runtime, std::string owner)
        : m_site(site)
        , m_runtime(runtime)
        , m_owner(std::move(owner))
    {
    }
    void read(const std::string &key, table_callback<std::optional<table_row>> done);
    void insert(const std::string &key, const std::string &value,
                table_callback<write_result> done);
    void compareAndSet(const std::string &key, std::uint64_t version, const std::string &value,
                       table_callback<write_result> done);
    void insertAll(const std::vector<new_row> &rows,
                   table_callback<std::vector<write_result>> done);

private:
    template <class T>
    void call(const std::string &kind, std::function<T()> effect, table_callback<T> done);

    simulated_site &m_site;
    process_runtime &m_runtime;
    std::string m_owner;
};

/// The stream of one attempt between an entry and an agent.
struct fake_stream
{
    std::uint64_t id = 0;
    std::string entry;
    std::string agent;
    bool open = true;
    std::deque<std::function<void()>> held; ///< messages delayed by a cut link
};

/// The environment interface that entry and agent cores have in common.
class fake_instance
{
public:
    fake_instance(simulated_site &site, std::string id, std::string dataCentre);
    virtual ~fake_instance() = default;

    std::vector<std::string> billHolders();
    void copyBills(const std::string &holder, const wire::bill_copy &copy,
                   std::function<void(bool)> done);
    void readCurrentRow(std::function<void(std::optional<acceptance>)> done);
    void readBundleText(const std::string &hash,
                        std::function<void(std::optional<std::string>)> done);
    void fetchFromPeer(const std::string &peer,
                       std::function<void(std::optional<fetched_bundle>)> done);

    virtual bool holdBills(const wire::bill_copy &copy) = 0;
    virtual std::shared_ptr<const accepted_bundle> current() const = 0;
    virtual void observePeer(const fake_instance &peer) = 0;
    virtual void poll() = 0;
    virtual void peerDied(const std::string &id) = 0;
    virtual void adoptStaleBills() = 0;
    virtual bool isIdle() const = 0;

    simulated_site &site;
    std::string id;
    std::string dataCentre;
    process_runtime runtime;
    fake_table table;
    bool leaving = false;
    time_point stopBeganAt{};
    bundle_epoch highestEpoch = 0;
};

class fake_entry : public fake_instance
{
public:
    fake_entry(simulated_site &site, std::string id, std::string dataCentre);
    ~fake_entry() override;

    // Interface that entry_core requires of its environment.
    attempt_handle openAttempt(const std::string &instance, const wire::from_entry &first);
    void sendAttempt(attempt_handle handle, const wire::from_entry &message);
    void closeAttempt(attempt_handle handle);
    void consumeAttempt(attempt_handle, std::size_t) { }
    void revoke(const std::string &instance, const wire::revoke &message,
                std::function<void(std::optional<wire::revoked>)> done);
    void note(const decision &made);
    void answer(caller_id caller, answer_event event);
    void rate(const rating_sample &sample, std::function<void(std::optional<double>)> done);
    void spreadStop(const std::string &, const std::string &) { }
    bool tableReachable() const;

    bool holdBills(const wire::bill_copy &copy) override;
    std::shared_ptr<const accepted_bundle> current() const override;
    void observePeer(const fake_instance &peer) override;
    void poll() override;
    void peerDied(const std::string &id) override;
    void adoptStaleBills() override;
    bool isIdle() const override;

    std::unique_ptr<simulated_entry_core> core;
};

class fake_agent : public fake_instance
{
public:
    fake_agent(simulated_site &site, std::string id, std::string dataCentre, std::string pool);
    ~fake_agent() override;

    // Interface that agent_core requires of its environment.
    void sendToEntry(link_stream_id stream, const wire::from_agent &message);
    void closeStream(link_stream_id stream);
    void resetStream(link_stream_id stream) { closeStream(stream); }
    void startWork(work_id work, const wire::offer &offer);
    void startEngine(work_id work, const wire::offer &offer, time_point handedOverAt);
    void cancelWork(work_id work);
    void sendOrder(const engine_order &order, std::function<void(bool)> done);

    bool holdBills(const wire::bill_copy &copy) override;
    std::shared_ptr<const accepted_bundle> current() const override;
    void observePeer(const fake_instance &peer) override;
    void poll() override;
    void peerDied(const std::string &id) override;
    void adoptStaleBills() override;
    bool isIdle() const override;

    std::string pool;
    std::set<work_id> runningWork; ///< attempts that the engine is running
    std::unique_ptr<simulated_agent_core> core;
};

/// The production cores, defined here because they need complete environment types.
struct simulated_entry_core : entry_core<process_runtime, fake_table, fake_entry>
{
    using entry_core::entry_core;
};

struct simulated_agent_core : agent_core<process_runtime, fake_table, fake_agent>
{
    using agent_core::agent_core;
};

/// One site: its instances, network, table, callers and clock.
class simulated_site
{
public:
    simulated_site(std::uint64_t seed, std::vector<fault_point> faults, sabotage activeSabotage);
    ~simulated_site();

    /// Starts entries and agents and gives them three seconds to load the first bundle.
    void startSite(const bundle &rules);

    /// Writes \p rules to the table as the current bundle, with a valid signature.
    void acceptBundle(const bundle &rules);

    /// Sends \p request to \p entry. \returns the caller's id.
    caller_id send(const std::string &entry, caller_request request);
    /// Closes the caller's connection before its answer is complete.
    void disconnectCaller(caller_id caller);
    caller_record &caller(caller_id id) { return callers.at(id); }

    /// Advances the clock until \p done returns true or \p longest has passed.
    void runUntil(const std::function<bool()> &done, duration longest);

    /// Counts one passage of step \p name and injects the faults due at it.
    void step(const std::string &name, bool after, fake_entry *entry, fake_agent *agent);

    bool wasInjected(fault_kind kind) const;
    void injectFault(fault_kind kind, fake_entry *entry, fake_agent *agent);
    void kill(fake_instance &victim, bool asPlanned = false);
    void freeze(fake_instance &victim, duration length);
    void beginPlannedStop(fake_instance &victim);
    fake_entry *addEntry(const std::string &id, const std::string &dataCentre);
    fake_agent *addAgent(const std::string &id, const std::string &dataCentre,
                         const std::string &pool);

    fake_entry *findEntry(const std::string &id);
    fake_agent *findAgent(const std::string &id);
    fake_instance *find(const std::string &id);
    bool isDead(const std::string &id) const { return m_deadIds.count(id) != 0; }
    std::vector<fake_instance *> instances();
    bool isCut(const std::string &a, const std::string &b) const;
    void breakStream(std::uint64_t id);
    void deliver(std::uint64_t streamId, bool toAgent, std::function<void()> action);

    static constexpr duration latency = milliseconds(1);

    manual_runtime clock;
    random_source random;
    std::vector<fault_point> faults; ///< each is injected once
    sabotage activeSabotage;
    std::vector<fault_kind> injectedFaults; ///< in order of injection
    table_store store;
    std::map<std::string, std::string> objects;
    std::map<caller_id, caller_record> callers;
    std::vector<engine_start> engineStarts;
    std::map<std::string, std::set<std::string>>
            billHolderIds; ///< by request: instances that hold or held its bill
    std::set<std::string> killed; ///< instances that died without a planned stop
    std::map<std::string, std::set<std::string>>
            outputs; ///< by request: complete texts that engines generated
    std::vector<decision> decisions;
    std::map<std::string, int> stepCounts; ///< passages of each step, counted before its effect
    std::map<std::string, int>
            afterCounts; ///< passages counted after the effect; not every step has them
    std::map<std::uint64_t, fake_stream> streams;
    std::set<std::pair<std::string, std::string>> cuts;
    bool failNextWork = false;
    duration membershipDelay = seconds(3);
    duration workTime = milliseconds(40);
    double cheapTierScore = 0.5; ///< confidence score of answers of the model "small"
    std::vector<bundle> accepted; ///< the bundle of epoch N is at index N - 1
    std::vector<time_point> acceptedAt;
    std::map<std::string, time_point> stoppedAt; ///< when each planned stop began
    std::vector<std::string> observedViolations; ///< violations detected while the simulation runs
    std::uint64_t lastStream = 0;

private:
    void gossipTick();
    void loadTick();
    void stopTick();
    void announceMember(const fake_instance &item, wire::member_state state, duration delay);
    void cutPair(const std::string &a, const std::string &b, duration length);
    static wire::member memberOf(const fake_instance &item, wire::member_state state);

    std::map<std::string, std::unique_ptr<fake_entry>> m_entries;
    std::map<std::string, std::unique_ptr<fake_agent>> m_agents;
    std::vector<std::unique_ptr<fake_instance>>
            m_stoppedInstances; ///< kept alive because pending timers refer to them
    std::set<std::string> m_deadIds;
    caller_id m_lastCaller = 0;
    int m_gossipRounds = 0;
    int m_replacements = 0;
    signing_key m_key;
};

} // namespace laurelcroft::testing

#endif
