//===-- World.h - small fakes around the real decisions ----------*- C++ -*-===//
//
// Entries and agents run their real cores over a fake table, fake links and fake
// engines, on one paused clock. A fault strikes at a named step.
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

/// What can go wrong.
enum class fault_kind {
    none,
    killEntry,
    killAgent,
    freezeEntry,
    freezeAgent,
    resetLink, ///< the connection between entry and agent breaks once
    cutLink, ///< nothing passes between them for six seconds
    tableDown, ///< twenty seconds
    tableSlow, ///< answers after the client's deadline, for ten seconds
    loseAnswer, ///< the next write takes effect, its answer is lost
    loseRequest, ///< the next write never arrives
    engineFails, ///< the next work fails after it started
    poolFull, ///< all agents refuse for two seconds
    stopEntry, ///< planned
    stopAgent, ///< planned
    replaceAll, ///< all instances, one after another, planned
    loseDataCentre, ///< every instance of dc1
    lateMembership, ///< deaths are heard of ten seconds late
    callerRepeats, ///< the caller sends the same key to the other entry at once
    withdraw, ///< the version in use is withdrawn
};

inline constexpr int lastFaultKind = static_cast<int>(fault_kind::withdraw);
std::string_view textOf(fault_kind kind);

/// A switch in the fakes that breaks one promise on purpose, to prove the auditor.
enum class sabotage {
    none,
    runTwice, ///< the engine runs every work twice
    dropBills, ///< the table loses bills
    doubleBills, ///< bills are written under a second key as well
    mixAnswers, ///< callers get another request's text
    lieNotRun, ///< errors say that nothing has run
    otherVersion, ///< the engine is given another version than the session's
    withdrawnWork, ///< agents take work for withdrawn versions
    leavingWork, ///< a leaving agent's endpoint is given work
    cutOnStop, ///< a planned stop kills
    revertEpoch, ///< a process takes an older bundle
    forbiddenWork, ///< an engine runs what the customer may not use
};

/// Where a fault strikes.
struct fault_point
{
    std::string step;
    int occurrence = 1;
    bool after = false; ///< after the step's effect
    fault_kind kind = fault_kind::none;

    std::string text() const;
};

/// One start of work at an engine.
struct engine_start
{
    time_point at{}; ///< when the agent admitted it
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
    bool ended = false; ///< has its final answer
    bool connectionLost = false; ///< the connection broke
    int status = 0;
    std::string body;
    http_headers headers;
    std::string executed; ///< of an error
    std::string code; ///< of an error
    std::string group; ///< requests of one session share it
    std::string requestId; ///< as the headers or the key tell
    bool complete() const { return ended && !connectionLost && status < 400; }
    std::string header(std::string_view name) const
    {
        return std::string(findHeader(headers, name));
    }
};

/// The table's store, shared by all processes.
struct table_store
{
    std::map<std::string, table_row> rows;
    time_point downUntil{};
    time_point slowUntil{};
    bool loseNextAnswer = false;
    bool loseNextRequest = false;
};

/// A process's client of the fake table.
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

/// One attempt's stream between an entry and an agent.
struct fake_stream
{
    std::uint64_t id = 0;
    std::string entry;
    std::string agent;
    bool open = true;
    std::deque<std::function<void()>> held; ///< messages that a cut holds back
};

/// What entry and agent share of the environment.
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
    time_point leftAt{};
    bundle_epoch highestEpoch = 0;
};

class fake_entry : public fake_instance
{
public:
    fake_entry(simulated_site &site, std::string id, std::string dataCentre);
    ~fake_entry() override;

    // The environment of the core.
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

    // The environment of the core.
    void sendToEntry(link_stream_id stream, const wire::from_agent &message);
    void closeStream(link_stream_id stream);
    void resetStream(link_stream_id stream) { closeStream(stream); }
    void startWork(work_id work, const wire::offer &offer);
    void startEngine(work_id work, const wire::offer &offer, time_point givenAt);
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
    std::set<work_id> runningWork; ///< that the engine runs
    std::unique_ptr<simulated_agent_core> core;
};

/// The real cores; named here because an environment is complete only now.
struct simulated_entry_core : entry_core<process_runtime, fake_table, fake_entry>
{
    using entry_core::entry_core;
};

struct simulated_agent_core : agent_core<process_runtime, fake_table, fake_agent>
{
    using agent_core::agent_core;
};

/// Everything together.
class simulated_site
{
public:
    simulated_site(std::uint64_t seed, std::vector<fault_point> faults, sabotage activeSabotage);
    ~simulated_site();

    /// Starts entries and agents and waits until the first bundle is in force.
    void startSite(const bundle &rules);

    /// Puts \p rules in force as an operator would.
    void acceptBundle(const bundle &rules);

    /// Sends a caller's request to \p entry. \returns its number.
    caller_id send(const std::string &entry, caller_request request);
    void disconnectCaller(caller_id caller);
    caller_record &caller(caller_id id) { return callers.at(id); }

    /// Runs the clock until \p done or \p longest has passed.
    void runUntil(const std::function<bool()> &done, duration longest);

    /// Names a step that is passed; a fault may strike here.
    void step(const std::string &name, bool after, fake_entry *entry, fake_agent *agent);

    bool wasInjected(fault_kind kind) const;
    void injectFault(fault_kind kind, fake_entry *entry, fake_agent *agent);
    void kill(fake_instance &victim, bool asPlanned = false);
    void freeze(fake_instance &victim, duration length);
    void planStop(fake_instance &victim);
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
    std::vector<fault_point> faults; ///< each strikes once
    sabotage activeSabotage;
    std::vector<fault_kind> injectedFaults; ///< so far
    table_store store;
    std::map<std::string, std::string> objects;
    std::map<caller_id, caller_record> callers;
    std::vector<engine_start> engineStarts;
    std::map<std::string, std::set<std::string>> billHolderIds; ///< who held a request's bill
    std::set<std::string> killed; ///< dead without a planned stop
    std::map<std::string, std::set<std::string>> outputs; ///< texts engines made for a request
    std::vector<decision> decisions;
    std::map<std::string, int> stepCounts; ///< before their effect
    std::map<std::string, int> afterCounts; ///< after it; not every step has one
    std::map<std::uint64_t, fake_stream> streams;
    std::set<std::pair<std::string, std::string>> cuts;
    bool failNextWork = false;
    duration membershipDelay = seconds(3);
    duration workTime = milliseconds(40);
    double cheapTierScore = 0.5; ///< confidence of the cheap tier
    std::vector<bundle> accepted; ///< by epoch, from 1
    std::vector<time_point> acceptedAt;
    std::map<std::string, time_point> stoppedAt; ///< planned stops
    std::vector<std::string> observedViolations; ///< that the fakes noticed themselves
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
            m_stoppedInstances; ///< stay until the end: timers point there
    std::set<std::string> m_deadIds;
    caller_id m_lastCaller = 0;
    int m_rounds = 0;
    int m_replacements = 0;
    signing_key m_key;
};

} // namespace laurelcroft::testing

#endif
