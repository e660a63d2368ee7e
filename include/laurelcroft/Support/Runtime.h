//===-- Support/Runtime.h - clock and timers ---------------------*- C++ -*-===//
//
// Decision code never reads a clock of its own. It is given a runtime: the asio
// one in the binaries, the manual one in tests, which pause and advance it.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_RUNTIME_H
#define LAURELCROFT_SUPPORT_RUNTIME_H

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace asio {
class io_context;
}

namespace laurelcroft {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Handle of a pending timer; 0 is never a timer.
using timer_id = std::uint64_t;

/// What every runtime offers: a clock reading and one-shot timers.
template <class R>
concept runtime_like
        = requires(R runtime, duration delay, std::function<void()> action, timer_id timer)
{
    {
        runtime.now()
        } -> std::same_as<time_point>;
    {
        runtime.after(delay, std::move(action))
        } -> std::same_as<timer_id>;
    runtime.cancel(timer);
};

/// The clock of production. It reads CLOCK_BOOTTIME, which also counts the time
/// in which the machine slept, so that a lease is never thought to be younger
/// than it is.
time_point bootNow();

/// For tests: from now on bootNow() is \p asleep further on, as after a suspension of the instance,
/// which the steady clock does not count.
void simulateSuspension(duration asleep);

/// Milliseconds since the epoch, for records that people read and for what is accounted by time of
/// day. It may jump: no timer uses it.
std::int64_t wallMilliseconds();

/// Runtime over an asio context; use it from the context's own thread only.
class asio_runtime
{
public:
    explicit asio_runtime(asio::io_context &context);
    ~asio_runtime();
    asio_runtime(const asio_runtime &) = delete;
    asio_runtime &operator=(const asio_runtime &) = delete;

    time_point now() const { return bootNow(); }
    timer_id after(duration delay, std::function<void()> action);
    void cancel(timer_id timer);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// Runtime of the tests: time stands still until it is advanced.
class manual_runtime
{
public:
    time_point now() const { return m_now; }
    timer_id after(duration delay, std::function<void()> action);
    void cancel(timer_id timer);

    /// Runs all timers that fall due within \p step, in order of time, then of creation.
    void advance(duration step);

    /// Moves the clock without running timers, as a frozen process sees it on waking.
    void jump(duration step) { m_now += step; }

    /// Runs the next timer, moving the clock to it.
    /// \returns false when no timer is pending.
    bool runNext();

    /// \returns the number of pending timers.
    std::size_t pending() const { return m_timers.size(); }

private:
    time_point m_now{std::chrono::hours(1)};
    timer_id m_lastTimer = 0;
    std::map<std::pair<time_point, timer_id>, std::function<void()>> m_timers;
};

static_assert(runtime_like<asio_runtime>);
static_assert(runtime_like<manual_runtime>);

} // namespace laurelcroft

#endif
