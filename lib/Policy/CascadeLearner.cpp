//===-- CascadeLearner.cpp - learned cascade thresholds -------------------===//
//
// The share of good answers rises with the score, so the bins are smoothed to be monotone (pool
// adjacent violators). Older ratings decay so that the threshold follows changes in the request
// mix.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/CascadeLearner.h"

#include <algorithm>
#include <cmath>
#include <vector>

using namespace laurelcroft;

namespace {

/// Minimum number of ratings; below it, the bundle's start score is used.
constexpr double minRatings = 40;
/// Factor by which each new rating decays the older ratings of its tier.
constexpr double ratingDecay = 0.999;
/// Weight of a bin's prior, in ratings; the prior's good share is the bin's own score.
constexpr double priorWeight = 1.0;
/// Safety margin between estimate and target, in standard deviations.
constexpr double marginDeviations = 0.5;
/// The ratings of answers released to callers decay faster than those of bins, since they correct
/// the target.
constexpr double releasedDecay = 0.997;
constexpr double correctionGain = 1.5;
constexpr double maxCorrection = 0.08;
/// Number of accepted answers assumed in advance, so that a few rejected ones do not disable a
/// tier.
constexpr double priorAcceptedAnswers = 20;
/// Share of requests that start at the cheap tier for exploration although it is rarely accepted.
constexpr double exploreShare = 0.02;
/// Good share of the costly tier before it is rated.
constexpr double assumedCostlyQuality = 0.97;

} // namespace

std::string_view laurelcroft::textOf(start_reason reason)
{
    switch (reason) {
    case start_reason::cheapFirst:
        return "cheap tier first";
    case start_reason::cheapRarelySuffices:
        return "the cheap tier rarely suffices";
    case start_reason::mayNotRepeat:
        return "the request may not be repeated";
    case start_reason::noTimeLeft:
        return "no time left to try the cheap tier";
    case start_reason::exploring:
        return "cheap tier tried to learn";
    }
    return "unknown";
}

static std::string keyOf(const cascade &item, std::string_view group, std::size_t tier)
{
    return item.name + "/" + std::string(group) + "/" + std::to_string(tier);
}

static std::size_t binOf(double score)
{
    const double scaled = std::clamp(score, 0.0, 1.0) * cascade_learner::bins;
    return std::min(cascade_learner::bins - 1, static_cast<std::size_t>(scaled));
}

const cascade_learner::tier_record *
cascade_learner::find(const cascade &item, std::string_view group, std::size_t tier) const
{
    const auto it = m_records.find(keyOf(item, group, tier));
    return it == m_records.end() ? nullptr : &it->second;
}

cascade_learner::tier_record &cascade_learner::record(const cascade &item, std::string_view group,
                                                      std::size_t tier)
{
    return m_records[keyOf(item, group, tier)];
}

void cascade_learner::addRating(const cascade &item, std::string_view group, std::size_t tier,
                                double score, bool good, bool released)
{
    tier_record &known = record(item, group, tier);
    for (std::size_t i = 0; i < bins; ++i) {
        known.good[i] *= ratingDecay;
        known.rated[i] *= ratingDecay;
    }
    known.ratedTotal = known.ratedTotal * ratingDecay + 1.0;
    known.rated[binOf(score)] += 1.0;
    known.good[binOf(score)] += good ? 1.0 : 0.0;
    if (!released)
        return;
    released_record &given = m_released[item.name + "/" + std::string(group)];
    given.good = given.good * releasedDecay + (good ? 1.0 : 0.0);
    given.rated = given.rated * releasedDecay + 1.0;
}

double cascade_learner::releasedQuality(const cascade &item, std::string_view group) const
{
    const auto it = m_released.find(item.name + "/" + std::string(group));
    if (it == m_released.end() || it->second.rated < minRatings)
        return item.qualityTarget;
    return it->second.good / it->second.rated;
}

/// The estimate by bins is wrong while the request mix changes. The quality that callers actually
/// received corrects it: a surplus over the target lowers the target, a shortfall raises it.
double cascade_learner::adjustedTarget(const cascade &item, std::string_view group) const
{
    const double surplus = releasedQuality(item, group) - item.qualityTarget;
    return item.qualityTarget - std::clamp(correctionGain * surplus, -maxCorrection, maxCorrection);
}

std::array<double, cascade_learner::bins> cascade_learner::smoothed(const tier_record &record)
{
    struct block
    {
        double sum;
        double weight;
        std::size_t size;
    };
    std::vector<block> blocks;
    for (std::size_t i = 0; i < bins; ++i) {
        const double prior = (static_cast<double>(i) + 0.5) / bins;
        blocks.push_back({record.good[i] + priorWeight * prior, record.rated[i] + priorWeight, 1});
        while (blocks.size() > 1) {
            block &last = blocks.back();
            block &before = blocks[blocks.size() - 2];
            if (before.sum / before.weight <= last.sum / last.weight)
                break;
            before = {before.sum + last.sum, before.weight + last.weight, before.size + last.size};
            blocks.pop_back();
        }
    }
    std::array<double, bins> result{};
    std::size_t next = 0;
    for (const block &item : blocks) {
        for (std::size_t i = 0; i < item.size; ++i)
            result[next++] = item.sum / item.weight;
    }
    return result;
}

double cascade_learner::costlyQuality(const cascade &item, std::string_view group) const
{
    const tier_record *last = find(item, group, item.tiers.size() - 1);
    if (last == nullptr)
        return assumedCostlyQuality;
    double good = assumedCostlyQuality * minRatings;
    double rated = minRatings;
    for (std::size_t i = 0; i < bins; ++i) {
        good += last->good[i];
        rated += last->rated[i];
    }
    return good / rated;
}

acceptance_decision cascade_learner::threshold(const cascade &item, std::string_view group,
                                               std::size_t tier) const
{
    const tier_record *known = find(item, group, tier);
    if (known == nullptr || known->ratedTotal < minRatings)
        return {false, item.startScore, false};
    const std::array<double, bins> share = smoothed(*known);
    double seen = 0;
    for (const double count : known->seen)
        seen += count;
    if (seen <= 0)
        return {false, item.startScore, false};
    const double costly = costlyQuality(item, group);
    // From the highest bin down, accept further bins as long as the whole mix meets the target plus
    // margin; accept the fraction of the last bin that still fits.
    double quality = costly;
    const double wanted = adjustedTarget(item, group);
    double variance = 0;
    double lowest = bins;
    for (std::size_t i = bins; i-- > 0;) {
        const double weight = known->seen[i] / seen;
        const double next = quality + weight * (share[i] - costly);
        variance += weight * weight * share[i] * (1 - share[i]) / (known->rated[i] + priorWeight);
        const double needed = wanted + marginDeviations * std::sqrt(variance);
        if (next < needed) {
            const double part = quality > needed ? (quality - needed) / (quality - next) : 0.0;
            lowest = static_cast<double>(i + 1) - part;
            break;
        }
        quality = next;
        lowest = static_cast<double>(i);
    }
    return {false, lowest / bins, true};
}

acceptance_decision cascade_learner::evaluate(const cascade &item, std::string_view group,
                                              std::size_t tier, double score)
{
    acceptance_decision result = threshold(item, group, tier);
    tier_record &known = record(item, group, tier);
    for (double &count : known.seen)
        count *= ratingDecay;
    known.seen[binOf(score)] += 1.0;
    result.suffices = result.threshold < 1.0 && score >= result.threshold;
    return result;
}

double cascade_learner::acceptanceRate(const cascade &item, std::string_view group,
                                       std::size_t tier) const
{
    const tier_record *known = find(item, group, tier);
    if (known == nullptr)
        return 1.0;
    const acceptance_decision now = threshold(item, group, tier);
    double seen = 0;
    double accepted = 0;
    for (std::size_t i = 0; i < bins; ++i) {
        seen += known->seen[i];
        if (static_cast<double>(i) / bins >= now.threshold)
            accepted += known->seen[i];
    }
    return (accepted + priorAcceptedAnswers) / (seen + priorAcceptedAnswers);
}

start_decision cascade_learner::chooseStart(const bundle &rules, const cascade &item,
                                            std::string_view group, double timeLeftMs,
                                            double expectedMs, random_source &random) const
{
    const std::size_t last = item.tiers.size() - 1;
    if (!item.repeatable)
        return {last, start_reason::mayNotRepeat};
    // If the cheap tier's answer is rejected, its time is lost before the costly tier starts.
    if (timeLeftMs < 2 * expectedMs)
        return {last, start_reason::noTimeLeft};
    for (std::size_t tier = 0; tier < last; ++tier) {
        const model *cheap = rules.findModel(item.tiers[tier]);
        const model *costly = rules.findModel(item.tiers[last]);
        if (cheap == nullptr || costly == nullptr)
            continue;
        const double needed = costly->outputCost > 0 ? cheap->outputCost / costly->outputCost : 1;
        if (acceptanceRate(item, group, tier) > needed)
            return {tier, start_reason::cheapFirst};
    }
    if (random.chance(exploreShare))
        return {0, start_reason::exploring};
    return {last, start_reason::cheapRarelySuffices};
}
