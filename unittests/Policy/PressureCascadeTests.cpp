//===-- PressureCascadeTests.cpp - larger models under pressure ------------===//
//
// Which second runs on a larger model are worth the delay of other requests.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/PressureCascade.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>

using namespace laurelcroft;

namespace {

using fractional_ms = second_run_view::fractional_ms;

/// A doubtful answer of a usual request, where eight requests per second arrive at an endpoint.
second_run_view doubtful(double pressure, fractional_ms readTime)
{
    second_run_view view;
    view.confidence = 20;
    view.pressure = pressure;
    view.expectedAt = 0.2;
    view.readTime = readTime;
    view.tokens = view.usualTokens = 4000;
    view.usualObjective = fractional_ms(2000);
    view.requestsPerSecond = 8;
    return view;
}

constexpr fractional_ms shortRead{40};
constexpr fractional_ms longRead{900};

} // namespace

TEST_CASE("a calm service runs doubtful answers again, whatever the prompt's length")
{
    CHECK(decideSecondRun(doubtful(0, shortRead)) == second_run::sent);
    CHECK(decideSecondRun(doubtful(0.05, longRead)) == second_run::sent);
}

TEST_CASE("confidence and the objective limit second runs also on a calm service")
{
    second_run_view view = doubtful(0, shortRead);
    view.confidence = view.keepFrom;
    CHECK(decideSecondRun(view) == second_run::confident);
    view = doubtful(0, shortRead);
    view.expectedAt = 1.01;
    CHECK(decideSecondRun(view) == second_run::late);
}

TEST_CASE("under pressure long prompts give way first")
{
    CHECK(decideSecondRun(doubtful(0.25, shortRead)) == second_run::sent);
    CHECK(decideSecondRun(doubtful(0.25, longRead)) == second_run::delaysOthers);
    double previous = 0;
    for (int ms = 0; ms <= 3000; ms += 50) {
        const double late = expectedLateRequests(doubtful(0.25, fractional_ms(ms)));
        CHECK(late >= previous);
        previous = late;
    }
}

TEST_CASE("among prompts of equal length, the less certain answer and the more urgent request win")
{
    second_run_view view = doubtful(0.2, fractional_ms(400));
    view.usualUrgency = 1;
    const auto decide = [&](int confidence, int urgency) {
        view.confidence = confidence;
        view.urgency = urgency;
        return decideSecondRun(view);
    };
    CHECK(decide(0, 1) == second_run::sent);
    CHECK(decide(45, 1) == second_run::delaysOthers);
    CHECK(decide(45, 0) == second_run::sent);
    CHECK(decide(0, 3) == second_run::delaysOthers);
}

TEST_CASE("a longer prompt counts for more, up to a limit")
{
    second_run_view view = doubtful(0, longRead);
    const double usual = gainOf(view);
    view.tokens = 3 * view.usualTokens;
    CHECK(gainOf(view) == doctest::Approx(2 * usual));
    view.tokens = 1e6 * view.usualTokens;
    CHECK(gainOf(view) == doctest::Approx(3 * usual));
    view.usualTokens = 0; // nothing known yet
    CHECK(gainOf(view) == doctest::Approx(usual));
}

TEST_CASE("the harm rises and falls with the pressure without a step")
{
    double previous = 0;
    for (int percent = 0; percent <= 60; ++percent) {
        const double late = expectedLateRequests(doubtful(percent / 100.0, fractional_ms(200)));
        CHECK(late >= previous - 1e-9);
        CHECK(late < previous + 0.1);
        previous = late;
    }
}

TEST_CASE("the longest prompts run again as soon as hardly anybody else is there")
{
    second_run_view view = doubtful(0.25, fractional_ms(3000));
    CHECK(decideSecondRun(view) == second_run::delaysOthers);
    view.requestsPerSecond = 0.2;
    CHECK(decideSecondRun(view) == second_run::sent);
}

TEST_CASE("an answer that is probably late gains little")
{
    second_run_view view = doubtful(0.2, fractional_ms(250));
    CHECK(decideSecondRun(view) == second_run::sent);
    view.expectedAt = 0.95;
    CHECK(decideSecondRun(view) == second_run::delaysOthers);
}

TEST_CASE("false values of the pressure neither stop short prompts nor fail")
{
    const double huge = 1e9;
    CHECK(decideSecondRun(doubtful(-1, longRead)) == second_run::sent);
    CHECK(decideSecondRun(doubtful(huge, longRead)) == second_run::delaysOthers);
    CHECK(expectedLateRequests(doubtful(huge, longRead)) <= 1e9);
    for (const double value : {huge, std::numeric_limits<double>::infinity()}) {
        const second_run_view view = doubtful(value, shortRead);
        CHECK(std::isfinite(gainOf(view)));
        CHECK(gainOf(view) >= 0);
    }
}
