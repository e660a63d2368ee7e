//===-- Policy/RateShare.h - sharing a bounded request rate -----*- C++ -*-===//
//
// Some endpoints accept only a bounded number of requests per second, summed over all entries: cold
// ones, after a start or when their data centre is put back into service, and those that state a
// rate limit in their responses. Without coordination, many entries overload them, since they look
// idle to each of them.
//
// A few entries, chosen by rendezvous hashing, own each of these endpoints and share its rate;
// entries exchange no messages for this. Equal shares for all entries were rejected: with more than
// 18 entries, each share of a rate of 18 per second is below one request per second, so idle
// endpoints get little of the traffic.
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

/// Requests per second that one owner gets of the rate that a cold endpoint accepts. If it were
/// below one, all owners could send within the same second. With three, there are few owners, and
/// each has little traffic of its own: 20 endpoints that accept 6 per second received 0.7 per
/// second, as against 1.4 with one (40 entries, simulated clock).
inline constexpr double coldShareOfOwner = 1;

/// What all entries together may send to an endpoint that may be cold: this multiple of the rate
/// that it accepts while it is cold, and some requests per second more. One request below what the
/// users allow at a cold endpoint; less would refuse callers of warm endpoints in each store
/// outage.
inline constexpr double possiblyColdRatio = 1.5;
inline constexpr double possiblyColdExtra = 4;

/// Number of owners of an endpoint with a rate limit, in addition to one for each request per
/// second, so that most of the limit is still used when an owner fails.
inline constexpr std::size_t spareOwners = 2;

/// \param perSecond requests per second that the endpoint accepts from all entries.
/// \param owners number of entries that share the rate; limited to the number of entries.
/// \param entries names of all entries.
/// \param own name of the entry whose share is computed.
/// \returns requests per second that \p own may send there; 0 if it does not own the endpoint.
double rateShareOf(std::string_view endpoint, double perSecond, std::size_t owners,
                   std::span<const std::string> entries, std::string_view own);

/// \returns \p own's share of an endpoint that accepts \p perSecond while it is cold.
double coldShareOf(std::string_view endpoint, double perSecond,
                   std::span<const std::string> entries, std::string_view own);

/// \returns \p own's share of an endpoint that accepts \p perSecond while it is cold, and for which
/// it is unknown whether it is. Whole requests per second unless one entry has all of it, so that
/// the entries together never send more than \c possiblyColdRatio * \p perSecond + \c
/// possiblyColdExtra within a second.
/// An entry that is not in \p entries gets one request per second: other entries count without it.
double possiblyColdShareOf(std::string_view endpoint, double perSecond,
                           std::span<const std::string> entries, std::string_view own);

/// \returns \p own's share of an endpoint that states \p perSecond as its rate limit. In any T
/// seconds, all owners together send at most \p perSecond * (T + 2) + \c spareOwners requests.
double limitShareOf(std::string_view endpoint, double perSecond,
                    std::span<const std::string> entries, std::string_view own);

/// Minimum delays before an entry without a share of a rate limit may send a request to check
/// whether the limit still applies, in case notices of other entries are lost. Both delays apply.
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
