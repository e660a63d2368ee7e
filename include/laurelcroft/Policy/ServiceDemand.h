//===-- Policy/ServiceDemand.h - who else uses a service --------*- C++ -*-===//
//
// How many answers per second an entry gets from a service, and for which requests: their usual
// latency objective and urgency. Tells how many requests a long prompt delays, and how much time
// they have. Samples lose weight with time. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_SERVICEDEMAND_H
#define LAURELCROFT_POLICY_SERVICEDEMAND_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// Recent requests to one service.
class service_demand
{
public:
    using fractional_ms = std::chrono::duration<double, std::milli>;

    /// Adds a request that was answered.
    /// \param urgency priority, 0 is the most urgent.
    /// \param tokens of its prompt.
    void addAnswer(milliseconds objective, int urgency, unsigned tokens, time_point now);

    /// Adds the rate that another entry reports.
    void addReportedRate(double perSecond, time_point now);

    /// \returns answers per second at one entry: the mean of this entry's and of those reported.
    double answersPerSecond(time_point now) const;

    /// \returns answers per second at this entry.
    double ownAnswersPerSecond(time_point now) const;

    /// \returns the mean objective of recent requests, or \p otherwise if none is known.
    fractional_ms objective(fractional_ms otherwise) const;

    /// \returns the mean urgency of recent requests, or \p otherwise if none is known.
    double urgency(double otherwise) const;

    /// \returns the mean number of tokens of recent prompts; 0 if none is known.
    double promptTokens() const;

private:
    struct decayed_sum
    {
        double value = 0;
        time_point updatedAt{};

        double at(time_point now) const;
        void add(double amount, time_point now);
    };
    decayed_sum m_answers;
    decayed_sum m_objectives; ///< in milliseconds
    decayed_sum m_urgencies;
    decayed_sum m_tokens;
    decayed_sum m_reports;
    decayed_sum m_reportedRates; ///< per second
};

} // namespace laurelcroft

#endif
