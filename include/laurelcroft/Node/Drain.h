//===-- Node/Drain.h - graceful shutdown -------------------------*- C++ -*-===//
//
// SIGTERM or SIGINT starts a drain. The process exits when it is idle or when the time
// limit of the drain has passed.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_NODE_DRAIN_H
#define LAURELCROFT_NODE_DRAIN_H

#include "laurelcroft/Support/EventLoopThread.h"
#include "laurelcroft/Support/Runtime.h"

#include <functional>

namespace laurelcroft {

/// Callbacks and time limits of a drain. The callbacks run on the routing thread.
struct drain_steps
{
    std::function<void()> begin;
    std::function<bool()> isIdle;
    duration minDuration = milliseconds(0); ///< time for other instances to learn of the drain
    duration maxDuration = seconds(120);
};

/// Blocks until a stop signal arrives and the drain that follows has ended.
/// \returns true if the process became idle, false if the time limit passed first.
/// \c blockStopSignals must be called first, before any thread starts.
bool waitAndDrain(event_loop_thread &routing, const drain_steps &steps);

/// Blocks the stop signals in all threads, so that only \c waitAndDrain receives them, and
/// ignores SIGPIPE.
void blockStopSignals();

} // namespace laurelcroft

#endif
