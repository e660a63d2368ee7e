//===-- Support/Runtime.h - clock and timers ---------------------*- C++ -*-===//
//
// Code that makes time-dependent decisions reads the clock and sets timers through a runtime
// object: asio_runtime in production, manual_runtime in tests, where the test advances the clock.
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

/// Identifies a pending timer; 0 is never assigned.
using timer_id = std::uint64_t;

/// Requirements of a runtime: a clock and one-shot timers.
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

/// \returns the time of CLOCK_BOOTTIME. Unlike CLOCK_MONOTONIC it advances while the machine is
/// suspended, so that the age of a lease is never underestimated.
time_point bootNow();

/// For tests: advances bootNow() by \p length, as a suspension of the instance would. The steady
/// clock is not affected.
void simulateSuspension(duration length);

/// \returns milliseconds since the Unix epoch, for records that people read and for accounting by
/// time of day. The value may jump, so timers must not use it.
std::int64_t wallMilliseconds();

/// Runtime based on an asio::io_context. Use it only from the thread that runs the io_context.
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

/// Runtime for tests, whose clock moves only when the test advances it.
class manual_runtime
{
public:
    time_point now() const { return m_now; }
    timer_id after(duration delay, std::function<void()> action);
    void cancel(timer_id timer);

    /// Advances the clock by \p step and runs the timers that expire on the way, in order of
    /// expiry, then of creation.
    void advance(duration step);

    /// Advances the clock without running timers, as happens to a process that was suspended.
    void advanceWithoutTimers(duration step) { m_now += step; }

    /// Advances the clock to the next timer's expiry and runs the timer.
    /// \returns false if no timer is pending.
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
