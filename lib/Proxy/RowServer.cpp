//===-- RowServer.cpp - serves rows to other entries ----------------------===//
//
// Changes that arrive together are sent together, and a whole table is packed once for all entries
// that start.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RowServer.h"

#include "laurelcroft/Proxy/CallerServer.h"
#include "laurelcroft/Proxy/RowWire.h"
#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/Settings.h"

#include <asio/io_context.hpp>

#include <algorithm>
#include <charconv>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

using namespace laurelcroft;

namespace {

constexpr int decimal = 10;
/// Delay that collects rows arriving together into one answer, as when many entries start or a
/// roll-out proceeds.
constexpr milliseconds batchDelay{20};

/// A held read of another entry.
struct held_read
{
    std::vector<table_since> tables;
    caller_exchange exchange;
    timer_id timer = 0;
};

/// The packed rows of a whole table.
struct packed_table
{
    std::optional<store_version> changedAt; ///< version of the newest row or removal in the table
    packed_rows rows;
};

} // namespace

static std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, decimal);
    return number;
}

/// \param version as NUMBER@ERA, or as NUMBER from an earlier release.
static table_since parseSince(std::string_view table, std::string_view version)
{
    const std::size_t separator = version.find('@');
    table_since result{std::string(table), {}, separator != std::string_view::npos};
    result.since.number = parseNumber(version.substr(0, separator));
    if (result.statesEra)
        result.since.era = parseNumber(version.substr(separator + 1));
    return result;
}

/// \returns the tables of a query; malformed items are left out.
static std::vector<table_since> parseTables(std::string_view text)
{
    std::vector<table_since> tables;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        const std::string_view item = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t colon = item.rfind(':');
        if (colon == std::string_view::npos)
            continue;
        tables.push_back(parseSince(item.substr(0, colon), item.substr(colon + 1)));
    }
    return tables;
}

static milliseconds parseHold(const std::string &text)
{
    std::int64_t hold = 0;
    std::from_chars(text.data(), text.data() + text.size(), hold, decimal);
    return milliseconds(std::max<std::int64_t>(0, hold));
}

struct row_server::state
{
    state(asio::io_context &context, row_mirror &mirror, metric_registry &metrics);

    void serve(const message_head &head, caller_exchange &exchange);
    void noteAnnouncement(const message_head &head) const;
    /// Completes versions without an era: an earlier release follows the era of this mirror.
    void addMissingEras(std::vector<table_since> &tables) const;
    void holdRead(std::vector<table_since> tables, caller_exchange &exchange, milliseconds time);
    milliseconds maxHoldFor(const std::vector<table_since> &tables) const;
    void answer(const std::vector<table_since> &tables, caller_exchange &exchange);
    std::optional<packed_update> updateFor(const table_since &asked);
    packed_update packedUpdate(const std::string &table, aged_update update);
    void noteChange();
    void answerHeld();

    asio_runtime runtime;
    row_mirror &mirror;
    metric_registry &metrics;
    caller_server server;
    std::function<void(const entry_announcement &)> onAnnounced;
    std::list<held_read> held;
    std::map<std::string, packed_table> packed; ///< whole tables, keyed by name
    bool changeNoted = false;
};

row_server::state::state(asio::io_context &context, row_mirror &mirror, metric_registry &metrics)
    : runtime(context)
    , mirror(mirror)
    , metrics(metrics)
    , server(context, [this](message_head &&head, std::string &&, caller_exchange exchange) {
        serve(head, exchange);
    })
{
    mirror.setListener([this] { noteChange(); });
}

row_server::row_server(asio::io_context &context, row_mirror &mirror, metric_registry &metrics)
    : m_state(std::make_unique<state>(context, mirror, metrics))
{
}

row_server::~row_server()
{
    m_state->mirror.setListener({});
}

std::string row_server::open(const std::string &host, std::uint16_t port)
{
    return m_state->server.open(host, port);
}

std::uint16_t row_server::port() const
{
    return m_state->server.port();
}

void row_server::setAnnouncementListener(std::function<void(const entry_announcement &)> listener)
{
    m_state->onAnnounced = std::move(listener);
}

void row_server::state::noteAnnouncement(const message_head &head) const
{
    const std::string_view text = findHeader(head.headers, announcementHeader);
    if (text.empty() || !onAnnounced)
        return;
    if (const std::optional<entry_announcement> announcement = decodeAnnouncement(text))
        onAnnounced(*announcement);
    else
        logWarning(log_part::fleet, "announcement of an entry refused",
                   {{"bytes", std::int64_t(text.size())}});
}

void row_server::state::addMissingEras(std::vector<table_since> &tables) const
{
    for (table_since &item : tables) {
        if (!item.statesEra && item.since > rereadVersion)
            item.since.era = mirror.versionOf(item.table).era;
    }
}

void row_server::state::serve(const message_head &head, caller_exchange &exchange)
{
    const std::string_view target = head.target;
    const std::size_t query = target.find('?');
    if (target.substr(0, query) != path || query == std::string_view::npos) {
        exchange.reply(http_status::notFound, {}, "");
        return;
    }
    noteAnnouncement(head);
    const std::string_view parameters = target.substr(query + 1);
    std::vector<table_since> tables = parseTables(queryValue(parameters, "tables"));
    addMissingEras(tables);
    const milliseconds wanted = parseHold(queryValue(parameters, "hold"));
    const milliseconds time = std::min(wanted, maxHoldFor(tables));
    if (time.count() > 0)
        holdRead(std::move(tables), exchange, time);
    else
        answer(tables, exchange);
}

/// \returns how long an answer may be held: \c outdatedHold when a table is outdated; until the
/// rows become outdated when no table has changes, or when this process has just started and has
/// not read one of the tables yet; otherwise 0.
milliseconds row_server::state::maxHoldFor(const std::vector<table_since> &tables) const
{
    bool hasUpdate = false;
    bool isOutdated = false;
    bool isUnknown = false;
    milliseconds oldest{0};
    for (const table_since &item : tables) {
        const update_state state = mirror.stateOf(item.table, item.since, bootNow());
        isUnknown = isUnknown || !state.isKnown;
        isOutdated = isOutdated || state.isOutdated;
        hasUpdate = hasUpdate || state.hasUpdate;
        oldest = std::max(oldest, state.age);
    }
    if (isOutdated)
        return outdatedHold;
    return isUnknown || !hasUpdate ? mirror.freshness() - oldest : milliseconds(0);
}

void row_server::state::holdRead(std::vector<table_since> tables, caller_exchange &exchange,
                                 milliseconds time)
{
    held.push_back({std::move(tables), exchange, 0});
    const auto item = std::prev(held.end());
    item->timer = runtime.after(time, [this, item] {
        answer(item->tables, item->exchange);
        held.erase(item);
    });
    exchange.onDisconnect([this, item] {
        runtime.cancel(item->timer);
        held.erase(item);
    });
}

packed_update row_server::state::packedUpdate(const std::string &table, aged_update update)
{
    packed_update result{table, std::move(update), {}};
    const row_batch &batch = result.about.update.batch;
    if (!result.about.update.whole) {
        result.rows = packRows(batch.rows);
        return result;
    }
    // Entries that start together read the same table.
    packed_table &kept = packed[table];
    if (kept.changedAt != result.about.changedAt)
        kept = {result.about.changedAt, packRows(batch.rows)};
    result.rows = kept.rows;
    return result;
}

std::optional<packed_update> row_server::state::updateFor(const table_since &asked)
{
    const time_point now = bootNow();
    if (asked.since != unknownVersion) {
        std::optional<aged_update> update = mirror.read(asked.table, asked.since, now);
        if (!update)
            return std::nullopt;
        return packedUpdate(asked.table, std::move(*update));
    }
    std::optional<aged_update> head = mirror.headForStart(asked.table, now);
    if (!head)
        return std::nullopt;
    // When a hundred entries start together the rows are copied and packed once.
    const auto kept = packed.find(asked.table);
    if (kept != packed.end() && kept->second.changedAt == head->changedAt)
        return packed_update{asked.table, std::move(*head), kept->second.rows};
    return packedUpdate(asked.table, *mirror.readForStart(asked.table, now));
}

void row_server::state::answer(const std::vector<table_since> &tables, caller_exchange &exchange)
{
    std::vector<packed_update> found;
    for (const table_since &item : tables) {
        std::optional<packed_update> update = updateFor(item);
        if (!update)
            continue;
        update->about.statesEra = item.statesEra;
        found.push_back(std::move(*update));
    }
    if (found.empty()) {
        exchange.reply(http_status::unavailable, {}, "");
        return;
    }
    const std::string bytes = encodeUpdates(found);
    metrics.add("peer_served_bytes_total", bytes.size());
    exchange.reply(http_status::ok, {}, bytes);
}

void row_server::state::noteChange()
{
    if (held.empty() || std::exchange(changeNoted, true))
        return;
    runtime.after(batchDelay, [this] {
        changeNoted = false;
        answerHeld();
    });
}

void row_server::state::answerHeld()
{
    for (auto item = held.begin(); item != held.end();) {
        const auto current = item++;
        if (maxHoldFor(current->tables).count() > 0)
            continue;
        runtime.cancel(current->timer);
        answer(current->tables, current->exchange);
        held.erase(current);
    }
}
