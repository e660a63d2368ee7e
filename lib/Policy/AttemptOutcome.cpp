//===-- AttemptOutcome.cpp - what follows from an attempt -------------------===//
//
// Read stepAfter as a table, top to bottom.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/AttemptOutcome.h"

using namespace laurelcroft;

std::string_view laurelcroft::textOf(attempt_end end)
{
    switch (end) {
    case attempt_end::notSent:
        return "not_sent";
    case attempt_end::refused:
        return "refused";
    case attempt_end::answered:
        return "answered";
    case attempt_end::failed:
        return "failed";
    case attempt_end::broken:
        return "broken";
    case attempt_end::silent:
        return "silent";
    }
    return "unknown";
}

std::string_view laurelcroft::textOf(next_step step)
{
    switch (step) {
    case next_step::deliver:
        return "deliver";
    case next_step::tryElsewhere:
        return "try_elsewhere";
    case next_step::resumeElsewhere:
        return "resume_elsewhere";
    case next_step::refuse:
        return "refuse";
    case next_step::fail:
        return "fail";
    case next_step::cut:
        return "cut";
    }
    return "unknown";
}

std::string_view laurelcroft::textOf(attempt_lack lack)
{
    switch (lack) {
    case attempt_lack::nothing:
        return "nothing";
    case attempt_lack::endpoints:
        return "endpoints";
    case attempt_lack::time:
        return "time";
    case attempt_lack::chance:
        return "chance";
    case attempt_lack::budget:
        return "budget";
    }
    return "unknown";
}

attempt_lack laurelcroft::lackOf(const attempt_facts &facts)
{
    if (!facts.endpointsLeft)
        return attempt_lack::endpoints;
    if (!facts.timeLeft)
        return attempt_lack::time;
    if (!facts.hasChance)
        return attempt_lack::chance;
    return facts.budgetLeft ? attempt_lack::nothing : attempt_lack::budget;
}

next_step laurelcroft::stepAfter(attempt_end end, const attempt_facts &facts)
{
    if (end == attempt_end::answered)
        return next_step::deliver;

    const attempt_lack lack = lackOf(facts);
    // An endpoint that saw nothing says nothing of its service, and costs no budget.
    const bool mayDoWithout = end == attempt_end::notSent
            && (lack == attempt_lack::chance || lack == attempt_lack::budget);
    const bool mayGoOn = lack == attempt_lack::nothing || mayDoWithout;
    if (facts.passedOn) {
        const bool resumes = facts.resumable && mayGoOn;
        return resumes ? next_step::resumeElsewhere : next_step::cut;
    }

    const bool ranHere = end == attempt_end::failed || end == attempt_end::broken
            || end == attempt_end::silent;
    const bool harmless = facts.mayRepeat || (!ranHere && !facts.mayHaveRun);
    if (harmless && mayGoOn)
        return next_step::tryElsewhere;
    if (end == attempt_end::failed)
        return next_step::deliver;
    return ranHere || facts.mayHaveRun ? next_step::fail : next_step::refuse;
}
