//===-- RolloutRows.cpp - rows that entries share ---------------------------===//
//
// JSON, so that operators can read them.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RolloutRows.h"

#include <nlohmann/json.hpp>

using namespace laurelcroft;

namespace {

constexpr std::string_view rolloutPrefix = "rollout/";
constexpr std::string_view entryPrefix = "entry/";

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

std::optional<std::string> laurelcroft::serviceOfKey(std::string_view key)
{
    return afterPrefix(key, rolloutPrefix);
}

std::optional<std::string> laurelcroft::entryOfKey(std::string_view key)
{
    return afterPrefix(key, entryPrefix);
}

std::string laurelcroft::encodeRollout(const rollout_row &row)
{
    return nlohmann::json{{"ordered_at", row.orderedAt},
                          {"target", row.targetVersion},
                          {"stage", textOf(row.stage)},
                          {"started_ms", row.startedAt.count()},
                          {"stage_since_ms", row.stageSince.count()},
                          {"share", row.share}}
            .dump();
}

outcome<rollout_row, std::string> laurelcroft::decodeRollout(const std::string &value)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(value);
        rollout_row row;
        row.orderedAt = json.at("ordered_at").get<std::uint64_t>();
        row.targetVersion = json.at("target").get<std::string>();
        const std::optional<rollout_stage> stage
                = rolloutStage(json.at("stage").get<std::string>());
        if (!stage)
            return failure(std::string("stage is unknown"));
        row.stage = *stage;
        row.startedAt = std::chrono::milliseconds(json.at("started_ms").get<std::int64_t>());
        row.stageSince = std::chrono::milliseconds(json.at("stage_since_ms").get<std::int64_t>());
        row.share = json.at("share").get<double>();
        return row;
    } catch (const nlohmann::json::exception &error) {
        return failure(std::string(error.what()));
    }
}
