//===-- Policy/CascadeLearner.h - when a cheap answer suffices ---*- C++ -*-===//
//
// Learns, for each customer group, cascade and tier, how often an answer of a
// given score is good, from few and late ratings, and sets the score that
// suffices so that the quality target is met at the least cost.
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

/// Where a request starts and why.
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

/// Learned quality of cascades at one entry.
class cascade_learner
{
public:
    static constexpr std::size_t bins = 20;

    /// Chooses the first tier of a request.
    /// \param timeLeftMs until the caller's deadline. \param expectedMs of the cheap tier.
    start_decision chooseStart(const bundle &rules, const cascade &item, std::string_view group,
                               double timeLeftMs, double expectedMs, random_source &random) const;

    /// Judges an answer of \p tier with \p score, and counts the score as seen.
    acceptance_decision evaluate(const cascade &item, std::string_view group, std::size_t tier,
                                 double score);

    /// Learns that an answer of \p tier with \p score was good or not.
    /// \param released the caller got this answer, not one of a later tier.
    void learn(const cascade &item, std::string_view group, std::size_t tier, double score,
               bool good, bool released);

    /// \returns the share of released answers that were rated good; the target before
    /// enough were rated.
    double releasedQuality(const cascade &item, std::string_view group) const;

    /// \returns the score that suffices now.
    acceptance_decision threshold(const cascade &item, std::string_view group,
                                  std::size_t tier) const;

    /// \returns the share of answers of \p tier that suffice; 1 before anything was seen.
    double acceptanceRate(const cascade &item, std::string_view group, std::size_t tier) const;

private:
    struct tier_record
    {
        std::array<double, bins> seen{};
        std::array<double, bins> good{};
        std::array<double, bins> rated{};
        double ratedTotal = 0;
    };
    /// Ratings of what callers got, whatever tier it came from.
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
