//===-- ServiceDemand.cpp - who else uses a service -----------------------===//
//
// Decayed sums: a sum of ones divided by the mean age of its items is a rate.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ServiceDemand.h"

#include "laurelcroft/Support/Decay.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

/// Half-life of a sample. Demand changes over seconds.
constexpr milliseconds halfLife{1500};
/// Mean time for which a sample counts, in seconds.
const double meanAge = std::chrono::duration<double>(halfLife).count() / std::log(2.0);
/// Largest rate of one entry that is believed, in answers per second.
constexpr double maxReportedRate = 1000;

} // namespace

double service_demand::decayed_sum::at(time_point now) const
{
    return value * decayFactor(now - updatedAt, halfLife);
}

void service_demand::decayed_sum::add(double amount, time_point now)
{
    value = at(now) + amount;
    updatedAt = now;
}

void service_demand::addAnswer(milliseconds objective, int urgency, unsigned tokens, time_point now)
{
    m_answers.add(1, now);
    m_objectives.add(static_cast<double>(objective.count()), now);
    m_urgencies.add(urgency, now);
    m_tokens.add(tokens, now);
}

void service_demand::addReportedRate(double perSecond, time_point now)
{
    m_reports.add(1, now);
    m_reportedRates.add(std::clamp(perSecond, 0.0, maxReportedRate), now);
}

double service_demand::ownAnswersPerSecond(time_point now) const
{
    return m_answers.at(now) / meanAge;
}

double service_demand::answersPerSecond(time_point now) const
{
    return (ownAnswersPerSecond(now) + m_reportedRates.at(now)) / (1 + m_reports.at(now));
}

service_demand::fractional_ms service_demand::objective(fractional_ms otherwise) const
{
    return m_answers.value > 0 ? fractional_ms(m_objectives.value / m_answers.value) : otherwise;
}

double service_demand::urgency(double otherwise) const
{
    return m_answers.value > 0 ? m_urgencies.value / m_answers.value : otherwise;
}

double service_demand::promptTokens() const
{
    return m_answers.value > 0 ? m_tokens.value / m_answers.value : 0;
}
