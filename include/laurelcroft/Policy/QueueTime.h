//===-- Policy/QueueTime.h - wait behind queued requests --------*- C++ -*-===//
//
// Expected wait behind the requests that an endpoint has queued. Load: more requests than an
// endpoint has slots, or more prompts than a model engine has read. An endpoint reports how many
// wait, but not what they are, so each counts as a mean request of this entry. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_QUEUETIME_H
#define LAURELCROFT_POLICY_QUEUETIME_H

#include <algorithm>

namespace laurelcroft {

/// Mean of recent values.
class recent_mean
{
public:
    void add(double value)
    {
        ++m_samples;
        m_mean += std::max(sampleWeight, 1.0 / m_samples) * (value - m_mean);
    }

    /// \returns 0 without samples.
    double value() const { return m_mean; }

private:
    /// Weight of one sample: the mean covers the last 50, since requests differ by an order of
    /// magnitude.
    static constexpr double sampleWeight = 1.0 / 50;

    double m_mean = 0;
    unsigned m_samples = 0;
};

/// Mean work of one request of a service, in milliseconds at the usual pace.
struct mean_work
{
    recent_mean readingMs; ///< of the prompt
    recent_mean runMs; ///< from the first part of the answer to its end, or of the whole request
};

/// The queue of one endpoint.
struct endpoint_queue
{
    double load = 0; ///< running and waiting requests
    double slots = 1; ///< requests that run concurrently
    double waiting = 0; ///< waiting requests
    double knownReadingMs = 0; ///< of the prompts that are known to be waiting
};

/// \returns the expected wait behind \p queue, in milliseconds at the usual pace.
inline double queueTimeMs(const endpoint_queue &queue, const mean_work &work)
{
    const double beyondSlots = std::max(0.0, queue.load + 1 - queue.slots);
    const double forSlotMs = beyondSlots / queue.slots * work.runMs.value();
    // Known prompts are among those that wait.
    const double readingMs = std::max(queue.knownReadingMs, queue.waiting * work.readingMs.value());
    return forSlotMs + readingMs;
}

} // namespace laurelcroft

#endif
