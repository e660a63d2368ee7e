//===-- Policy/RateShare.h - sharing a bounded request rate ------*- C++ -*-===//
//
// Some endpoints accept only a bounded number of requests a second, summed over all entries: cold
// ones, after a start or when their data centre is taken back, and those that state a rate limit in
// their answers. Without coordination many entries overload them, since to each they look idle.
//
// A few entries own each of these endpoints, by rendezvous hashing, and share its rate between
// them; no word passes. Equal shares of all entries were the other way: a share of 18 a second is
// below one request for more than 18 entries, so that idle endpoints get little of the traffic.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_RATESHARE_H
#define LAURELCROFT_POLICY_RATESHARE_H

#include "laurelcroft/Support/Runtime.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Requests a second that one owner gets of what a cold endpoint bears. Below one, all owners may
/// send within the same second. With three, owners are few, and each has little to send: 20
/// endpoints that bear 6 a second got 0.7 of them, with one 1.4 (40 entries, paused clock).
inline constexpr double coldShareOfOwner = 1;

/// Owners of an endpoint with a rate limit in addition to one for each request a second, so that
/// most of the limit is still used when an owner fails.
inline constexpr std::size_t spareOwners = 2;

/// \param perSecond requests a second that the endpoint accepts from all entries.
/// \param owners number of entries that share them, at most all entries.
/// \param entries names of all entries; \param own the one that asks.
/// \returns requests a second that \p own may send there; 0 when it does not own the endpoint.
double rateShareOf(std::string_view endpoint, double perSecond, std::size_t owners,
                   std::span<const std::string> entries, std::string_view own);

/// \returns the share of an endpoint that bears \p perSecond while it is cold.
double coldShareOf(std::string_view endpoint, double perSecond,
                   std::span<const std::string> entries, std::string_view own);

/// \returns the share of an endpoint that states \p perSecond as its rate limit. In any T seconds,
/// all owners together send at most \p perSecond * (T + 2) + \c spareOwners requests.
double limitShareOf(std::string_view endpoint, double perSecond,
                    std::span<const std::string> entries, std::string_view own);

/// Minimum delays before an entry without a share of a rate limit may send a request to check
/// whether the limit still holds, in case the notices of other entries are lost. Both apply.
struct limit_check_delays
{
    duration sinceReport{0}; ///< since the latest report of the limit
    duration sinceSend{0}; ///< since the entry's latest request to the endpoint
};

/// \param entries number of all entries; on average, their checks together use at most a fixed
/// fraction of \p perSecond, or of a minimum rate if that is higher.
/// \returns the delays for \p own; \c sinceReport differs between entries.
limit_check_delays limitCheckDelaysOf(std::string_view endpoint, double perSecond,
                                      std::size_t entries, std::string_view own);

} // namespace laurelcroft

#endif
