//===-- Entry/VersionGuardSet.h - guards of all roll-outs -------------*- C++ -*-===//
//
// Keeps the sequential tests of every roll-out of the bundle in force: on errors of
// all answers and on the ratings of the rated ones, over all customers and for each
// group of them.
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

/// What an answer is evidence of.
enum class evidence_kind { errors, ratings };

/// One answer as evidence on a version.
struct version_evidence
{
    std::string_view model;
    std::string_view version;
    std::string_view group; ///< customer class
    evidence_kind kind = evidence_kind::errors;
    bool good = true;
};

/// The guards of one process.
class version_guard_set
{
public:
    /// Takes the roll-outs of a bundle. A roll-out that stands unchanged keeps its
    /// guard, stopped or not; a changed one is a new decision of the operators.
    void onBundle(const bundle &rules);

    /// Adds one answer's evidence.
    /// \returns true when this answer made the guard stop the version under roll-out.
    bool add(const version_evidence &evidence);

    /// Takes another process's word that the roll-out of \p model to \p version stopped.
    /// \returns true when it is news.
    bool stop(std::string_view model, std::string_view version);

    /// \returns true when the version under roll-out of \p model was stopped.
    bool isStopped(std::string_view model) const;

private:
    /// The two tests over one part of the customers.
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

    /// A version may be bad for one group only, which the sum over all would hide: each
    /// of the first few groups has tests of its own.
    struct rollout_state
    {
        explicit rollout_state(const rollout &plan);
        rollout plan;
        guard_pair all;
        std::map<std::string, guard_pair, std::less<>> groups;
        bool stopped = false;
    };

    static bool addToGuards(guard_pair &pair, const rollout &plan,
                            const version_evidence &evidence);
    static guard_pair *findOrAddGroup(rollout_state &entry, std::string_view group);

    std::map<std::string, rollout_state, std::less<>> m_rollouts;
};

} // namespace laurelcroft

#endif
