//===-- PressureCascadeTests.cpp - larger models under pressure ------------===//
//
// Which second runs on a larger model are worth the delay of other requests.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/PressureCascade.h"

#include <doctest/doctest.h>

#include <limits>

using namespace laurelcroft;

namespace {

using fractional_ms = second_run_view::fractional_ms;

/// A doubtful answer while eight requests are beside the second run.
second_run_view doubtful(double pressure, fractional_ms readTime)
{
    second_run_view view;
    view.confidence = 20;
    view.pressure = pressure;
    view.expectedAt = 0.2;
    view.readTime = readTime;
    view.requestsBeside = 8;
    return view;
}

constexpr fractional_ms shortRead{40};
constexpr fractional_ms longRead{600};

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
    CHECK(decideSecondRun(doubtful(0.4, shortRead)) == second_run::sent);
    CHECK(decideSecondRun(doubtful(0.4, longRead)) == second_run::delaysOthers);
    double previous = 0;
    for (int ms = 0; ms <= 2000; ms += 50) {
        const double late = expectedLateRequests(doubtful(0.4, fractional_ms(ms)));
        CHECK(late >= previous);
        previous = late;
    }
}

TEST_CASE("pressure delays the more, the higher it is, and stops nothing at once")
{
    const fractional_ms medium{200};
    double previous = 0;
    for (int percent = 0; percent <= 60; ++percent) {
        const double late = expectedLateRequests(doubtful(percent / 100.0, medium));
        CHECK(late >= previous - 1e-9);
        CHECK(late < previous + 0.1); // no step
        previous = late;
    }
}

TEST_CASE("a prompt that holds up streams beyond their longest pause needs an endpoint without any")
{
    const fractional_ms beyondPause{1500};
    CHECK(decideSecondRun(doubtful(0.05, beyondPause)) == second_run::delaysOthers);
    second_run_view alone = doubtful(0.05, beyondPause);
    alone.requestsBeside = 0.5;
    CHECK(decideSecondRun(alone) == second_run::sent);
}

TEST_CASE("an answer that is probably late gains little")
{
    second_run_view view = doubtful(0.4, fractional_ms(150));
    CHECK(decideSecondRun(view) == second_run::sent);
    view.expectedAt = 0.95;
    CHECK(decideSecondRun(view) == second_run::delaysOthers);
}

TEST_CASE("false values of the pressure neither stop short prompts nor fail")
{
    const double huge = 1e9;
    CHECK(decideSecondRun(doubtful(-1, longRead)) == second_run::sent);
    CHECK(decideSecondRun(doubtful(huge, longRead)) == second_run::delaysOthers);
    CHECK(expectedLateRequests(doubtful(huge, shortRead)) < 0.01);
    CHECK(expectedLateRequests(doubtful(std::numeric_limits<double>::infinity(), longRead)) >= 0);
}
