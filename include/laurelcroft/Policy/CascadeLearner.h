//===-- Policy/CascadeLearner.h - learned cascade thresholds ----*- C++ -*-===//
//
// Estimates, for each customer group, cascade and tier, the probability that an answer with a given
// score is good. Ratings are sparse and arrive late. From the estimates it derives the score
// threshold that meets the quality target at the lowest cost.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_CASCADELEARNER_H
#define LAURELCROFT_POLICY_CASCADELEARNER_H

#include "laurelcroft/Contract/Bundle.h"
#include "laurelcroft/Support/Random.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Why a request starts at its first tier.
enum class start_reason { cheapFirst, cheapRarelySuffices, mayNotRepeat, noTimeLeft, exploring };

std::string_view textOf(start_reason reason);

struct start_decision
{
    std::size_t tier = 0;
    start_reason reason = start_reason::cheapFirst;
};

struct acceptance_decision
{
    bool suffices = false;
    double threshold = 0;
    bool learned = false; ///< false: the bundle's start score was used
};

/// Rating statistics and thresholds of the cascades at one entry.
class cascade_learner
{
public:
    static constexpr std::size_t bins = 20;

    /// Chooses the first tier of a request.
    /// \param timeLeftMs time until the caller's deadline.
    /// \param expectedMs expected duration of the cheap tier.
    start_decision chooseStart(const bundle &rules, const cascade &item, std::string_view group,
                               double timeLeftMs, double expectedMs, random_source &random) const;

    /// Decides whether an answer of \p tier with \p score is accepted, and records the score.
    acceptance_decision evaluate(const cascade &item, std::string_view group, std::size_t tier,
                                 double score);

    /// Records a rating of an answer of \p tier with \p score.
    /// \param released true if the caller received this answer, not one of a later tier.
    void addRating(const cascade &item, std::string_view group, std::size_t tier, double score,
                   bool good, bool released);

    /// \returns the share of answers delivered to callers that were rated good, or the quality
    /// target while there are too few ratings.
    double releasedQuality(const cascade &item, std::string_view group) const;

    /// \returns the current threshold; \c suffices is not set.
    acceptance_decision threshold(const cascade &item, std::string_view group,
                                  std::size_t tier) const;

    /// \returns the share of answers of \p tier that are accepted; 1 before any was seen.
    double acceptanceRate(const cascade &item, std::string_view group, std::size_t tier) const;

private:
    struct tier_record
    {
        std::array<double, bins> seen{};
        std::array<double, bins> good{};
        std::array<double, bins> rated{};
        double ratedTotal = 0;
    };
    /// Ratings of the answers that callers received, from any tier.
    struct released_record
    {
        double good = 0;
        double rated = 0;
    };

    const tier_record *find(const cascade &item, std::string_view group, std::size_t tier) const;
    tier_record &record(const cascade &item, std::string_view group, std::size_t tier);
    double costlyQuality(const cascade &item, std::string_view group) const;
    static std::array<double, bins> smoothed(const tier_record &record);

    double adjustedTarget(const cascade &item, std::string_view group) const;

    std::map<std::string, tier_record, std::less<>> m_records;
    std::map<std::string, released_record, std::less<>> m_released;
};

} // namespace laurelcroft

#endif
