//===-- FleetStatus.cpp - bundle epochs of all members --------------------===//
//
// Only operators' commands use it, so the cost of querying every member is acceptable.
//
//===----------------------------------------------------------------------===//
#include "FleetStatus.h"

#include <nlohmann/json.hpp>

#include <deque>

using namespace laurelcroft;
using nlohmann::ordered_json;

namespace {

constexpr std::size_t maxConcurrentQueries = 32;
constexpr duration answerTimeout = milliseconds(500);

/// State of one collection.
struct collection
{
    std::deque<wire::member> left; ///< members not queried yet
    std::size_t asked = 0; ///< queries in progress
    ordered_json instances = ordered_json::array();
    std::function<void(const std::string &)> done;
};

} // namespace

static const char *roleName(wire::member_role role)
{
    return role == wire::role_entry ? "entry" : "agent";
}

static void addInstance(collection &all, const wire::member &item, const ordered_json &epoch)
{
    all.instances.push_back({{"instance", item.id()},
                             {"role", roleName(item.role())},
                             {"data_centre", item.data_centre()},
                             {"pool", item.pool()},
                             {"leaving", item.state() == wire::member_leaving},
                             {"epoch", epoch}});
}

static void askNext(node &instance, const std::shared_ptr<collection> &all)
{
    while (all->asked < maxConcurrentQueries && !all->left.empty()) {
        const wire::member item = all->left.front();
        all->left.pop_front();
        all->asked += 1;
        instance.sendRequest(item.id(), "/status", "", answerTimeout,
                             [&instance, all, item](const std::optional<std::string> &answer) {
                                 all->asked -= 1;
                                 wire::from_agent header;
                                 const bool known = answer && header.ParseFromString(*answer);
                                 addInstance(*all, item,
                                             known ? ordered_json(header.bundle_epoch())
                                                   : ordered_json());
                                 askNext(instance, all);
                             });
    }
    if (all->asked != 0 || !all->left.empty() || !all->done)
        return;
    const auto done = std::exchange(all->done, nullptr);
    ordered_json body;
    body["instances"] = all->instances;
    done(body.dump());
}

void fleet_status::collect(bundle_epoch own, std::function<void(const std::string &)> done)
{
    const auto all = std::make_shared<collection>();
    all->done = std::move(done);
    wire::member self;
    self.set_id(m_node.options().instance);
    self.set_role(m_node.options().role);
    self.set_data_centre(m_node.options().dataCentre);
    addInstance(*all, self, own);
    for (const auto &[id, item] : m_node.members())
        all->left.push_back(item);
    askNext(m_node, all);
}
