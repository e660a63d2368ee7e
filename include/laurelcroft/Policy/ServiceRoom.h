//===-- Policy/ServiceRoom.h - expected wait at a service -------*- C++ -*-===//
//
// Estimates how long a request waits at the endpoints of one service, from what they state with
// their answers and from the waits that this entry observes. The estimate of one endpoint is stale
// at an entry that gets few of its answers; the mean over the service is not, since each answer
// adds to it. Not thread-safe.
//
// A false statement of one endpoint must neither open nor shut the service: a stated queue counts
// only up to a limit, the slots are those of the endpoint's row, and a wait that is observed counts
// if it is longer than what is stated.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_SERVICEROOM_H
#define LAURELCROFT_POLICY_SERVICEROOM_H

#include "laurelcroft/Policy/CustomerShares.h"
#include "laurelcroft/Support/Runtime.h"

#include <optional>

namespace laurelcroft {

/// Estimates for one service at one entry.
class service_room
{
public:
    /// Adds the load of an endpoint that an answer states.
    /// \param perSlot running and waiting requests, divided by the slots.
    void addLoad(double perSlot, time_point now);

    /// Adds the queue of an endpoint that an answer states.
    /// \param perSlot waiting requests, divided by the number that is run at a time: the slots, or
    /// 1 for an endpoint that reads prompts one after the other. \param objective of the answered
    /// request's route.
    void addQueue(double perSlot, milliseconds objective, time_point now);

    /// Adds the time that an answer took, from its send.
    /// \param loadPerSlot running and waiting requests at its endpoint from its send to its answer,
    /// as far as known, divided in the same way.
    void addAnswerTime(milliseconds time, double loadPerSlot, time_point now);

    /// Adds a wait that was observed, without the work on the request itself.
    void addObservedWait(milliseconds wait, milliseconds objective, time_point now);

    /// \returns the expected wait at the service; 0 if nothing is known. A wait that is not
    /// confirmed loses half of its value each second.
    milliseconds wait(time_point now) const;

    /// \returns the same as a share of the answered requests' objectives.
    double waitShare(time_point now) const;

    /// \returns true once answers have shown for a while how much waits. The first ones are those
    /// of the shortest requests, and say nothing of the requests sent since.
    bool isLoadKnown(time_point now) const
    {
        return m_firstSampleAt && now - *m_firstSampleAt >= startTime;
    }

    /// \returns the mean load of an endpoint, divided by its slots.
    double loadPerSlot(time_point now) const;

    /// \returns the time since the last answer that showed a wait or the absence of one.
    duration age(time_point now) const { return now - m_sampledAt; }

    /// \returns the usual time of an answer that does not wait; 0 if nothing is known.
    milliseconds answerTime() const { return std::chrono::ceil<milliseconds>(workTime()); }

    /// Records that \p fraction of demand is admitted at the current wait.
    void noteFraction(double fraction, time_point now) { m_fraction.add(fraction, now); }

    /// \returns the part of demand that was admitted recently, 0 to 1.
    double usualFraction() const { return m_fraction.weight > 0 ? m_fraction.mean() : 1; }

    customer_shares &shares() { return m_shares; }

private:
    /// Half-life of a sample's weight: some answers of an entry with little traffic, and short
    /// compared with the time in which a queue grows to the objective.
    static constexpr milliseconds sampleHalfLife{150};
    /// Half-life of a sample's weight in the answer time, which changes slowly.
    static constexpr milliseconds answerHalfLife{2000};
    /// Half-life of the admitted part of demand, from which fair shares follow: long compared with
    /// the time in which the wait settles.
    static constexpr milliseconds fractionHalfLife{700};
    static constexpr milliseconds startTime{400}; ///< several times the usual answer time
    static constexpr double answerSamples = 32; ///< enough for a stable mean
    static constexpr double waitSamples = 3; ///< a single endpoint may have an unusual queue
    /// With fewer samples, a customer with little demand is mistaken for one with an excess.
    static constexpr double fractionSamples = 16;
    using milliseconds_f = std::chrono::duration<double, std::milli>;
    struct decaying_mean
    {
        milliseconds halfLife; ///< of a sample's weight relative to newer ones
        double minSamples = 1; ///< number of samples whose mean it is at least
        double weight = 0;
        double sum = 0;
        time_point updatedAt{};
        double mean() const { return sum / weight; }
        void add(double value, time_point now);
        double value(time_point now) const;
    };

    /// \returns the mean time of an answer without the wait. By Little's law, the time with the
    /// wait is longer by the ratio of the load to the slots, in whatever order requests are run.
    milliseconds_f workTime() const;

    decaying_mean m_answerMs{answerHalfLife, answerSamples};
    decaying_mean m_answerLoad{answerHalfLife, answerSamples};
    decaying_mean m_waitMs{sampleHalfLife, waitSamples};
    decaying_mean m_waitShare{sampleHalfLife, waitSamples};
    decaying_mean m_loadPerSlot{sampleHalfLife, waitSamples};
    decaying_mean m_fraction{fractionHalfLife, fractionSamples};
    time_point m_sampledAt{};
    std::optional<time_point> m_firstSampleAt;
    customer_shares m_shares;
};

} // namespace laurelcroft

#endif
