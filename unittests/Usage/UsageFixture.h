//===-- UsageFixture.h - simulated entries for usage tests ------*- C++ -*-===//
//
// Simulates several entries with one store and one receiver of usage reports, on a manual clock.
// Processes can be killed, suspended and stopped. Datagrams, answers of the store and reports can
// be lost or delayed, and machines can be partitioned.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_USAGE_USAGEFIXTURE_H
#define LAURELCROFT_UNITTESTS_USAGE_USAGEFIXTURE_H

#include "../Proxy/FakeStore.h"

#include "laurelcroft/Support/Random.h"
#include "laurelcroft/Usage/UsageDuty.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace laurelcroft {

class usage_fixture;

/// How the store or the receiver of reports responds to the calls of a machine.
enum class call_mode {
    normal, ///< executed and answered
    refused, ///< answered with an error at once; not executed
    silent, ///< neither executed nor answered
    unanswered, ///< executed but not answered
    late ///< executed some seconds later and not answered
};

/// A report that reached the receiver.
struct received_report
{
    time_point at{};
    usage_report report;
};

/// A machine that runs one process, which may end and be started again.
struct usage_machine
{
    std::string name;
    std::uint64_t life = 0; ///< of the process; pending actions of an earlier one are ignored
    bool isUp = false;
    bool isSuspended = false;
    bool isPartitioned = false; ///< can't exchange datagrams with other machines
    bool isDrained = false; ///< receives no more requests, because its process is ending
    call_mode store = call_mode::normal; ///< for calls to the store
    call_mode reportSink = call_mode::normal; ///< for reports to their receiver
    /// Actions that fell due while the process was suspended.
    std::vector<std::function<void()>> pendingActions;
};

/// The runtime of one process. Timers do not fire while the process is suspended or after it ended.
class process_runtime
{
public:
    process_runtime(usage_fixture &fixture, usage_machine &machine)
        : m_fixture(fixture)
        , m_machine(machine)
        , m_life(machine.life)
    {
    }
    time_point now() const;
    timer_id after(duration delay, std::function<void()> action);
    void cancel(timer_id timer);

private:
    usage_fixture &m_fixture;
    usage_machine &m_machine;
    std::uint64_t m_life;
};

/// One process's connection to the store, subject to usage_machine::store.
class process_store
{
public:
    process_store(usage_fixture &fixture, usage_machine &machine)
        : m_fixture(fixture)
        , m_machine(machine)
        , m_life(machine.life)
    {
    }
    void list(const std::string &table, row_callback<row_batch> done);
    void follow(const std::string &table, store_version since, milliseconds wait,
                row_callback<row_batch> done);
    void write(const std::vector<row_write> &rows, row_callback<conditional_write> done);

private:
    /// Calls \p execute and reports the result to \p done, as determined by the call mode.
    template <class T>
    void call(bool isWrite, std::function<void(row_callback<T>)> execute, row_callback<T> done);

    usage_fixture &m_fixture;
    usage_machine &m_machine;
    std::uint64_t m_life;
};

/// The environment of the usage duty in one process, see usage_environment.
struct process_environment
{
    process_runtime &runtime() { return *m_runtime; }
    process_store &store() { return *m_store; }
    std::optional<milliseconds> trueTime();
    void send(const std::string &entry, const usage_message &message);
    void report(const usage_report &report, std::function<void(bool)> done);

    usage_fixture *m_fixture;
    usage_machine *m_machine;
    std::shared_ptr<process_runtime> m_runtime;
    std::shared_ptr<process_store> m_store;
};

/// A set of machines with the store, the received reports and the counts of the simulated requests.
class usage_fixture
{
public:
    /// Delivery time of datagrams and of answers from the store.
    static constexpr milliseconds messageDelay{2};
    static constexpr milliseconds callTimeout{1000};
    static constexpr usage_windows windows{milliseconds(5000)};
    static constexpr milliseconds lease{3000};
    static constexpr milliseconds due{10000};

    usage_fixture(std::size_t machines, std::uint64_t seed);

    /// Starts a new process on \p machine.
    void start(usage_machine &machine);
    /// Ends the process without notice; it is started again after a short delay.
    void kill(usage_machine &machine);
    void suspend(usage_machine &machine) { machine.isSuspended = true; }
    /// Ends a suspension and runs the pending actions.
    void resume(usage_machine &machine);
    /// Shuts the process down gracefully; it is running again some seconds later.
    void stop(usage_machine &machine);

    /// Sets the call mode of all machines for the store or for the receiver of reports.
    void setModeForAll(call_mode usage_machine::*target, call_mode mode);

    /// Advances the clock by \p time, with \p perSecond requests on average at each running
    /// machine.
    void advanceTime(duration time, double perSecond = 7);

    milliseconds trueTime() const { return trueTimeAt(runtime.now()); }
    static milliseconds trueTimeAt(time_point at);
    /// \returns the machine that has the duty; null if there is none.
    usage_machine *holder();
    std::vector<usage_machine *> allMachines();
    usage_machine &randomMachine();

    /// \returns descriptions of the rules that the received reports violate: different counts for
    /// the same window, a token lower than an earlier one, the same token from two holders, or a
    /// holder that reports again within a lease's length of its last report, after another holder.
    std::vector<std::string> violations() const;
    /// \returns the windows with requests that were due by \p latest and were not reported in time.
    std::vector<window_number> lateWindows(milliseconds latest) const;
    /// \returns the sum over all customers of the absolute difference between the reported and the
    /// actual count in \p window, as a share of the actual requests; 1 if the window was not
    /// reported.
    double relativeError(window_number window) const;
    /// \returns the counts of the first report of \p window; null if there is none.
    const customer_counts *reportedCounts(window_number window) const;
    /// \returns the number of simulated requests in \p window.
    std::uint64_t actualRequests(window_number window) const;

    /// Runs \p action after \p delay if the process \p life of \p machine is still running then.
    /// If the process is suspended, the action runs when it is resumed.
    void schedule(duration delay, usage_machine &machine, std::uint64_t life,
                  std::function<void()> action);

    manual_runtime runtime;
    fake_store store{runtime};
    random_source random;
    std::list<usage_machine> machines;
    std::map<std::string, std::unique_ptr<usage_duty<process_environment>>> duties;
    std::vector<received_report> reports; ///< in the order of their arrival
    window_counts actualCounts; ///< of the simulated requests
    double datagramLoss = 0.01; ///< probability that a datagram is lost
    metric_registry metrics;
    std::vector<std::unique_ptr<usage_duty<process_environment>>> endedDuties;

private:
    std::vector<std::string> names() const;
};

} // namespace laurelcroft

#endif
