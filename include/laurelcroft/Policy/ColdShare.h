//===-- Policy/ColdShare.h - who may ask a cold endpoint ---------*- C++ -*-===//
//
// An endpoint that has just started, or whose data centre is taken back, bears only some requests
// a second for a while, from all entries together, and falls over well above that. The load it
// answers: a data centre of endpoints comes back at once, and to every entry they look idle.
//
// A few entries own each cold endpoint, by rendezvous hashing, and share what it bears between
// them; no word passes. Equal shares of all entries were the other way: a share of 18 a second is
// below one request for more than 18 entries, so that idle endpoints get little of the traffic.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_COLDSHARE_H
#define LAURELCROFT_POLICY_COLDSHARE_H

#include <span>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Requests a second that one owner gets of what a cold endpoint bears. Below one, all owners may
/// send within the same second. With three, owners are few, and each has little to send: 20
/// endpoints that bear 6 a second got 0.7 of them, with one 1.4 (40 entries, paused clock).
inline constexpr double coldShareOfOwner = 1;

/// \param perSecond requests a second that the endpoint bears while it is cold, from all entries.
/// \param entries names of all entries; \param own the one that asks.
/// \returns requests a second that \p own may send there; 0 when it does not own the endpoint.
double coldShareOf(std::string_view endpoint, double perSecond,
                   std::span<const std::string> entries, std::string_view own);

} // namespace laurelcroft

#endif
