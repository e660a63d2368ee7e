//===-- UsageLedger.cpp - combined counts of all entries ------------------===//
//
// The row is encoded as JSON so that operators can read it.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Usage/UsageLedger.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::string_view entryKeyPrefix = "entry/";

} // namespace

std::int64_t usage_ledger::applyNotice(const usage_notice &notice)
{
    const usage_process process{notice.entry, notice.life};
    // A process may be unknown because its progress was removed. The batches up to
    // notice.acknowledged were saved in the row before that, so they are counted already.
    const auto [it, isNew] = m_progress.try_emplace(process);
    if (isNew)
        it->second.lastCounted = notice.acknowledged;
    std::int64_t late = 0;
    for (const usage_batch &batch : notice.batches) {
        if (batch.number != it->second.lastCounted + 1)
            continue;
        it->second.lastCounted = batch.number;
        it->second.closedBefore = std::max(it->second.closedBefore, batch.closedBefore);
        late += applyBatch(batch);
    }
    return late;
}

std::int64_t usage_ledger::applyBatch(const usage_batch &batch)
{
    std::int64_t late = 0;
    for (const auto &[window, counts] : batch.counts) {
        const bool isOpen = window >= m_decidedBefore;
        for (const auto &[customer, number] : counts) {
            if (isOpen)
                m_open[window][customer] += number;
            else
                late += number;
        }
    }
    return late;
}

std::optional<usage_progress> usage_ledger::progressOf(const usage_process &process) const
{
    const auto it = m_progress.find(process);
    if (it == m_progress.end())
        return std::nullopt;
    return it->second;
}

std::vector<std::string> usage_ledger::incompleteEntries(window_number window,
                                                         std::span<const std::string> names) const
{
    // m_progress is ordered by entry and life, so that the latest process of an entry decides: the
    // earlier ones have ended.
    std::map<std::string, bool> isClosed;
    for (const std::string &name : names)
        isClosed[name] = false;
    for (const auto &[process, progress] : m_progress) {
        const bool isComplete = progress.closedBefore > window;
        const bool isTooFarBehind = progress.closedBefore + maxAwaitedLag < window;
        isClosed[process.first] = isComplete || isTooFarBehind;
    }
    std::vector<std::string> open;
    for (const auto &[name, closed] : isClosed) {
        if (!closed)
            open.push_back(name);
    }
    return open;
}

void usage_ledger::decideNext()
{
    customer_counts counts = openCounts(m_decidedBefore);
    // Customers that had no requests run are not reported.
    std::erase_if(counts, [](const auto &item) { return item.second <= 0; });
    m_decided[m_decidedBefore] = std::move(counts);
    m_open.erase(m_decidedBefore);
    ++m_decidedBefore;
    removeSilentProcesses();
}

void usage_ledger::removeSilentProcesses()
{
    std::erase_if(m_progress, [this](const auto &item) {
        return item.second.closedBefore + maxTrackedLag < m_decidedBefore;
    });
}

std::optional<decided_window> usage_ledger::oldestUnreported() const
{
    if (m_decided.empty())
        return std::nullopt;
    return decided_window{m_decided.begin()->first, m_decided.begin()->second};
}

std::size_t usage_ledger::dropBefore(window_number window)
{
    const std::size_t before = m_decided.size();
    m_decided.erase(m_decided.begin(), m_decided.lower_bound(window));
    // No entry has had the duty for a long time, and the entries no longer keep the counts of these
    // windows.
    return before - m_decided.size() + dropUndecidedBefore(window);
}

std::size_t usage_ledger::dropUndecidedBefore(window_number window)
{
    if (m_decidedBefore >= window)
        return 0;
    const std::size_t dropped = window - m_decidedBefore;
    m_decidedBefore = window;
    m_open.erase(m_open.begin(), m_open.lower_bound(window));
    return dropped;
}

customer_counts usage_ledger::openCounts(window_number window) const
{
    const auto it = m_open.find(window);
    return it == m_open.end() ? customer_counts() : it->second;
}

std::string laurelcroft::usageEntryKey(std::string_view entry)
{
    return std::string(entryKeyPrefix) + std::string(entry);
}

bool laurelcroft::isUsageEntryKey(std::string_view key)
{
    return key.starts_with(entryKeyPrefix);
}

static json encodeCounts(const window_counts &counts)
{
    json object = json::object();
    for (const auto &[window, customers] : counts) {
        // Windows without requests are written, too.
        json &windowObject = object[std::to_string(window)] = json::object();
        for (const auto &[customer, number] : customers)
            windowObject[customer] = number;
    }
    return object;
}

static window_counts decodeCounts(const json &object)
{
    window_counts counts;
    for (const auto &[window, customers] : object.items()) {
        customer_counts &windowCounts = counts[std::stoull(window)];
        for (const auto &[customer, number] : customers.items())
            windowCounts[customer] = number.get<std::int64_t>();
    }
    return counts;
}

static json encodeLease(const duty_lease &lease)
{
    json earlier = json::array();
    for (const duty_tenure &item : lease.earlier)
        earlier.push_back({{"holder", item.holder}, {"until_ms", item.until.count()}});
    return {{"holder", lease.holder},
            {"life", lease.life},
            {"token", lease.token},
            {"until_ms", lease.until.count()},
            {"earlier", std::move(earlier)}};
}

static duty_lease decodeLease(const json &object)
{
    duty_lease lease;
    lease.holder = object.at("holder").get<std::string>();
    lease.life = object.at("life").get<std::uint64_t>();
    lease.token = object.at("token").get<std::uint64_t>();
    lease.until = milliseconds(object.at("until_ms").get<std::int64_t>());
    for (const json &item : object.at("earlier"))
        lease.earlier.push_back({item.at("holder").get<std::string>(),
                                 milliseconds(item.at("until_ms").get<std::int64_t>())});
    return lease;
}

std::string laurelcroft::encodeUsageRow(const usage_row &row)
{
    const usage_ledger &ledger = row.ledger;
    json progress = json::array();
    for (const auto &[process, item] : ledger.m_progress)
        progress.push_back({process.first, process.second, item.lastCounted, item.closedBefore});
    json object{{"lease", encodeLease(row.lease)},           {"save", row.save},
                {"decided_before", ledger.m_decidedBefore},  {"open", encodeCounts(ledger.m_open)},
                {"decided", encodeCounts(ledger.m_decided)}, {"processes", std::move(progress)}};
    if (row.era)
        object["era"] = *row.era;
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

outcome<usage_row, std::string> laurelcroft::decodeUsageRow(const std::string &value)
{
    usage_row row;
    usage_ledger &ledger = row.ledger;
    try {
        const json object = json::parse(value);
        if (object.contains("era"))
            row.era = object.at("era").get<std::uint64_t>();
        row.lease = decodeLease(object.at("lease"));
        row.save = object.at("save").get<std::uint64_t>();
        ledger.m_decidedBefore = object.at("decided_before").get<window_number>();
        ledger.m_open = decodeCounts(object.at("open"));
        ledger.m_decided = decodeCounts(object.at("decided"));
        for (const json &item : object.at("processes")) {
            const usage_process process{item.at(0).get<std::string>(),
                                        item.at(1).get<std::uint64_t>()};
            ledger.m_progress[process]
                    = {item.at(2).get<std::uint64_t>(), item.at(3).get<window_number>()};
        }
    } catch (const std::exception &error) {
        return failure(std::string(error.what()));
    }
    return row;
}
