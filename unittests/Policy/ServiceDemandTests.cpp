//===-- ServiceDemandTests.cpp - who else uses a service -------------------===//
//
// Rates and usual requests, from this entry's answers and from reports of others.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ServiceDemand.h"

#include <doctest/doctest.h>

using namespace laurelcroft;

using fractional_ms = service_demand::fractional_ms;

TEST_CASE("demand is unknown at first and follows the answers")
{
    service_demand demand;
    time_point now{seconds(100)};
    CHECK(demand.answersPerSecond(now) == 0);
    CHECK(demand.objective(fractional_ms(700)) == fractional_ms(700));
    CHECK(demand.urgency(3) == 3);
    CHECK(demand.promptTokens() == 0);
    for (int i = 0; i < 100; ++i) {
        const bool isUrgent = i % 2 == 0;
        demand.addAnswer(isUrgent ? milliseconds(1000) : milliseconds(3000), isUrgent ? 0 : 2,
                         isUrgent ? 500 : 1500, now += milliseconds(100));
    }
    CHECK(demand.ownAnswersPerSecond(now) == doctest::Approx(10).epsilon(0.1));
    CHECK(demand.objective(fractional_ms(0)).count() == doctest::Approx(2000).epsilon(0.1));
    CHECK(demand.urgency(0) == doctest::Approx(1).epsilon(0.1));
    CHECK(demand.promptTokens() == doctest::Approx(1000).epsilon(0.1));
    CHECK(demand.ownAnswersPerSecond(now + seconds(20)) < 0.1);
    CHECK(demand.ownAnswersPerSecond(now - seconds(20)) < 20); // a clock that steps back
}

TEST_CASE("the rate of an entry is the mean over those that report")
{
    service_demand demand;
    time_point now{seconds(100)};
    for (int i = 0; i < 100; ++i) {
        demand.addAnswer(milliseconds(1000), 0, 500, now += milliseconds(100));
        demand.addReportedRate(2, now);
    }
    CHECK(demand.answersPerSecond(now) == doctest::Approx(2.4).epsilon(0.1));
    // Without reports, this entry's own rate stands for the others'.
    for (int i = 0; i < 200; ++i)
        demand.addAnswer(milliseconds(1000), 0, 500, now += milliseconds(100));
    CHECK(demand.answersPerSecond(now) == doctest::Approx(10).epsilon(0.1));
}
