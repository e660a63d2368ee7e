//===-- FlowReporter.cpp - logs and metrics of requests -------------------===//
//
// All log lines of request flows are written here.
//
//===----------------------------------------------------------------------===//
#include "FlowReporter.h"

#include "laurelcroft/Proxy/PromptPartKeys.h"
#include "laurelcroft/Support/Log.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

using namespace laurelcroft;

/// Number of keys of prompt parts in a log line: those of four parts.
static constexpr std::size_t maxPartKeysLogged = 8;

void flow_reporter::finished(const flow_record &record, time_point now)
{
    const std::string_view reason = textOf(record.reason);
    m_metrics.add("answers_total{reason=\"" + std::string(reason) + "\"}");
    if (record.firstPart)
        m_metrics.record("first_part_seconds", *record.firstPart);
    m_metrics.record("request_seconds", record.total);
    if (record.escalations > 0)
        m_metrics.add("escalations_total", record.escalations);
    if (record.resumes > 0)
        m_metrics.add("resumes_total", record.resumes);
    if (!record.versionReason.empty())
        m_metrics.add("versions_total{by=\"" + std::string(record.versionReason) + "\"}");
    if (record.room)
        reportRoom(record, now);
    reportSecondRun(record, now);
    const bool isOrdinary = record.reason == flow_reason::served && record.resumes == 0
            && record.attempts == record.escalations + 1;
    if ((isOrdinary ? m_ordinary : m_unusual).allows(now)) {
        logFinished(record);
        logPace(record);
    }
}

void flow_reporter::reportRoom(const flow_record &record, time_point now)
{
    const room_record &room = *record.room;
    m_metrics.add("room_decisions_total{urgency=\"" + std::to_string(room.urgency) + "\",result=\""
                  + std::string(textOf(room.reason)) + "\"}");
    if (!isRefusal(room.reason) || !m_unusual.allows(now))
        return;
    logInfo(log_part::routing, "request refused for lack of room",
            {{"request", record.request},
             {"reason", textOf(room.reason)},
             {"service", record.service},
             {"customer", record.customer},
             {"urgency", std::int64_t(room.urgency)},
             {"wait_percent", std::lround(room.wait * 100)},
             {"admitted_percent", std::lround(room.admitted * 100)},
             {"load_percent", std::lround(room.load * 100)},
             {"age_ms", std::int64_t(room.age.count())},
             {"chance_percent", std::lround(room.chance * 100)},
             {"customer_demand_percent", std::lround(room.demandRatio * 100)}});
}

void flow_reporter::logFinished(const flow_record &record)
{
    const std::string_view reason = textOf(record.reason);
    logInfo(log_part::routing, "request ended",
            {{"request", record.request},
             {"reason", reason},
             {"status", std::int64_t(record.status)},
             {"session", record.session},
             {"route", record.route},
             {"customer", record.customer},
             {"service", record.service},
             {"contract", std::int64_t(record.contract)},
             {"endpoint", record.endpoint},
             {"endpoint_leaving", record.endpointLeaving ? "yes" : "no"},
             {"version", record.endpointVersion},
             {"version_by", record.versionReason},
             {"stage", record.stage},
             {"model", record.model},
             {"choice", record.choice},
             {"confidence", std::int64_t(record.confidence.value_or(-1))},
             {"service_wait_percent", std::lround(record.serviceWait * 100)},
             {"larger_expected_percent", std::lround(record.largerExpectedAt * 100)},
             {"withheld_by", record.withheldBy ? textOf(*record.withheldBy) : ""},
             {"attempts", std::int64_t(record.attempts)},
             {"escalations", std::int64_t(record.escalations)},
             {"resumes", std::int64_t(record.resumes)},
             {"events", std::int64_t(record.events)},
             {"first_ms", std::int64_t(record.firstPart.value_or(milliseconds(-1)).count())},
             {"total_ms", std::int64_t(record.total.count())}});
}

void flow_reporter::logPace(const flow_record &record)
{
    if (!record.slowdown)
        return;
    logInfo(log_part::routing, "pace of the endpoint",
            {{"request", record.request},
             {"endpoint", record.endpoint},
             {"slowdown_percent", std::lround(*record.slowdown * 100)}});
}

void flow_reporter::reportSecondRun(const flow_record &record, time_point now)
{
    if (!record.secondRun || *record.secondRun == second_run::confident)
        return;
    const std::string_view decision = textOf(*record.secondRun);
    m_metrics.add("second_runs_total{decision=\"" + std::string(decision) + "\"}");
    if (!m_secondRuns.allows(now))
        return;
    logInfo(log_part::routing, "second run considered",
            {{"request", record.request},
             {"decision", decision},
             {"route", record.route},
             {"service_pressure_percent", std::lround(record.servicePressure.value_or(0) * 100)},
             {"read_ms", std::int64_t(record.secondRunReadTime.count())},
             {"others_late_percent", std::lround(record.secondRunLate * 100)},
             {"larger_expected_percent", std::lround(record.largerExpectedAt * 100)},
             {"first_ms", std::int64_t(record.firstPart.value_or(milliseconds(-1)).count())},
             {"max_pause_ms", std::int64_t(record.maxPause.count())}});
}

/// \returns \p sends with two decimals, rounded down so that less than a whole send never reads as
/// one.
static std::string textOfSends(double sends)
{
    constexpr double hundred = 100;
    constexpr std::size_t longestText = 32;
    std::array<char, longestText> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::floor(sends * hundred) / hundred);
    return text.data();
}

void flow_reporter::attemptEnded(const flow_record &record, attempt_end end, next_step step,
                                 time_point now)
{
    m_metrics.add("attempts_total{end=\"" + std::string(textOf(end)) + "\"}");
    const bool isLast = step != next_step::tryElsewhere && step != next_step::resumeElsewhere
            && step != next_step::borrow;
    if (isLast)
        m_metrics.add("attempts_last_total{lacks=\"" + std::string(textOf(record.lack)) + "\"}");
    if (!m_unusual.allows(now))
        return;
    logInfo(log_part::routing, "attempt ended",
            {{"request", record.request},
             {"end", textOf(end)},
             {"next", textOf(step)},
             {"endpoint", record.endpoint},
             {"version", record.endpointVersion},
             {"version_by", record.versionReason},
             {"attempt", std::int64_t(record.attempts)},
             {"took_ms", std::int64_t(record.attemptDuration.count())},
             {"left_ms", std::int64_t(record.timeLeft.count())},
             {"events", std::int64_t(record.events)},
             {"endpoint_leaving", record.endpointLeaving ? "yes" : "no"},
             {"retry_after_ms",
              std::int64_t(record.endpointRetryAfter.value_or(milliseconds(-1)).count())},
             {"lacks", textOf(record.lack)},
             {"budget_left", textOfSends(record.budgetLeft)},
             {"suspected", record.isSuspected ? "yes" : "no"},
             {"request_key", record.key ? textOf(*record.key) : ""},
             {"part_keys", textOfKeys(record.partKeys, maxPartKeysLogged)}});
}

void flow_reporter::escalated(const flow_record &record, const std::string &model, time_point now)
{
    if (!m_ordinary.allows(now))
        return;
    logInfo(log_part::routing, "escalated",
            {{"request", record.request},
             {"from", record.model},
             {"to", model},
             {"confidence", std::int64_t(record.confidence.value_or(-1))},
             {"service_wait_percent", std::lround(record.serviceWait * 100)}});
}

void flow_reporter::sentFurther(const flow_record &record, further_send what)
{
    m_metrics.add("further_sends_total{service=\"" + record.service + "\",for=\""
                  + std::string(textOf(what)) + "\"}");
}

void flow_reporter::logSuppressedLines()
{
    const std::uint64_t ordinarySuppressed = m_ordinary.takeSuppressedCount();
    const std::uint64_t unusualSuppressed
            = m_unusual.takeSuppressedCount() + m_secondRuns.takeSuppressedCount();
    const std::uint64_t lost = takeDroppedLines();
    m_metrics.add("log_lines_held_total", ordinarySuppressed + unusualSuppressed);
    m_metrics.add("log_lines_lost_total", lost);
    if (ordinarySuppressed + unusualSuppressed + lost == 0)
        return;
    logWarning(log_part::routing, "log lines left out",
               {{"ordinary", std::int64_t(ordinarySuppressed)},
                {"unusual", std::int64_t(unusualSuppressed)},
                {"reader_too_slow", std::int64_t(lost)}});
}

void flow_reporter::memoryHeld(const caller_memory &memory, const caller_memory &before)
{
    m_metrics.set("held_bytes{for=\"callers\"}", static_cast<double>(memory.forCallers));
    m_metrics.set("held_bytes{for=\"endpoints\"}", static_cast<double>(memory.forEndpoints));
    m_metrics.set("held_bytes_budget", static_cast<double>(memory.budget));
    const std::uint64_t stalled = memory.cutOffStalled - before.cutOffStalled;
    const std::uint64_t idle = memory.cutOffIdle - before.cutOffIdle;
    const std::uint64_t refused = memory.refusedBodies - before.refusedBodies;
    m_metrics.add("callers_cut_off_total{reason=\"stalled\"}", stalled);
    m_metrics.add("callers_cut_off_total{reason=\"idle\"}", idle);
    m_metrics.add("bodies_refused_total", refused);
    if (stalled + idle + refused == 0)
        return;
    logWarning(log_part::routing, "memory held for slow callers",
               {{"for_callers", std::int64_t(memory.forCallers)},
                {"for_endpoints", std::int64_t(memory.forEndpoints)},
                {"budget", std::int64_t(memory.budget)},
                {"cut_off_stalled", std::int64_t(stalled)},
                {"cut_off_idle", std::int64_t(idle)},
                {"bodies_refused", std::int64_t(refused)}});
}

void flow_reporter::setGauges(time_point now)
{
    const auto &listed = m_routing.directory().all();
    const auto cold = std::count_if(listed.begin(), listed.end(),
                                    [now](const auto &item) { return item.second->isCold(now); });
    m_metrics.set("endpoints_listed", static_cast<double>(listed.size()));
    m_metrics.set("endpoints_cold", static_cast<double>(cold));
    const auto limited = std::count_if(listed.begin(), listed.end(), [](const auto &item) {
        return item.second->rateLimit().has_value();
    });
    const auto leaving = std::count_if(listed.begin(), listed.end(),
                                       [](const auto &item) { return item.second->isLeaving(); });
    m_metrics.set("endpoints_leaving", static_cast<double>(leaving));
    const auto inBackoff = std::count_if(listed.begin(), listed.end(), [now](const auto &item) {
        return item.second->isInBackoff(now);
    });
    m_metrics.set("endpoints_in_backoff", static_cast<double>(inBackoff));
    m_metrics.set("endpoints_limited", static_cast<double>(limited));
    m_metrics.set("endpoints_slow",
                  static_cast<double>(pace_watch::slowEndpoints(m_routing.directory(), now)));
    m_metrics.add("pace_changes_total", m_routing.pace().takeChanges());
    m_metrics.add("rate_limit_changes_total", m_routing.rateLimits().takeChanges());
    m_metrics.add("requests_withheld_total", m_routing.crashes().takeNewlyWithheld());
    m_metrics.set("requests_withheld", static_cast<double>(m_routing.suspects().withheld().size()));
    m_metrics.set("requests_suspected", static_cast<double>(m_routing.suspects().suspectCount()));
    m_metrics.set("entries_known", static_cast<double>(m_routing.entries()));
    for (const auto &[service, room] : m_routing.allRooms()) {
        const std::string label = "{service=\"" + service + "\"}";
        m_metrics.set("room_wait_share" + label, room.waitShare(now));
        m_metrics.set("room_load_share" + label, room.loadPerSlot(now));
    }
    for (const auto &[service, pressure] : m_routing.allPressures()) {
        if (m_routing.usesPressureInCascade(service))
            m_metrics.set("service_pressure{service=\"" + service + "\"}", pressure.level(now));
    }
    reportBorrowing();
    for (auto &[service, budget] : m_routing.allRepeats())
        m_metrics.set("further_sends_left{service=\"" + service + "\"}",
                      budget.availableSends(now, m_routing.shareOfEntries()));
}

void flow_reporter::reportBorrowing()
{
    const borrow_counts counts = m_routing.borrowing().takeCounts();
    m_metrics.add("sends_borrowed_total{result=\"granted\"}", counts.granted);
    m_metrics.add("sends_borrowed_total{result=\"denied\"}", counts.denied);
    m_metrics.add("sends_borrowed_total{result=\"unanswered\"}", counts.unanswered);
    m_metrics.add("sends_lent_total", counts.lent);
}
