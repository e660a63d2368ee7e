//===-- PressureNotice.cpp - pressure on services ---------------------------===//
//
// A MessagePack array: kind, service, level in percent, samples, and answers per second.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PressureNotice.h"

#include "laurelcroft/Support/MessagePack.h"

#include <algorithm>
#include <cmath>
#include <utility>

using namespace laurelcroft;
using nlohmann::json;

namespace {

constexpr std::string_view kind = "pressure";
constexpr std::size_t fields = 5;
constexpr std::size_t fieldsBeforeNumbers = 2;
constexpr double percent = 100;
constexpr unsigned maxPercent = static_cast<unsigned>(pressure_report::maxLevel * percent);
constexpr unsigned maxSamples = static_cast<unsigned>(pressure_report::maxWeight);
/// Largest rate of one entry, in answers per second.
constexpr unsigned maxRate = 1000;

} // namespace

/// \returns \p value rounded, within 0 and \p max.
static unsigned rounded(double value, unsigned max)
{
    return static_cast<unsigned>(std::lround(std::clamp<double>(value, 0, max)));
}

pressure_notice pressure_notice::from(std::string service, const pressure_report &report,
                                      double answersPerSecond)
{
    return {std::move(service), rounded(report.level * percent, maxPercent),
            rounded(report.weight, maxSamples), rounded(answersPerSecond, maxRate)};
}

pressure_report pressure_notice::report() const
{
    return {levelPercent / percent, static_cast<double>(samples)};
}

std::string laurelcroft::encodePressureNotice(const pressure_notice &notice)
{
    return encodeMessagePack(json::array(
            {kind, notice.service, notice.levelPercent, notice.samples, notice.answersPerSecond}));
}

std::optional<pressure_notice> laurelcroft::decodePressureNotice(std::string_view bytes)
{
    const json item = decodeMessagePack(bytes);
    const bool isWellFormed = item.is_array() && item.size() == fields && item[0] == json(kind)
            && isNonEmptyName(item[1]);
    if (!isWellFormed)
        return std::nullopt;
    const auto level = unsignedUpTo(item[fieldsBeforeNumbers], maxPercent);
    const auto samples = unsignedUpTo(item[fieldsBeforeNumbers + 1], maxSamples);
    const auto rate = unsignedUpTo(item[fieldsBeforeNumbers + 2], maxRate);
    if (!level || !samples || !rate)
        return std::nullopt;
    return pressure_notice{item[1].get<std::string>(), *level, *samples, *rate};
}
