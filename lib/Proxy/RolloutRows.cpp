//===-- RolloutRows.cpp - rows that entries share -------------------------===//
//
// Values are JSON, so that operators can read them.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RolloutRows.h"

#include <nlohmann/json.hpp>

using namespace laurelcroft;

namespace {

constexpr std::string_view rolloutPrefix = "rollout/";
constexpr std::string_view entryPrefix = "entry/";
constexpr std::string_view evidencePrefix = "evidence/";

} // namespace

static std::optional<std::string> afterPrefix(std::string_view key, std::string_view prefix)
{
    if (!key.starts_with(prefix))
        return std::nullopt;
    return std::string(key.substr(prefix.size()));
}

std::string laurelcroft::rolloutKey(std::string_view service)
{
    return std::string(rolloutPrefix) + std::string(service);
}

std::string laurelcroft::entryKey(std::string_view entry)
{
    return std::string(entryPrefix) + std::string(entry);
}

std::string laurelcroft::evidenceKey(std::string_view entry, std::string_view service)
{
    return std::string(evidencePrefix) + std::string(entry) + "/" + std::string(service);
}

std::uint64_t rollout_evidence::bad() const
{
    std::uint64_t total = 0;
    for (const auto &[route, seen] : byRoute)
        total += seen.bad();
    return total;
}

std::uint64_t rollout_evidence::all() const
{
    std::uint64_t total = 0;
    for (const auto &[route, seen] : byRoute)
        total += seen.all();
    return total;
}

std::optional<evidence_row_key> laurelcroft::evidenceOfKey(std::string_view key)
{
    const std::optional<std::string> rest = afterPrefix(key, evidencePrefix);
    const std::size_t slash = rest ? rest->find('/') : std::string::npos;
    if (slash == std::string::npos)
        return std::nullopt;
    return evidence_row_key{rest->substr(0, slash), rest->substr(slash + 1)};
}

std::optional<std::string> laurelcroft::serviceOfKey(std::string_view key)
{
    return afterPrefix(key, rolloutPrefix);
}

std::optional<std::string> laurelcroft::entryOfKey(std::string_view key)
{
    return afterPrefix(key, entryPrefix);
}

std::string laurelcroft::encodeEntry(const entry_info &place)
{
    nlohmann::json json{{"address", place.address},
                        {"data_centre", place.dataCentre},
                        {"written_ms", place.writtenAt.count()},
                        {"processor_share", place.processorShare}};
    if (place.wallClockOffset)
        json["wall_ahead_ms"] = place.wallClockOffset->count();
    return json.dump();
}

entry_info laurelcroft::decodeEntry(const std::string &value)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object())
        return {};
    try {
        entry_info place{json.value("address", ""), json.value("data_centre", ""),
                         milliseconds(json.value("written_ms", std::int64_t(0))),
                         json.value("processor_share", 0.0), std::nullopt};
        if (json.contains("wall_ahead_ms"))
            place.wallClockOffset = milliseconds(json.at("wall_ahead_ms").get<std::int64_t>());
        return place;
    } catch (const nlohmann::json::exception &) {
        return {}; // a field has the wrong type: treated as an unreadable row
    }
}

/// \returns the version of an order; its era is 0 in rows of earlier releases.
static store_version decodeOrderedAt(const nlohmann::json &json)
{
    return {json.value("ordered_era", std::uint64_t(0)),
            json.at("ordered_at").get<std::uint64_t>()};
}

std::string laurelcroft::encodeRollout(const rollout_row &row)
{
    return nlohmann::json{{"ordered_at", row.orderedAt.number},
                          {"ordered_era", row.orderedAt.era},
                          {"target", row.targetVersion},
                          {"stage", textOf(row.stage)},
                          {"started_ms", row.startedAt.count()},
                          {"stage_since_ms", row.stageSince.count()},
                          {"share", row.share},
                          {"share_before", row.shareBefore}}
            .dump();
}

outcome<rollout_row, std::string> laurelcroft::decodeRollout(const std::string &value)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(value);
        rollout_row row;
        row.orderedAt = decodeOrderedAt(json);
        row.targetVersion = json.at("target").get<std::string>();
        const std::optional<rollout_stage> stage
                = rolloutStage(json.at("stage").get<std::string>());
        if (!stage)
            return failure(std::string("stage is unknown"));
        row.stage = *stage;
        row.startedAt = std::chrono::milliseconds(json.at("started_ms").get<std::int64_t>());
        row.stageSince = std::chrono::milliseconds(json.at("stage_since_ms").get<std::int64_t>());
        row.share = json.at("share").get<double>();
        row.shareBefore = json.value("share_before", row.share);
        return row;
    } catch (const nlohmann::json::exception &error) {
        return failure(std::string(error.what()));
    }
}

std::string laurelcroft::encodeEvidence(const rollout_evidence &evidence)
{
    nlohmann::json routes = nlohmann::json::object();
    for (const auto &[route, seen] : evidence.byRoute)
        routes[route] = {{"good", seen.good}, {"failed", seen.failed}, {"slow", seen.slow}};
    return nlohmann::json{{"ordered_at", evidence.orderedAt.number},
                          {"ordered_era", evidence.orderedAt.era},
                          {"routes", routes},
                          {"life", evidence.incarnation}}
            .dump();
}

outcome<rollout_evidence, std::string> laurelcroft::decodeEvidence(const std::string &value)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(value);
        rollout_evidence evidence;
        evidence.orderedAt = decodeOrderedAt(json);
        evidence.incarnation = json.value("life", std::uint64_t(0));
        for (const auto &[route, seen] : json.at("routes").items()) {
            evidence.byRoute[route]
                    = {seen.at("good").get<std::uint64_t>(), seen.at("failed").get<std::uint64_t>(),
                       seen.at("slow").get<std::uint64_t>()};
        }
        return evidence;
    } catch (const nlohmann::json::exception &error) {
        return failure(std::string(error.what()));
    }
}
