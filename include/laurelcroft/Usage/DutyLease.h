//===-- Usage/DutyLease.h - lease for a duty --------------------*- C++ -*-===//
//
// A lease grants a duty to one entry at a time. It is stored in a row that is only written with a
// compare-and-set on its version. The receivers of the holder's calls do not check the fencing
// token, so the lease alone must ensure that calls of a former holder do not arrive after its lease
// has ended. StoreTimeBounds.h describes the clocks that this relies on.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_DUTYLEASE_H
#define LAURELCROFT_USAGE_DUTYLEASE_H

#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <string>
#include <vector>

namespace laurelcroft {

/// A former holder of a duty and the end of its lease.
struct duty_tenure
{
    std::string holder;
    milliseconds until{0}; ///< end of the lease, on the store's clock

    bool operator==(const duty_tenure &) const = default;
};

/// The current holder of a duty and the end of its lease.
struct duty_lease
{
    std::string holder; ///< name of an entry; empty if the duty was never held
    std::uint64_t life = 0; ///< identifies the holder's process among those of the same entry
    std::uint64_t token = 0; ///< fencing token, incremented with each new lease
    milliseconds until{0}; ///< end of the lease, on the store's clock
    /// Previous holders that may not acquire the duty yet, see mayAcquire().
    std::vector<duty_tenure> earlier;

    bool operator==(const duty_lease &) const = default;
};

/// \param earliest lower bound of the current time on the store's clock.
/// \param length length of a lease.
/// \returns true if \p candidate may acquire the duty now: the lease has ended and, if another
/// entry has held the duty after the candidate, the candidate's own lease ended at least \p length
/// ago.
bool mayAcquire(const duty_lease &lease, const std::string &candidate, milliseconds earliest,
                milliseconds length);

/// \returns the lease of \p holder that replaces \p before, with the next fencing token.
duty_lease nextLease(const duty_lease &before, const std::string &holder, std::uint64_t life,
                     milliseconds earliest, milliseconds length);

} // namespace laurelcroft

#endif
