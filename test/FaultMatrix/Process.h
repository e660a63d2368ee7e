//===-- Process.h - runtime of one simulated process -------------*- C++ -*-===//
//
// Wraps the manual runtime for one process, so that the process can be killed, frozen
// and thawed. Timers and messages of a frozen process are queued until it thaws; those
// of a dead process are dropped.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_TEST_FAULTMATRIX_PROCESS_H
#define LAURELCROFT_TEST_FAULTMATRIX_PROCESS_H

#include "laurelcroft/Support/Runtime.h"

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace laurelcroft::testing {

/// The runtime of one simulated process.
class process_runtime
{
public:
    explicit process_runtime(manual_runtime &clock)
        : m_clock(clock)
        , m_state(std::make_shared<state>())
    {
    }

    time_point now() const { return m_clock.now(); }

    timer_id after(duration delay, std::function<void()> action)
    {
        const timer_id id = ++m_lastTimer;
        m_state->timers[id] = std::move(action);
        m_clock.after(delay, [shared = m_state, id] {
            run(shared, [shared, id] {
                const auto node = shared->timers.extract(id);
                if (!node.empty())
                    node.mapped()();
            });
        });
        return id;
    }

    void cancel(timer_id timer) { m_state->timers.erase(timer); }

    /// Runs \p action at once, queues it while the process is frozen, or drops it if the process
    /// is dead.
    void run(std::function<void()> action) { run(m_state, std::move(action)); }

    void kill()
    {
        m_state->dead = true;
        m_state->waiting.clear();
    }

    void freeze() { m_state->frozen = true; }

    void thaw()
    {
        m_state->frozen = false;
        while (!m_state->waiting.empty() && !m_state->frozen && !m_state->dead) {
            const auto action = std::move(m_state->waiting.front());
            m_state->waiting.pop_front();
            action();
        }
    }

    bool isDead() const { return m_state->dead; }
    bool isFrozen() const { return m_state->frozen; }
    bool isRunning() const { return !m_state->dead && !m_state->frozen; }

private:
    struct state
    {
        bool dead = false;
        bool frozen = false;
        std::deque<std::function<void()>> waiting;
        std::unordered_map<timer_id, std::function<void()>> timers;
    };

    static void run(const std::shared_ptr<state> &shared, std::function<void()> action)
    {
        if (shared->dead)
            return;
        if (shared->frozen)
            shared->waiting.push_back(std::move(action));
        else
            action();
    }

    manual_runtime &m_clock;
    std::shared_ptr<state> m_state;
    timer_id m_lastTimer = 0;
};

static_assert(runtime_like<process_runtime>);

} // namespace laurelcroft::testing

#endif
