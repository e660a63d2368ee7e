//===-- Node/Node.h - what every instance of the system has ------*- C++ -*-===//
//
// Membership on a duty of its own, links to other instances, clients of the
// platform, and the questions that all instances answer. Entry and agent stand on
// top of it.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_NODE_NODE_H
#define LAURELCROFT_NODE_NODE_H

#include "laurelcroft/Fleet/BundleTracker.h"
#include "laurelcroft/Fleet/Membership.h"
#include "laurelcroft/Link/Stream.h"
#include "laurelcroft/Platform/HttpClients.h"
#include "laurelcroft/Support/EventLoopThread.h"
#include "laurelcroft/Support/Metrics.h"
#include "laurelcroft/Support/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laurelcroft {

/// Settings that entry and agent share.
struct node_options
{
    std::string instance;
    std::string dataCentre;
    std::string linkAddress; ///< host:port, port 0: a free one
    std::string gossipAddress; ///< host:port, port 0: a free one
    std::vector<std::string> seeds; ///< gossip addresses
    std::string siteKey;
    wire::member_role role = wire::role_entry;
    std::string pool;
    signoff_rule signoff;
    platform_options table;
    platform_options objects;
    platform_options ratings;
    platform_options list;
    duration pollPeriod = seconds(1); ///< of the table's row, by the lowest ranked
    membership_options membership;
};

/// Declares the settings that entry and agent share.
void addNodeSettings(settings &declared);

/// Reads them. \returns an empty string or what is wrong.
std::string readNodeOptions(const settings &given, node_options &options);

/// What the node tells the side above it; all on the routing duty.
struct node_events
{
    std::function<void(const wire::member &)> onMember;
    std::function<void(const epoch_observation &)> onEpoch;
    std::function<void(const wire::version_health &)> onHealth;
    /// A stream of another instance with a path that the node does not answer itself.
    std::function<void(std::shared_ptr<link_stream>)> onStream;
    std::function<wire::bundle_reply()> onBundleRequest;
    std::function<bool(const wire::bill_copy &)> onBillCopy;
    std::function<epoch_digest()> digest;
    std::function<void()> pollTable;
};

/// One instance among others.
class node
{
public:
    node(event_loop_thread &routing, node_options options);
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /// Opens its ports and begins. \returns an empty string or what failed.
    std::string start(node_events events);

    /// Tells the others that this instance leaves.
    void leave();

    /// Ends the membership duty and all links; call it when the routing duty has stopped
    /// and while the owners of streams still live.
    void stop();

    asio_runtime &runtime();
    http_client &client();
    http_table &table();
    http_object_store &objects();
    http_rating_service &ratings();
    const node_options &options() const;

    /// \returns the members known now, this instance not among them.
    const std::map<std::string, wire::member> &members() const;

    /// \returns ids of the live entries, this instance included.
    std::vector<std::string> liveEntries() const;

    /// \returns other live instances to hold a bill's copy, best first.
    std::vector<std::string> billHolders() const;

    /// Opens a stream to \p instance; it closes, not clean, when that is not known.
    std::shared_ptr<link_stream> open(const std::string &instance, std::string_view path,
                                      link_stream::events handlers);

    /// Asks one question and waits for one answer, at most \p timeout.
    void ask(const std::string &instance, std::string_view path, const std::string &question,
             duration timeout, std::function<void(std::optional<std::string>)> done);

    void askBundle(const std::string &instance,
                   std::function<void(std::optional<fetched_bundle>)> done);
    void copyBills(const std::string &holder, const wire::bill_copy &copy,
                   std::function<void(bool)> done);
    void readCurrentRow(std::function<void(std::optional<acceptance>)> done);
    void readBundleText(const std::string &hash,
                        std::function<void(std::optional<std::string>)> done);

    /// Puts the digest on datagrams and tells a few members at once.
    void announce();

    /// Spreads that this instance stopped a version.
    void spreadHealth(const wire::version_health &health);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Key of the table's row that says which bundle is in force.
inline constexpr std::string_view currentRowKey = "bundle/current";

/// Key of a bundle's text in the object store.
std::string bundleObjectKey(std::string_view hash);

/// Answers a stream that carries one question.
/// \param reply turns the question into the answer; nothing resets the stream.
void answerOnce(const std::shared_ptr<link_stream> &stream,
                std::function<std::optional<std::string>(std::string_view)> reply);

} // namespace laurelcroft

#endif
