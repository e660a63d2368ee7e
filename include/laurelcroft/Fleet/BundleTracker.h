//===-- Fleet/BundleTracker.h - the bundle in force --------------*- C++ -*-===//
//
// Holds the accepted bundle with the highest epoch that this process knows, and
// fetches a newer one when a peer or the table shows a higher epoch. It never
// installs a lower epoch.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_BUNDLETRACKER_H
#define LAURELCROFT_FLEET_BUNDLETRACKER_H

#include "laurelcroft/Contract/BundleText.h"
#include "laurelcroft/Contract/SignOff.h"
#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/Runtime.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace laurelcroft {

/// An accepted bundle, parsed and as text. Shared and immutable.
struct accepted_bundle
{
    acceptance accepted;
    bundle rules;
    std::string text;
};

/// A peer's reply to a request for its bundle.
struct fetched_bundle
{
    acceptance accepted;
    std::string text;
};

/// Reads from the table and from peers. Each calls its callback exactly once.
template <class S>
concept bundle_source = requires(S source, const std::string &name,
                                 std::function<void(std::optional<acceptance>)> onRow,
                                 std::function<void(std::optional<std::string>)> onText,
                                 std::function<void(std::optional<fetched_bundle>)> onFetched)
{
    source.readCurrentRow(onRow);
    source.readBundleText(name, onText);
    source.fetchFromPeer(name, onFetched);
};

/// Tracks the bundle in force for one process.
template <runtime_like Runtime, bundle_source Source>
class bundle_tracker
{
public:
    using ptr = std::shared_ptr<const accepted_bundle>;

    /// \param onInstalled is called after each new epoch.
    bundle_tracker(Runtime &runtime, Source &source, signoff_rule rule,
                   std::function<void(const ptr &)> onInstalled)
        : m_runtime(runtime)
        , m_source(source)
        , m_rule(std::move(rule))
        , m_onInstalled(std::move(onInstalled))
    {
    }

    /// \returns the bundle in force, or null before one is installed.
    const ptr &current() const { return m_current; }

    /// \returns the epoch of the bundle in force; 0 before one is installed.
    bundle_epoch epoch() const { return m_current ? m_current->accepted.epoch : 0; }

    /// \returns true when any process read this epoch from the table within the last \p bound.
    bool isConfirmedWithin(duration bound) const
    {
        return m_confirmed && m_runtime.now() - m_confirmedAt <= bound;
    }

    bool confirmed() const { return m_confirmed; }
    time_point confirmedAt() const { return m_confirmedAt; }

    /// Reads the current row of the table. Called by the top-ranked instances of each data centre
    /// and by instances that have no bundle yet.
    void poll()
    {
        if (m_polling)
            return;
        m_polling = true;
        const time_point asked = m_runtime.now();
        m_source.readCurrentRow([this, asked](std::optional<acceptance> row) {
            m_polling = false;
            if (!row)
                return;
            // The row may have changed since it was read, so the confirmation is dated from the
            // request, not from the reply.
            if (row->epoch == epoch())
                confirm(asked);
            else if (row->epoch > epoch())
                fetchText(*row, asked);
        });
    }

    /// Handles the epoch \p seen of \p peer, confirmed \p age ago if \p isConfirmed. Fetches the
    /// peer's bundle if its epoch is higher.
    void observePeerEpoch(const std::string &peer, bundle_epoch seen, bool isConfirmed,
                          duration age)
    {
        if (seen == epoch() && isConfirmed && seen != 0)
            confirm(m_runtime.now() - age);
        if (seen > epoch())
            fetchFrom(peer);
    }

    /// Installs a bundle from a peer or the table. \returns false when it is invalid or its epoch
    /// is not higher.
    bool install(const fetched_bundle &fetched)
    {
        if (fetched.accepted.epoch <= epoch())
            return false;
        if (!isSignedOff(fetched.accepted, m_rule)) {
            logWarning(log_part::bundle, "bundle rejected: not signed off by enough trusted keys",
                       {{"epoch", static_cast<std::int64_t>(fetched.accepted.epoch)}});
            return false;
        }
        auto parsed = parseBundle(fetched.text);
        if (!parsed || bundleHash(parsed.value()) != fetched.accepted.hash) {
            logWarning(log_part::bundle,
                       "bundle rejected: text is invalid or does not match the hash",
                       {{"epoch", static_cast<std::int64_t>(fetched.accepted.epoch)}});
            return false;
        }
        m_current = std::make_shared<accepted_bundle>(
                accepted_bundle{fetched.accepted, std::move(parsed).value(), fetched.text});
        m_confirmed = false;
        logInfo(log_part::bundle, "bundle in force",
                {{"epoch", static_cast<std::int64_t>(epoch())},
                 {"hash", std::string_view(fetched.accepted.hash).substr(0, 12)}});
        m_onInstalled(m_current);
        return true;
    }

private:
    void confirm(time_point when)
    {
        if (m_confirmed && when <= m_confirmedAt)
            return;
        m_confirmed = true;
        m_confirmedAt = when;
    }

    void fetchText(const acceptance &row, time_point asked)
    {
        m_source.readBundleText(row.hash, [this, row, asked](std::optional<std::string> text) {
            if (text && install({row, *text}))
                confirm(asked);
        });
    }

    void fetchFrom(const std::string &peer)
    {
        if (!m_fetching.insert(peer).second)
            return;
        m_source.fetchFromPeer(peer, [this, peer](std::optional<fetched_bundle> fetched) {
            m_fetching.erase(peer);
            if (fetched)
                install(*fetched);
        });
    }

    Runtime &m_runtime;
    Source &m_source;
    signoff_rule m_rule;
    std::function<void(const ptr &)> m_onInstalled;
    ptr m_current;
    bool m_confirmed = false;
    time_point m_confirmedAt{};
    bool m_polling = false;
    std::set<std::string> m_fetching;
};

} // namespace laurelcroft

#endif
