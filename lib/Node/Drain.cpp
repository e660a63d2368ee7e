//===-- Drain.cpp - planned stop of a process -------------------------------===//
//
// The main thread waits for the signal and asks the routing duty for its state.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Node/Drain.h"

#include "laurelcroft/Support/Log.h"

#include <csignal>
#include <future>
#include <thread>

using namespace laurelcroft;

namespace {
constexpr auto idleCheck = std::chrono::milliseconds(20);
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

static bool askIdle(event_loop_thread &routing, const std::function<bool()> &isIdle)
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
    logInfo(log_part::start, "planned stop begins");
    routing.post(steps.begin);
    const time_point began = bootNow();
    for (;;) {
        const duration passed = bootNow() - began;
        if (passed >= steps.least && askIdle(routing, steps.isIdle))
            break;
        if (passed >= steps.longest) {
            logWarning(log_part::start, "planned stop ends before all work is done");
            return false;
        }
        std::this_thread::sleep_for(idleCheck);
    }
    logInfo(log_part::start, "planned stop ends");
    return true;
}
