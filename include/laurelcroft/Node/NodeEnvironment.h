//===-- Node/NodeEnvironment.h - what both cores ask of a node ---*- C++ -*-===//
//
// The part of a core's environment that is the same for entry and agent: bills'
// holders, the bundle's sources, and what a node answers from the keeper.
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

/// Base of the two environments; satisfies bill_port and bundle_source.
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
        m_node.askBundle(peer, std::move(done));
    }

private:
    node m_node;
};

/// Fills the events that a node answers from \p core's keeper and outbox alone.
template <class Core>
void answerFromCore(node_events &events, Core &core)
{
    events.onEpoch = [&core](const epoch_observation &seen) {
        core.keeper().observePeerEpoch(seen.from, seen.epoch, seen.confirmed, seen.confirmedAge);
    };
    events.onBundleRequest = [&core] {
        wire::bundle_reply reply;
        if (const auto current = core.keeper().current()) {
            reply.set_bundle_epoch(current->accepted.epoch);
            reply.set_acceptance(encodeAcceptance(current->accepted));
            reply.set_text(current->text);
        }
        return reply;
    };
    events.onBillCopy = [&core](const wire::bill_copy &copy) { return core.outbox().hold(copy); };
    events.digest = [&core] {
        const auto &keeper = core.keeper();
        return epoch_digest{keeper.epoch(), keeper.confirmed(), keeper.confirmedAt()};
    };
    events.pollTable = [&core] { core.keeper().poll(); };
}

} // namespace laurelcroft

#endif
