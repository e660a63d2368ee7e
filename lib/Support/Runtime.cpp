//===-- Runtime.cpp - clock and timers --------------------------------------===//
//
// asio_runtime owns its timers in a map, so that a timer can be cancelled by its identifier and is
// destroyed with the runtime.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/Runtime.h"

#include "laurelcroft/Support/BootTimer.h"

#include <asio/io_context.hpp>

#include <atomic>
#include <ctime>
#include <unordered_map>

using namespace laurelcroft;

/// Total length of all simulated suspensions, in nanoseconds.
static std::atomic<std::int64_t> simulatedSuspension{0};

time_point laurelcroft::bootNow()
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    const duration suspended(simulatedSuspension.load(std::memory_order_relaxed));
    return time_point(seconds(reading.tv_sec) + duration(reading.tv_nsec) + suspended);
}

void laurelcroft::simulateSuspension(duration length)
{
    simulatedSuspension += length.count();
}

std::int64_t laurelcroft::wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

struct asio_runtime::state
{
    explicit state(asio::io_context &context)
        : context(context)
    {
    }
    asio::io_context &context;
    timer_id lastTimer = 0;
    std::unordered_map<timer_id, boot_timer> timers;
};

asio_runtime::asio_runtime(asio::io_context &context)
    : m_state(std::make_shared<state>(context))
{
}

asio_runtime::~asio_runtime() = default;

timer_id asio_runtime::after(duration delay, std::function<void()> action)
{
    const timer_id id = ++m_state->lastTimer;
    auto [it, inserted] = m_state->timers.try_emplace(id, m_state->context);
    it->second.expires_after(delay);
    // A handler may still be queued when the runtime is destroyed; the weak pointer detects that.
    it->second.async_wait([weak = std::weak_ptr<state>(m_state), id,
                           action = std::move(action)](const asio::error_code &error) {
        const auto strong = weak.lock();
        if (error || !strong || strong->timers.erase(id) == 0)
            return;
        action();
    });
    return id;
}

void asio_runtime::cancel(timer_id timer)
{
    m_state->timers.erase(timer);
}

timer_id manual_runtime::after(duration delay, std::function<void()> action)
{
    const timer_id id = ++m_lastTimer;
    m_timers.emplace(std::pair(m_now + delay, id), std::move(action));
    return id;
}

void manual_runtime::cancel(timer_id timer)
{
    for (auto it = m_timers.begin(); it != m_timers.end(); ++it) {
        if (it->first.second != timer)
            continue;
        m_timers.erase(it);
        return;
    }
}

bool manual_runtime::runNext()
{
    if (m_timers.empty())
        return false;
    auto node = m_timers.extract(m_timers.begin());
    m_now = std::max(m_now, node.key().first);
    node.mapped()();
    return true;
}

void manual_runtime::advance(duration step)
{
    const time_point target = m_now + step;
    while (!m_timers.empty() && m_timers.begin()->first.first <= target)
        runNext();
    m_now = target;
}
