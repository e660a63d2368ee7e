//===-- SendBudget.cpp - budget for repeated sends ------------------------===//
//
// A token bucket that is filled by requests. Its capacity depends on the requests of the last
// window, which are counted in buckets of a fifth of a second; a bucket counts while it lies
// entirely in the window.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/SendBudget.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

constexpr milliseconds bucketLength{200};
/// Fraction of a window's earnings that can be saved. When a data centre is lost, one or two
/// seconds' worth of requests lose their responses and are all sent again at once.
constexpr double savedFraction = 0.25;
/// Fraction of an entry's share of the allowance that it may save, and fraction that it receives
/// over each window. The rest is reserved for entries that have joined but are not known to others
/// yet.
constexpr double allowanceSaved = 0.5;
constexpr double allowanceGiven = 0.25;
/// Fraction of the capacity, beyond the first few sends, that larger models cannot use: a repeat
/// saves a request, whereas a larger model only improves an answer. Nothing is reserved of the
/// first few sends; otherwise an entry that rarely gets a request could hardly ever use a larger
/// model.
constexpr double reservedForRepeats = 0.5;
constexpr double unreservedSends = 4;
/// Sends that a suspected request leaves to others. Each endpoint that it crashes interrupts
/// further streams, which then need a send to be resumed.
constexpr double reservedFromSuspects = 1;

} // namespace

std::string_view laurelcroft::textOf(further_send what)
{
    switch (what) {
    case further_send::repeat:
        return "repeat";
    case further_send::resume:
        return "resume";
    case further_send::suspected:
        return "suspected";
    case further_send::largerModel:
        return "larger_model";
    case further_send::lent:
        return "lent";
    }
    return "unknown";
}

static double earnedBy(const send_budget_bounds &bounds, std::size_t requests)
{
    return bounds.ratio / (1 + savedFraction) * static_cast<double>(requests);
}

double send_budget::maxSaved() const
{
    return savedFraction * earnedBy(m_bounds, m_requests)
            + allowanceSaved * m_bounds.allowance * m_share;
}

void send_budget::advance(time_point now, double share)
{
    const std::chrono::duration<double> passed = now - m_at.value_or(now);
    const std::chrono::duration<double> window = m_bounds.window;
    m_saved += allowanceGiven * m_bounds.allowance * std::min(share, m_share) * (passed / window);
    m_at = now;
    m_share = share;
    while (!m_buckets.empty() && now - m_buckets.front().from > m_bounds.window) {
        m_requests -= m_buckets.front().requests;
        m_buckets.pop_front();
    }
    m_saved = std::min(m_saved, maxSaved());
}

void send_budget::countRequest(time_point now, double share)
{
    advance(now, share);
    if (m_buckets.empty() || now - m_buckets.back().from >= bucketLength)
        m_buckets.push_back({now, 0});
    ++m_buckets.back().requests;
    ++m_requests;
    m_saved = std::min(m_saved + earnedBy(m_bounds, 1), maxSaved());
}

double send_budget::availableSends(time_point now, double share)
{
    advance(now, share);
    return m_saved + m_rounding;
}

double send_budget::reservedFrom(further_send what) const
{
    if (what == further_send::suspected)
        return reservedFromSuspects;
    if (what != further_send::largerModel)
        return 0;
    return reservedForRepeats * std::max(0.0, maxSaved() - unreservedSends);
}

bool send_budget::allows(time_point now, double share, further_send what)
{
    advance(now, share);
    return m_saved + m_rounding >= 1 + reservedFrom(what);
}

bool send_budget::take(time_point now, double share, further_send what)
{
    if (!allows(now, share, what))
        return false;
    m_saved -= 1;
    return true;
}
