//===-- Usage/DutyLease.h - one holder of a duty at a time -------*- C++ -*-===//
//
// A lease in a row that is only written under its version. Nobody checks the token of a call, so
// the lease alone must keep a former holder's calls away: see StoreTimeBounds.h for its clocks.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_DUTYLEASE_H
#define LAURELCROFT_USAGE_DUTYLEASE_H

#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <string>
#include <vector>

namespace laurelcroft {

/// A time for which an entry had a duty.
struct duty_tenure
{
    std::string holder;
    milliseconds until{0}; ///< on the store's clock

    bool operator==(const duty_tenure &) const = default;
};

/// Who has a duty, and until when.
struct duty_lease
{
    std::string holder; ///< name of an entry; empty: nobody yet
    std::uint64_t life = 0; ///< of the holder's process
    std::uint64_t token = 0; ///< fencing token: rises with each new holder
    milliseconds until{0}; ///< on the store's clock
    /// Holders before, as far as one of them must not follow yet.
    std::vector<duty_tenure> earlier;

    bool operator==(const duty_lease &) const = default;
};

/// \param earliest the store's time, as early as it can be; \param length of a lease.
/// \returns true when \p candidate may have the duty now: the lease is over, and the candidate is
/// not back within a lease's length while another one had the duty in between.
bool mayAcquire(const duty_lease &lease, const std::string &candidate, milliseconds earliest,
                milliseconds length);

/// \returns the lease that follows \p before.
duty_lease nextLease(const duty_lease &before, const std::string &holder, std::uint64_t life,
                     milliseconds earliest, milliseconds length);

} // namespace laurelcroft

#endif
