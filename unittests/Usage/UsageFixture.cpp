//===-- UsageFixture.cpp - simulated entries for usage tests --------------===//
//
// The objects of an ended process are kept until the fixture is destroyed, but they receive no more
// calls.
//
//===----------------------------------------------------------------------===//
#include "UsageFixture.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

/// Difference between true time and the runtime's clock; an arbitrary value.
constexpr milliseconds trueTimeOffset{1'700'000'000'123};
constexpr milliseconds timeStep{10}; ///< step of advanceTime()
constexpr milliseconds maxReportDelay{400}; ///< upper bound of a report's delivery time
constexpr milliseconds restartDelay{400}; ///< from the end of a process to the next start
constexpr milliseconds drainTime{2600}; ///< from retire() until requests stop

} // namespace

time_point process_runtime::now() const
{
    return m_fixture.runtime.now();
}

timer_id process_runtime::after(duration delay, std::function<void()> action)
{
    m_fixture.schedule(delay, m_machine, m_life, std::move(action));
    return 1;
}

void process_runtime::cancel(timer_id) { }

template <class T>
void process_store::call(bool isWrite, std::function<void(row_callback<T>)> execute,
                         row_callback<T> done)
{
    const call_mode mode = m_machine.store;
    const auto fail = [this, done](milliseconds after, row_failure reason) {
        m_fixture.schedule(after, m_machine, m_life, [done, reason] { done(failure(reason)); });
    };
    const row_callback<T> ignored = [](outcome<T, row_failure>) {};
    switch (mode) {
    case call_mode::normal:
        // The store executes the call even if the caller ends in the meantime.
        execute([this, done, life = m_life, &fixture = m_fixture,
                 &machine = m_machine](outcome<T, row_failure> result) {
            fixture.schedule(usage_fixture::messageDelay, machine, life,
                             [done, result] { done(result); });
        });
        return;
    case call_mode::refused:
        fail(usage_fixture::messageDelay, row_failure::notDone);
        return;
    case call_mode::silent:
        break;
    case call_mode::unanswered:
        execute(ignored);
        break;
    case call_mode::late:
        if (isWrite) {
            const milliseconds wait(
                    static_cast<std::int64_t>(1000 + 5000 * m_fixture.random.uniform()));
            m_fixture.runtime.after(wait, [execute, ignored] { execute(ignored); });
        }
        break;
    }
    fail(usage_fixture::callTimeout, row_failure::unknown);
}

void process_store::list(const std::string &table, row_callback<row_batch> done)
{
    call<row_batch>(
            false,
            [&fixture = m_fixture, table](row_callback<row_batch> callback) {
                fixture.store.list(table, callback);
            },
            std::move(done));
}

void process_store::follow(const std::string &table, store_version since, milliseconds wait,
                           row_callback<row_batch> done)
{
    m_fixture.store.follow(table, since, wait, std::move(done));
}

void process_store::write(const std::vector<row_write> &rows, row_callback<conditional_write> done)
{
    call<conditional_write>(
            true,
            [&fixture = m_fixture, rows](row_callback<conditional_write> callback) {
                fixture.store.write(rows, callback);
            },
            std::move(done));
}

std::optional<milliseconds> process_environment::trueTime()
{
    return m_fixture->trueTime();
}

void process_environment::send(const std::string &entry, const usage_message &message)
{
    usage_fixture &fixture = *m_fixture;
    if (m_machine->isPartitioned || fixture.random.chance(fixture.datagramLoss))
        return;
    for (usage_machine &to : fixture.machines) {
        if (to.name != entry || to.isPartitioned || !to.isUp)
            continue;
        const std::string bytes = encodeUsageMessage(message);
        fixture.schedule(usage_fixture::messageDelay, to, to.life, [&fixture, &to, bytes] {
            const std::optional<usage_message> decoded = decodeUsageMessage(bytes);
            if (decoded)
                fixture.duties.at(to.name)->onMessage(*decoded);
        });
    }
}

void process_environment::report(const usage_report &report, std::function<void(bool)> done)
{
    usage_fixture &fixture = *m_fixture;
    usage_machine &machine = *m_machine;
    const call_mode mode = machine.reportSink;
    const auto answer = [&](duration after, bool isAccepted) {
        fixture.schedule(after, machine, machine.life, [done, isAccepted] { done(isAccepted); });
    };
    if (mode == call_mode::refused) {
        answer(usage_fixture::messageDelay, false);
        return;
    }
    const milliseconds wait(
            static_cast<std::int64_t>(maxReportDelay.count() * fixture.random.uniform()));
    if (mode != call_mode::silent) {
        fixture.runtime.after(wait, [&fixture, report] {
            fixture.reports.push_back({fixture.runtime.now(), report});
        });
    }
    if (mode == call_mode::normal)
        answer(wait + usage_fixture::messageDelay, true);
    else
        answer(reportTimeout, false);
}

usage_fixture::usage_fixture(std::size_t count, std::uint64_t seed)
    : random(seed)
{
    for (std::size_t i = 0; i < count; ++i)
        machines.emplace_back().name = "edge-" + std::to_string(i);
    for (usage_machine &machine : machines)
        start(machine);
}

std::vector<std::string> usage_fixture::names() const
{
    std::vector<std::string> names;
    for (const usage_machine &machine : machines)
        names.push_back(machine.name);
    return names;
}

void usage_fixture::start(usage_machine &machine)
{
    ++machine.life;
    machine.isUp = true;
    machine.isSuspended = false;
    machine.isDrained = false;
    machine.pendingActions.clear();
    process_environment environment{this, &machine,
                                    std::make_shared<process_runtime>(*this, machine),
                                    std::make_shared<process_store>(*this, machine)};
    auto duty = std::make_unique<usage_duty<process_environment>>(
            environment, usage_settings{machine.name, windows, lease, due}, metrics);
    duty->setEntries(names());
    duty->start();
    if (duties[machine.name])
        endedDuties.push_back(std::move(duties[machine.name]));
    duties[machine.name] = std::move(duty);
}

void usage_fixture::kill(usage_machine &machine)
{
    machine.isUp = false;
    machine.isSuspended = false;
    ++machine.life;
    runtime.after(restartDelay, [this, &machine, life = machine.life] {
        if (machine.life == life)
            start(machine);
    });
}

void usage_fixture::resume(usage_machine &machine)
{
    machine.isSuspended = false;
    const auto waiting = std::exchange(machine.pendingActions, {});
    for (const auto &action : waiting)
        action();
}

void usage_fixture::stop(usage_machine &machine)
{
    if (!machine.isUp || machine.isSuspended)
        return;
    usage_duty<process_environment> &duty = *duties.at(machine.name);
    duty.retire();
    schedule(drainTime, machine, machine.life, [this, &duty, &machine] {
        machine.isDrained = true;
        duty.finish(milliseconds(250), [this, &machine] { kill(machine); });
    });
}

void usage_fixture::schedule(duration delay, usage_machine &machine, std::uint64_t life,
                             std::function<void()> action)
{
    runtime.after(delay, [&machine, life, action = std::move(action)] {
        if (machine.life != life || !machine.isUp)
            return;
        if (machine.isSuspended)
            machine.pendingActions.push_back(action);
        else
            action();
    });
}

void usage_fixture::advanceTime(duration time, double perSecond)
{
    const std::chrono::duration<double> step = timeStep;
    for (duration passed{}; passed < time; passed += timeStep) {
        runtime.advance(timeStep);
        for (usage_machine &machine : machines) {
            const bool serves = machine.isUp && !machine.isSuspended && !machine.isDrained;
            if (!serves || !random.chance(perSecond * step.count()))
                continue;
            const std::string customer = "customer-" + std::to_string(random.bits() % 24);
            duties.at(machine.name)->count(customer, runtime.now(), 1);
            ++actualCounts[windows.windowAt(trueTime())][customer];
        }
    }
}

milliseconds usage_fixture::trueTimeAt(time_point at)
{
    return trueTimeOffset + std::chrono::duration_cast<milliseconds>(at.time_since_epoch());
}

usage_machine *usage_fixture::holder()
{
    for (usage_machine &machine : machines) {
        if (machine.isUp && duties.at(machine.name)->isHolder())
            return &machine;
    }
    return nullptr;
}

std::vector<usage_machine *> usage_fixture::allMachines()
{
    std::vector<usage_machine *> items;
    for (usage_machine &machine : machines)
        items.push_back(&machine);
    return items;
}

void usage_fixture::setModeForAll(call_mode usage_machine::*target, call_mode mode)
{
    for (usage_machine &machine : machines)
        machine.*target = mode;
}

usage_machine &usage_fixture::randomMachine()
{
    return *allMachines()[random.bits() % machines.size()];
}

/// \returns true if a holder reported again within \p lease of its last report although another
/// holder had reported in between.
static bool returnsTooSoon(std::span<const received_report> reports, milliseconds lease)
{
    std::map<std::string, time_point> lastOf;
    std::string last;
    for (const received_report &item : reports) {
        const std::string &holder = item.report.holder;
        const auto before = lastOf.find(holder);
        if (holder != last && before != lastOf.end() && item.at - before->second < lease)
            return true;
        lastOf[holder] = item.at;
        last = holder;
    }
    return false;
}

std::vector<std::string> usage_fixture::violations() const
{
    std::vector<std::string> found;
    std::map<window_number, customer_counts> reported;
    std::map<std::uint64_t, std::string> holderOf;
    std::uint64_t highest = 0;
    for (const received_report &item : reports) {
        const usage_report &report = item.report;
        const auto [counts, isNew] = reported.emplace(report.window, report.counts);
        if (!isNew && counts->second != report.counts)
            found.push_back("different counts for window " + std::to_string(report.window));
        if (report.token < highest)
            found.push_back("token " + std::to_string(report.token) + " after "
                            + std::to_string(highest));
        highest = std::max(highest, report.token);
        const auto [holder, isNewToken] = holderOf.emplace(report.token, report.holder);
        if (!isNewToken && holder->second != report.holder)
            found.push_back("two holders with token " + std::to_string(report.token));
    }
    if (returnsTooSoon(reports, lease))
        found.push_back("a former holder returned too soon");
    return found;
}

std::vector<window_number> usage_fixture::lateWindows(milliseconds latest) const
{
    std::vector<window_number> found;
    for (const auto &[window, counts] : actualCounts) {
        const milliseconds dueAt = windows.endOf(window) + due;
        if (dueAt > latest)
            continue;
        const bool isReported = std::any_of(reports.begin(), reports.end(), [&](const auto &item) {
            return item.report.window == window && trueTimeAt(item.at) <= dueAt;
        });
        if (!isReported)
            found.push_back(window);
    }
    return found;
}

const customer_counts *usage_fixture::reportedCounts(window_number window) const
{
    const auto it = std::find_if(reports.begin(), reports.end(), [window](const auto &item) {
        return item.report.window == window;
    });
    return it == reports.end() ? nullptr : &it->report.counts;
}

std::uint64_t usage_fixture::actualRequests(window_number window) const
{
    std::uint64_t total = 0;
    const auto it = actualCounts.find(window);
    if (it == actualCounts.end())
        return 0;
    for (const auto &[customer, count] : it->second)
        total += count;
    return total;
}

double usage_fixture::relativeError(window_number window) const
{
    const customer_counts *reported = reportedCounts(window);
    if (!reported)
        return 1;
    double difference = 0;
    for (const auto &[customer, count] : actualCounts.at(window)) {
        const auto it = reported->find(customer);
        const double reportedCount = it == reported->end() ? 0 : static_cast<double>(it->second);
        difference += std::abs(reportedCount - static_cast<double>(count));
    }
    return difference / static_cast<double>(actualRequests(window));
}
