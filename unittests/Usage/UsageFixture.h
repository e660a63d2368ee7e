//===-- UsageFixture.h - entries that share the usage duty ---------*- C++ -*-===//
//
// Entries over one store and one taker of reports, on a paused clock. Processes are killed,
// suspended and stopped; datagrams, the store's answers and reports are lost, late or cut off.
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

/// How the store, or whoever takes reports, treats an entry.
enum class call_mode {
    normal,
    refused, ///< at once; nothing is done
    silent, ///< nothing is done, and nobody answers
    unanswered, ///< it is done
    late ///< it is done some seconds later, and not answered
};

/// A report that came through.
struct received_report
{
    time_point at{};
    usage_report report;
};

/// One machine; its process may end and begin anew.
struct usage_machine
{
    std::string name;
    std::uint64_t life = 0; ///< of the process; what belongs to an earlier one is void
    bool isUp = false;
    bool isSuspended = false;
    bool isPartitioned = false; ///< from the other machines
    bool isDrained = false; ///< its callers have gone, and it ends
    call_mode store = call_mode::normal;
    call_mode reportSink = call_mode::normal;
    std::vector<std::function<void()>> pendingActions; ///< what came while it was suspended
};

/// The runtime of one process: its timers stand still while it is suspended, and end with it.
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

/// The store as one process reaches it.
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
    void follow(const std::string &table, std::uint64_t since, milliseconds wait,
                row_callback<row_batch> done);
    void write(const std::vector<row_write> &rows, row_callback<conditional_write> done);

private:
    template <class T>
    void call(bool isWrite, std::function<void(row_callback<T>)> make, row_callback<T> done);

    usage_fixture &m_fixture;
    usage_machine &m_machine;
    std::uint64_t m_life;
};

/// What is around one process.
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

/// All of them.
class usage_fixture
{
public:
    static constexpr milliseconds messageDelay{2};
    static constexpr milliseconds callTimeout{1000};
    static constexpr usage_windows windows{milliseconds(5000)};
    static constexpr milliseconds lease{3000};
    static constexpr milliseconds due{10000};

    usage_fixture(std::size_t machines, std::uint64_t seed);

    void start(usage_machine &machine);
    void kill(usage_machine &machine);
    void suspend(usage_machine &machine) { machine.isSuspended = true; }
    void resume(usage_machine &machine);
    /// Stops a process in order; it is up again some seconds later.
    void stop(usage_machine &machine);

    /// Sets how the store, or whoever takes reports, treats all machines.
    void setModeForAll(call_mode usage_machine::*by, call_mode how);

    /// Lets time pass, with \p perSecond requests at each machine that is up.
    void advanceTime(duration time, double perSecond = 7);

    milliseconds trueTime() const { return trueTimeAt(runtime.now()); }
    static milliseconds trueTimeAt(time_point at);
    /// \returns the machine that has the duty; null: none.
    usage_machine *holder();
    std::vector<usage_machine *> allMachines();
    usage_machine &randomMachine();

    /// \returns what the reports broke: two counts for a window, a lower token after a higher one,
    /// a token of two holders, a holder back within a lease's length of its last report.
    std::vector<std::string> violations() const;
    /// \returns windows that were over by \p latest and never reported, or after they were due.
    std::vector<window_number> lateWindows(milliseconds latest) const;
    /// \returns the greatest difference of a customer's reported count of \p window from the truth,
    /// as a share of the window's requests.
    double relativeError(window_number window) const;
    const customer_counts *reportedCounts(window_number window) const;
    std::uint64_t actualRequests(window_number window) const;

    /// Runs \p action at the machine's process \p life after \p delay, unless it has ended then.
    void schedule(duration delay, usage_machine &machine, std::uint64_t life,
                  std::function<void()> action);

    manual_runtime runtime;
    fake_store store{runtime};
    random_source random;
    std::list<usage_machine> machines;
    std::map<std::string, std::unique_ptr<usage_duty<process_environment>>> duties;
    std::vector<received_report> reports;
    window_counts actualCounts;
    double datagramLoss = 0.01;
    metric_registry metrics;
    std::vector<std::unique_ptr<usage_duty<process_environment>>> endedDuties;

private:
    std::vector<std::string> names() const;
};

} // namespace laurelcroft

#endif
