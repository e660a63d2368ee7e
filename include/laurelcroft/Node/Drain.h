//===-- Node/Drain.h - planned stop of a process -----------------*- C++ -*-===//
//
// SIGTERM or SIGINT begins a drain; the process ends when it is idle, or when the
// drain's bound has passed.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_NODE_DRAIN_H
#define LAURELCROFT_NODE_DRAIN_H

#include "laurelcroft/Support/EventLoopThread.h"
#include "laurelcroft/Support/Runtime.h"

#include <functional>

namespace laurelcroft {

/// What a drain does; all run on the main thread but for \c begin and \c isIdle,
/// which run on the routing duty.
struct drain_steps
{
    std::function<void()> begin;
    std::function<bool()> isIdle;
    duration least = milliseconds(0); ///< time that the others need to hear of it
    duration longest = seconds(120);
};

/// Blocks until a signal came and the drain ended. \returns true when it ended idle.
/// Call \c blockStopSignals first, before any thread starts.
bool waitAndDrain(event_loop_thread &routing, const drain_steps &steps);

/// Keeps the stop signals for \c waitAndDrain in all threads.
void blockStopSignals();

} // namespace laurelcroft

#endif
