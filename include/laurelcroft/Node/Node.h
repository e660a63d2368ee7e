//===-- Node/Node.h - common part of entries and agents ----------*- C++ -*-===//
//
// Membership, links to other instances, clients of the platform services, and the
// requests that every instance handles. Entries and agents are built on it.
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
    std::string linkAddress; ///< host:port; port 0 selects a free port
    std::string gossipAddress; ///< host:port; port 0 selects a free port
    std::vector<std::string> seeds; ///< gossip addresses of the first peers
    std::string siteKey;
    wire::member_role role = wire::role_entry;
    std::string pool;
    signoff_rule signoff;
    platform_options table;
    platform_options objects;
    platform_options ratings;
    platform_options list;
    duration pollPeriod = seconds(1); ///< of the bundle row, by top-ranked instances
    membership_options membership;
};

/// Adds the settings that entry and agent share to \p declared.
void addNodeSettings(settings &declared);

/// Reads these settings into \p options. \returns an empty string or an error message.
std::string readNodeOptions(const settings &given, node_options &options);

/// Callbacks of a node; all run on the routing thread.
struct node_events
{
    std::function<void(const wire::member &)> onMember;
    std::function<void(const epoch_observation &)> onEpoch;
    std::function<void(const wire::version_health &)> onHealth;
    /// A stream from another instance with a path that the node does not handle itself.
    std::function<void(std::shared_ptr<link_stream>)> onStream;
    std::function<wire::bundle_reply()> onBundleRequest;
    std::function<bool(const wire::bill_copy &)> onBillCopy;
    std::function<epoch_digest()> digest;
    std::function<void()> pollTable;
};

/// One instance of the system.
class node
{
public:
    node(event_loop_thread &routing, node_options options);
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /// Opens the ports and starts the node. \returns an empty string or an error message.
    std::string start(node_events events);

    /// Announces to other instances that this one is leaving.
    void leave();

    /// Stops the membership thread and closes all links. Must be called after the routing thread
    /// has stopped and before the owners of streams are destroyed.
    void stop();

    asio_runtime &runtime();
    http_client &client();
    http_table &table();
    http_object_store &objects();
    http_rating_service &ratings();
    const node_options &options() const;

    /// \returns the known members without this instance.
    const std::map<std::string, wire::member> &members() const;

    /// \returns the ids of live entries, with that of this instance.
    std::vector<std::string> liveEntries() const;

    /// \returns members that can hold copies of bills, those in other data centres first.
    std::vector<std::string> billHolders() const;

    /// Opens a stream to \p instance. If that is not a known member, onClosed(false) follows.
    std::shared_ptr<link_stream> open(const std::string &instance, std::string_view path,
                                      link_stream::events handlers);

    /// Sends one request on a new stream. \param done gets the reply, or nothing if there is none
    /// within \p timeout.
    void sendRequest(const std::string &instance, std::string_view path, const std::string &request,
                     duration timeout, std::function<void(std::optional<std::string>)> done);

    void requestBundle(const std::string &instance,
                       std::function<void(std::optional<fetched_bundle>)> done);
    void copyBills(const std::string &holder, const wire::bill_copy &copy,
                   std::function<void(bool)> done);
    void readCurrentRow(std::function<void(std::optional<acceptance>)> done);
    void readBundleText(const std::string &hash,
                        std::function<void(std::optional<std::string>)> done);

    /// Updates the digest that datagrams carry and sends it to a few random members at once.
    void gossipDigest();

    /// Gossips that this instance stopped a version.
    void gossipVersionHealth(const wire::version_health &health);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Key of the table row that names the bundle in force.
inline constexpr std::string_view currentRowKey = "bundle/current";

/// \returns the key of the text of a bundle in the object store.
std::string bundleObjectKey(std::string_view hash);

/// Handles a stream that carries a single request.
/// \param reply returns the reply to a request, or nothing to reset the stream.
void answerSingleRequest(const std::shared_ptr<link_stream> &stream,
                         std::function<std::optional<std::string>(std::string_view)> reply);

} // namespace laurelcroft

#endif
