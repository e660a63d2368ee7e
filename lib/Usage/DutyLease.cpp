//===-- DutyLease.cpp - lease for a duty ----------------------------------===//
//
// A lease grants a duty to one entry at a time. This file decides who may acquire the duty. These
// functions have no side effects; usage_holder renews and stores the lease.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Usage/DutyLease.h"

#include <algorithm>

using namespace laurelcroft;

bool laurelcroft::mayAcquire(const duty_lease &lease, const std::string &candidate,
                             milliseconds earliest, milliseconds length)
{
    if (lease.until > earliest)
        return false;
    if (lease.holder == candidate)
        return true;
    return std::none_of(lease.earlier.begin(), lease.earlier.end(), [&](const duty_tenure &item) {
        return item.holder == candidate && earliest - item.until < length;
    });
}

duty_lease laurelcroft::nextLease(const duty_lease &before, const std::string &holder,
                                  std::uint64_t life, milliseconds earliest, milliseconds length)
{
    duty_lease next;
    next.holder = holder;
    next.life = life;
    next.token = before.token + 1;
    next.until = earliest + length;
    for (const duty_tenure &item : before.earlier) {
        if (earliest - item.until < length)
            next.earlier.push_back(item);
    }
    if (!before.holder.empty() && before.holder != holder)
        next.earlier.push_back({before.holder, before.until});
    return next;
}
