//===-- Node/NodeEnvironment.h - environment of both cores -------*- C++ -*-===//
//
// The part of the environment that entry and agent cores share: holders of bill copies,
// sources of bundles, and the node events that are handled by the core.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_NODE_NODEENVIRONMENT_H
#define LAURELCROFT_NODE_NODEENVIRONMENT_H

#include "laurelcroft/Node/Node.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laurelcroft {

/// Base class of the environments of both cores; satisfies bill_port and bundle_source.
class node_environment
{
public:
    node_environment(event_loop_thread &routing, node_options options)
        : m_node(routing, std::move(options))
    {
    }

    node &ownNode() { return m_node; }

    std::vector<std::string> billHolders() { return m_node.billHolders(); }

    void copyBills(const std::string &holder, const wire::bill_copy &copy,
                   std::function<void(bool)> done)
    {
        m_node.copyBills(holder, copy, std::move(done));
    }

    void readCurrentRow(std::function<void(std::optional<acceptance>)> done)
    {
        m_node.readCurrentRow(std::move(done));
    }

    void readBundleText(const std::string &hash,
                        std::function<void(std::optional<std::string>)> done)
    {
        m_node.readBundleText(hash, std::move(done));
    }

    void fetchFromPeer(const std::string &peer,
                       std::function<void(std::optional<fetched_bundle>)> done)
    {
        m_node.requestBundle(peer, std::move(done));
    }

private:
    node m_node;
};

/// Sets the node events that only need the bundle tracker and the bill outbox of \p core.
template <class Core>
void bindCoreEvents(node_events &events, Core &core)
{
    events.onEpoch = [&core](const epoch_observation &seen) {
        core.bundleTracker().observePeerEpoch(seen.from, seen.epoch, seen.confirmed,
                                              seen.confirmedAge);
    };
    events.onBundleRequest = [&core] {
        wire::bundle_reply reply;
        if (const auto current = core.bundleTracker().current()) {
            reply.set_bundle_epoch(current->accepted.epoch);
            reply.set_acceptance(encodeAcceptance(current->accepted));
            reply.set_text(current->text);
        }
        return reply;
    };
    events.onBillCopy = [&core](const wire::bill_copy &copy) { return core.outbox().hold(copy); };
    events.digest = [&core] {
        const auto &bundleTracker = core.bundleTracker();
        return epoch_digest{bundleTracker.epoch(), bundleTracker.confirmed(),
                            bundleTracker.confirmedAt()};
    };
    events.pollTable = [&core] { core.bundleTracker().poll(); };
}

} // namespace laurelcroft

#endif
