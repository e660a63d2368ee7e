//===-- Entry/VersionGuardSet.h - guards of all roll-outs -------*- C++ -*-===//
//
// Holds the sequential tests of every roll-out in the bundle in force. One kind of test uses the
// errors of all answers, the other the ratings of rated answers. Each runs over all customers
// together and separately for each customer group, up to a maximum number of groups.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_VERSIONGUARDSET_H
#define LAURELCROFT_ENTRY_VERSIONGUARDSET_H

#include "laurelcroft/Contract/Bundle.h"
#include "laurelcroft/Policy/VersionGuard.h"

#include <map>
#include <string>
#include <string_view>

namespace laurelcroft {

/// The kind of test that a piece of evidence belongs to.
enum class evidence_kind { errors, ratings };

/// One answer, as evidence for or against a version.
struct version_evidence
{
    std::string_view model;
    std::string_view version;
    std::string_view group; ///< the customer's group
    evidence_kind kind = evidence_kind::errors;
    bool good = true;
};

/// The roll-out guards of one process.
class version_guard_set
{
public:
    /// Replaces the roll-outs by those of a new bundle. An unchanged roll-out keeps its guards and
    /// stays stopped if it was. A changed one starts over, since the operators decided it anew.
    void onBundle(const bundle &rules);

    /// Adds the evidence of one answer.
    /// \returns true if this answer caused the version under roll-out to be stopped.
    bool add(const version_evidence &evidence);

    /// Stops the roll-out of \p model to \p version because another process's guard stopped it.
    /// \returns true if it was running here until now.
    bool stop(std::string_view model, std::string_view version);

    /// \returns true if the roll-out of \p model was stopped.
    bool isStopped(std::string_view model) const;

private:
    /// Both tests for one set of customers.
    struct guard_pair
    {
        explicit guard_pair(const rollout_guard &bounds)
            : errors(bounds)
            , ratings(bounds)
        {
        }
        version_guard errors;
        version_guard ratings;
    };

    /// A roll-out and its tests. A version may be bad for a single group only, which the test over
    /// all customers could miss, so a limited number of groups have tests of their own.
    struct rollout_state
    {
        explicit rollout_state(const rollout &plan);
        rollout plan;
        guard_pair all;
        std::map<std::string, guard_pair, std::less<>> groups;
        bool stopped = false;
    };

    /// Adds evidence to the test that it belongs to.
    /// \returns true if that test has stopped the version.
    static bool addToGuards(guard_pair &pair, const rollout &plan,
                            const version_evidence &evidence);
    /// \returns the tests of \p group, or null if there are too many groups.
    static guard_pair *findOrAddGroup(rollout_state &state, std::string_view group);

    std::map<std::string, rollout_state, std::less<>> m_rollouts;
};

} // namespace laurelcroft

#endif
