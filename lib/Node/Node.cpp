//===-- Node.cpp - common part of entries and agents ------------------------===//
//
// Runs on the routing thread. Membership updates arrive there through a bounded channel.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Node/Node.h"

#include "MembershipThread.h"
#include "laurelcroft/Fleet/Ranking.h"
#include "laurelcroft/Support/Log.h"

#include <random>
#include <utility>

using namespace laurelcroft;

namespace {

constexpr std::size_t pollersPerDataCentre = 2;
constexpr std::size_t maxCandidates = 4;
constexpr duration requestTimeout = milliseconds(1000);
constexpr duration billCopyTimeout = milliseconds(300);
constexpr duration digestPeriod = milliseconds(500);
constexpr duration listPeriod = seconds(10);
constexpr std::string_view bundlePath = "/bundle";
constexpr std::string_view billsPath = "/bills";

} // namespace

static bool isLive(const wire::member &item)
{
    return item.state() == wire::member_alive || item.state() == wire::member_suspect;
}

struct node::state
{
    state(event_loop_thread &routing, node_options options)
        : routing(routing)
        , options(std::move(options))
        , runtime(routing.context())
        , client(routing.context())
        , table(runtime, client, this->options.table)
        , objects(runtime, client, this->options.objects)
        , ratings(runtime, client, this->options.ratings)
        , list(runtime, client, this->options.list)
        , random(std::random_device{}())
        , identity{this->options.instance, this->options.siteKey}
    {
    }

    event_loop_thread &routing;
    node_options options;
    asio_runtime runtime;
    http_client client;
    http_table table;
    http_object_store objects;
    http_rating_service ratings;
    http_instance_list list;
    random_source random;
    link_identity identity;
    node_events events;
    std::unique_ptr<link_server> server;
    std::unique_ptr<membership_thread> membershipThread;
    std::map<std::string, wire::member> members;
    std::map<std::string, std::unique_ptr<link_client>> links;

    void onMembershipUpdate(membership_update &&update);
    void onMember(const wire::member &item);
    void onStream(const std::shared_ptr<link_stream> &stream);
    void pollTick();
    void digestTick();
    void listTick();
    link_client *linkTo(const std::string &instance);

    /// \returns this instance and the live members for which \p matches holds.
    template <class P>
    std::vector<std::string> liveIds(P matches) const
    {
        std::vector<std::string> ids = {options.instance};
        for (const auto &[id, item] : members) {
            if (isLive(item) && matches(item))
                ids.push_back(id);
        }
        return ids;
    }
};

node::node(event_loop_thread &routing, node_options options)
    : m_state(std::make_unique<state>(routing, std::move(options)))
{
}

node::~node() = default;

asio_runtime &node::runtime()
{
    return m_state->runtime;
}

http_client &node::client()
{
    return m_state->client;
}

http_table &node::table()
{
    return m_state->table;
}

http_object_store &node::objects()
{
    return m_state->objects;
}

http_rating_service &node::ratings()
{
    return m_state->ratings;
}

const node_options &node::options() const
{
    return m_state->options;
}

const std::map<std::string, wire::member> &node::members() const
{
    return m_state->members;
}

static std::string startLinkServer(link_server &server, const std::string &address,
                                   std::string &bound)
{
    std::string host;
    std::uint16_t port = 0;
    if (!splitAddress(address, host, port))
        return "'" + address + "' is not host:port";
    std::string error = server.listen(host, port);
    if (error.empty())
        bound = host + ":" + std::to_string(server.port());
    return error;
}

std::string node::start(node_events events)
{
    state &self = *m_state;
    self.events = std::move(events);
    self.server = std::make_unique<link_server>(
            self.routing.context(), self.identity,
            [inner = m_state.get()](const auto &stream) { inner->onStream(stream); });
    std::string error
            = startLinkServer(*self.server, self.options.linkAddress, self.options.linkAddress);
    if (!error.empty())
        return "link: " + error;

    wire::member own;
    own.set_id(self.options.instance);
    own.set_incarnation(static_cast<std::uint64_t>(wallMilliseconds()));
    own.set_role(self.options.role);
    own.set_data_centre(self.options.dataCentre);
    own.set_pool(self.options.pool);
    self.membershipThread = std::make_unique<membership_thread>(
            self.routing, own, self.options.siteKey, self.options.membership,
            [inner = m_state.get()](membership_update &&update) {
                inner->onMembershipUpdate(std::move(update));
            });
    std::string host;
    std::uint16_t port = 0;
    if (!splitAddress(self.options.gossipAddress, host, port))
        return "'" + self.options.gossipAddress + "' is not host:port";
    error = self.membershipThread->open(host, port);
    if (!error.empty())
        return "gossip: " + error;
    self.options.gossipAddress = self.membershipThread->address();
    self.membershipThread->start(self.options.linkAddress, self.options.seeds);
    self.routing.post([inner = m_state.get()] {
        inner->pollTick();
        inner->digestTick();
        inner->listTick();
    });
    logInfo(log_part::start, "instance started",
            {{"instance", self.options.instance},
             {"data_centre", self.options.dataCentre},
             {"link", self.options.linkAddress},
             {"gossip", self.options.gossipAddress}});
    return {};
}

void node::leave()
{
    m_state->membershipThread->leave();
}

void node::stop()
{
    if (m_state->membershipThread)
        m_state->membershipThread->stop();
    if (m_state->server)
        m_state->server->close();
    // Closing a link calls onClosed of its streams, whose owners must still exist.
    m_state->links.clear();
}

void node::state::onMembershipUpdate(membership_update &&update)
{
    if (const auto *item = std::get_if<wire::member>(&update))
        onMember(*item);
    else if (const auto *observation = std::get_if<epoch_observation>(&update))
        events.onEpoch(*observation);
    else if (const auto *health = std::get_if<wire::version_health>(&update))
        events.onHealth(*health);
}

void node::state::onMember(const wire::member &item)
{
    const auto known = members.find(item.id());
    const bool stateChanged = known == members.end() || known->second.state() != item.state();
    if (stateChanged)
        logInfo(log_part::fleet, "member state changed",
                {{"member", item.id()},
                 {"state", static_cast<std::int64_t>(item.state())},
                 {"data_centre", item.data_centre()}});
    members[item.id()] = item;
    events.onMember(item);
    if (item.state() != wire::member_dead)
        return;
    links.erase(item.id());
    members.erase(item.id());
}

void node::state::onStream(const std::shared_ptr<link_stream> &stream)
{
    if (stream->path() == bundlePath) {
        answerSingleRequest(stream, [this](std::string_view) -> std::optional<std::string> {
            return events.onBundleRequest().SerializeAsString();
        });
        return;
    }
    if (stream->path() == billsPath) {
        answerSingleRequest(stream, [this](std::string_view request) -> std::optional<std::string> {
            wire::bill_copy copy;
            if (!copy.ParseFromArray(request.data(), static_cast<int>(request.size())))
                return std::nullopt;
            wire::bill_copied copied;
            copied.set_held(events.onBillCopy(copy) ? 1 : 0);
            return copied.SerializeAsString();
        });
        return;
    }
    events.onStream(stream);
}

void node::state::pollTick()
{
    const std::vector<std::string> ids = liveIds(
            [this](const wire::member &item) { return item.data_centre() == options.dataCentre; });
    const bool isPoller = isTopRanked(ids, "bundle-poll", pollersPerDataCentre, options.instance);
    // Every instance without a bundle polls as well, but less often, because a peer will usually
    // provide one sooner.
    const bool hasNoBundle = events.digest().epoch == 0;
    if (isPoller || (hasNoBundle && random.chance(0.3)))
        events.pollTable();
    runtime.after(options.pollPeriod, [this] { pollTick(); });
}

void node::state::digestTick()
{
    membershipThread->setDigest(events.digest(), false);
    runtime.after(digestPeriod, [this] { digestTick(); });
}

/// Reads the instance list of the platform while no member is known, to find peers if all seeds
/// are gone. It is not read at other times because it lags behind the actual state.
void node::state::listTick()
{
    runtime.after(listPeriod, [this] { listTick(); });
    if (options.list.url.empty() || !members.empty())
        return;
    list.list([this](const std::optional<std::vector<listed_instance>> &items) {
        std::vector<std::string> seeds;
        if (!items)
            return;
        for (const listed_instance &item : *items) {
            if (!item.leaving && item.id != options.instance && seeds.size() < maxCandidates)
                seeds.push_back(item.gossipAddress);
        }
        membershipThread->addSeeds(seeds);
    });
}

std::vector<std::string> node::liveEntries() const
{
    return m_state->liveIds(
            [](const wire::member &item) { return item.role() == wire::role_entry; });
}

std::vector<std::string> node::billHolders() const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &[id, item] : m_state->members) {
        // A suspected member may be dead, and its copy lost.
        if (item.state() != wire::member_alive)
            continue;
        (item.data_centre() == m_state->options.dataCentre ? near : far).push_back(id);
    }
    std::vector<std::string> holders = topRanked(far, m_state->options.instance, maxCandidates);
    for (std::string &id : topRanked(near, m_state->options.instance, maxCandidates))
        holders.push_back(std::move(id));
    return holders;
}

link_client *node::state::linkTo(const std::string &instance)
{
    const auto it = members.find(instance);
    if (it == members.end())
        return nullptr;
    auto &link = links[instance];
    if (!link || link->address() != it->second.link_address())
        link = std::make_unique<link_client>(routing.context(), it->second.link_address(),
                                             identity);
    return link.get();
}

std::shared_ptr<link_stream> node::open(const std::string &instance, std::string_view path,
                                        link_stream::events handlers)
{
    if (link_client *const link = m_state->linkTo(instance))
        return link->open(path, std::move(handlers));
    return openWithoutPeer(m_state->routing.context(), path, std::move(handlers));
}

void node::sendRequest(const std::string &instance, std::string_view path,
                       const std::string &request, duration timeout,
                       std::function<void(std::optional<std::string>)> done)
{
    struct pending_request
    {
        std::function<void(std::optional<std::string>)> done;
        timer_id timer = 0;
        void finish(std::optional<std::string> answer)
        {
            if (const auto once = std::exchange(done, nullptr))
                once(std::move(answer));
        }
    };
    const auto pending = std::make_shared<pending_request>();
    pending->done = std::move(done);
    link_stream::events handlers;
    handlers.onMessage = [pending, this](std::string_view answer) {
        m_state->runtime.cancel(pending->timer);
        pending->finish(std::string(answer));
    };
    handlers.onClosed = [pending, this](bool) {
        m_state->runtime.cancel(pending->timer);
        pending->finish(std::nullopt);
    };
    const auto stream = open(instance, path, std::move(handlers));
    stream->send(request);
    stream->finish();
    pending->timer = m_state->runtime.after(timeout, [pending, stream] {
        stream->reset();
        pending->finish(std::nullopt);
    });
}

void node::requestBundle(const std::string &instance,
                         std::function<void(std::optional<fetched_bundle>)> done)
{
    wire::bundle_request request;
    request.set_bundle_epoch(m_state->events.digest().epoch);
    sendRequest(instance, bundlePath, request.SerializeAsString(), requestTimeout,
                [done = std::move(done)](const std::optional<std::string> &answer) {
                    wire::bundle_reply reply;
                    if (!answer || !reply.ParseFromString(*answer)) {
                        done(std::nullopt);
                        return;
                    }
                    const auto accepted = decodeAcceptance(reply.acceptance());
                    if (accepted)
                        done(fetched_bundle{*accepted, reply.text()});
                    else
                        done(std::nullopt);
                });
}

void node::copyBills(const std::string &holder, const wire::bill_copy &copy,
                     std::function<void(bool)> done)
{
    sendRequest(holder, billsPath, copy.SerializeAsString(), billCopyTimeout,
                [done = std::move(done)](const std::optional<std::string> &answer) {
                    wire::bill_copied reply;
                    done(answer && reply.ParseFromString(*answer) && reply.held() == 1);
                });
}

void node::readCurrentRow(std::function<void(std::optional<acceptance>)> done)
{
    m_state->table.read(
            std::string(currentRowKey),
            [done = std::move(done)](outcome<std::optional<table_row>, table_error> row) {
                if (!row || !row.value())
                    done(std::nullopt);
                else
                    done(decodeAcceptance(row.value()->value));
            });
}

void node::readBundleText(const std::string &hash,
                          std::function<void(std::optional<std::string>)> done)
{
    m_state->objects.get(bundleObjectKey(hash),
                         [done = std::move(done)](outcome<std::string, object_error> text) {
                             if (text)
                                 done(std::move(text).value());
                             else
                                 done(std::nullopt);
                         });
}

void node::gossipDigest()
{
    m_state->membershipThread->setDigest(m_state->events.digest(), true);
}

void node::gossipVersionHealth(const wire::version_health &health)
{
    m_state->membershipThread->gossipVersionHealth(health);
}

std::string laurelcroft::bundleObjectKey(std::string_view hash)
{
    return "bundles/" + std::string(hash);
}

void laurelcroft::answerSingleRequest(
        const std::shared_ptr<link_stream> &stream,
        std::function<std::optional<std::string>(std::string_view)> reply)
{
    link_stream::events handlers;
    handlers.onMessage = [weak = std::weak_ptr<link_stream>(stream),
                          reply = std::move(reply)](std::string_view request) {
        const auto open = weak.lock();
        if (!open)
            return;
        const auto answer = reply(request);
        if (!answer) {
            open->reset();
            return;
        }
        open->send(*answer);
        open->finish();
    };
    stream->setEvents(std::move(handlers));
}
