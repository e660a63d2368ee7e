//===-- AttemptOutcome.cpp - next step after an attempt -------------------===//
//
// stepAfter reads as a decision table, from top to bottom.
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
    case next_step::borrow:
        return "borrow";
    case next_step::refuse:
        return "refuse";
    case next_step::fail:
        return "fail";
    case next_step::cut:
        return "cut";
    }
    return "unknown";
}

std::string_view laurelcroft::textOf(retry_blocker lack)
{
    switch (lack) {
    case retry_blocker::nothing:
        return "nothing";
    case retry_blocker::endpoints:
        return "endpoints";
    case retry_blocker::time:
        return "time";
    case retry_blocker::chance:
        return "chance";
    case retry_blocker::budget:
        return "budget";
    }
    return "unknown";
}

retry_blocker laurelcroft::retryBlockerOf(const attempt_facts &facts)
{
    if (!facts.endpointsLeft)
        return retry_blocker::endpoints;
    if (!facts.timeLeft)
        return retry_blocker::time;
    if (!facts.worthRetrying)
        return retry_blocker::chance;
    return facts.budgetLeft ? retry_blocker::nothing : retry_blocker::budget;
}

next_step laurelcroft::stepAfter(attempt_end end, const attempt_facts &facts)
{
    if (end == attempt_end::answered)
        return next_step::deliver;

    const retry_blocker lack = retryBlockerOf(facts);
    // An attempt that did not reach its endpoint tells nothing about the service and uses no
    // budget.
    const bool mayDoWithout = end == attempt_end::notSent
            && (lack == retry_blocker::chance || lack == retry_blocker::budget);
    const bool mayGoOn = lack == retry_blocker::nothing || mayDoWithout;
    if (facts.partDelivered) {
        if (facts.resumable && mayGoOn)
            return next_step::resumeElsewhere;
        const bool borrows = facts.resumable && facts.mayBorrow && lack == retry_blocker::budget;
        return borrows ? next_step::borrow : next_step::cut;
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
