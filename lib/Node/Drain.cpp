//===-- Drain.cpp - graceful shutdown ---------------------------------------===//
//
// The main thread waits for the stop signal, then polls the routing thread until it is idle.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Node/Drain.h"

#include "laurelcroft/Support/Log.h"

#include <csignal>
#include <future>
#include <thread>

using namespace laurelcroft;

namespace {
constexpr auto idleCheckInterval = std::chrono::milliseconds(20);
}

static sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void laurelcroft::blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

static bool queryIdle(event_loop_thread &routing, const std::function<bool()> &isIdle)
{
    std::promise<bool> answer;
    routing.post([&] { answer.set_value(isIdle()); });
    return answer.get_future().get();
}

bool laurelcroft::waitAndDrain(event_loop_thread &routing, const drain_steps &steps)
{
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
    logInfo(log_part::start, "drain begins");
    routing.post(steps.begin);
    const time_point start = bootNow();
    for (;;) {
        const duration elapsed = bootNow() - start;
        if (elapsed >= steps.minDuration && queryIdle(routing, steps.isIdle))
            break;
        if (elapsed >= steps.maxDuration) {
            logWarning(log_part::start, "drain timed out with unfinished work");
            return false;
        }
        std::this_thread::sleep_for(idleCheckInterval);
    }
    logInfo(log_part::start, "drain complete");
    return true;
}
