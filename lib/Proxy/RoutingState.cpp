//===-- RoutingState.cpp - what all requests decide by ----------------------===//
//
// Services come and go with contracts; their roll-outs and budgets are made when first
// asked for.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RoutingState.h"

using namespace laurelcroft;

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
    return m_rollouts.emplace(service, rollout_tracker(m_bounds.rolloutExposure)).first->second;
}

send_budget &routing_state::repeats(std::string_view service)
{
    const auto it = m_repeats.find(service);
    if (it != m_repeats.end())
        return it->second;
    return m_repeats.emplace(service, send_budget(m_bounds.repeats)).first->second;
}
