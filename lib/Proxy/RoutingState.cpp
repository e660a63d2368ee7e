//===-- RoutingState.cpp - what all requests decide by ----------------------===//
//
// Services come and go with contracts; their roll-outs and budgets are made when first
// asked for.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RoutingState.h"

using namespace laurelcroft;

namespace {

/// A session is noted when its request is sent, but goes on from the request's end: longer
/// than any request takes.
constexpr seconds longestRequest{30};

} // namespace

bool routing_state::setContract(contract_ptr contract)
{
    if (m_contract && m_contract->version >= contract->version)
        return false;
    m_contract = std::move(contract);
    return true;
}

rollout_tracker &routing_state::rollouts(std::string_view service)
{
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end())
        return it->second;
    return m_rollouts
            .emplace(service, rollout_tracker(m_bounds.rolloutExposure,
                                              m_bounds.sessionLife + longestRequest))
            .first->second;
}

send_budget &routing_state::repeats(std::string_view service)
{
    const auto it = m_repeats.find(service);
    if (it != m_repeats.end())
        return it->second;
    return m_repeats.emplace(service, send_budget(m_bounds.repeats)).first->second;
}
