//===-- Fleet/EndpointDirectory.h - agents' endpoints ------------*- C++ -*-===//
//
// One entry's view of the agents: which of them are in its subset of each pool, what
// they last reported and what this entry has sent them since.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_ENDPOINTDIRECTORY_H
#define LAURELCROFT_FLEET_ENDPOINTDIRECTORY_H

#include "laurelcroft.pb.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// An endpoint, identified by its agent.
struct endpoint
{
    std::string id; ///< instance id of the agent
    std::string dataCentre;
    std::string linkAddress;
    std::string pool;
    bool leaving = false;
    bool reachable = false; ///< its load stream is open
    std::uint64_t incarnation = 0; ///< of the agent; included in offers
    wire::load_report load;
    std::set<std::string> loaded; ///< entries have the form model@version
    time_point reportedAt{};
    std::uint32_t sentSinceReport = 0;
    std::uint32_t ownRunning = 0;
};

/// Sizes of an entry's subset of one pool. Places that one group can't fill go to the other.
struct subset_options
{
    std::size_t sameDataCentre = 14;
    std::size_t otherDataCentres = 6;
};

/// All endpoints with an agent that one entry knows, and its subset of each pool.
class endpoint_directory
{
public:
    endpoint_directory(std::string instance, std::string dataCentre, subset_options options = {});

    /// Handles a membership update. \returns true when the subsets must be chosen again.
    bool onMember(const wire::member &item);

    /// Chooses the subsets of all pools. \returns the agents whose load stream must be open.
    std::vector<std::string> chooseSubsets();

    /// Handles the load report in the header of a message from an agent.
    void onReport(const std::string &id, const wire::from_agent &message, time_point now);

    /// Handles the loss of an agent's load stream.
    void onUnreachable(const std::string &id);

    /// Counts an attempt that this entry sent.
    void onSent(const std::string &id);

    /// Counts the end of an attempt that this entry sent.
    void onEnded(const std::string &id);

    /// \returns the endpoints of the subset that can serve \p target at \p version now.
    /// \param version is empty for a plain service.
    std::vector<const endpoint *> candidates(std::string_view pool, std::string_view target,
                                             std::string_view version) const;

    /// \returns the endpoint, or null.
    const endpoint *find(std::string_view id) const;

    const std::string &dataCentre() const { return m_dataCentre; }

private:
    void chooseSubset(const std::string &pool, std::vector<std::string> &chosen);

    std::string m_instance;
    std::string m_dataCentre;
    subset_options m_options;
    std::map<std::string, endpoint, std::less<>> m_endpoints;
    std::set<std::string, std::less<>> m_subset;
};

} // namespace laurelcroft

#endif
