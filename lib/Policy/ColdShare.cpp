//===-- ColdShare.cpp - who may ask a cold endpoint -------------------------===//
//
// Entries that know each other agree on the owners. While one starts or ends, two may think that
// they are the same owner: the sum is above what the endpoint bears by one share then.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ColdShare.h"

#include "laurelcroft/Fleet/Ranking.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

double laurelcroft::coldShareOf(std::string_view endpoint, double perSecond,
                                std::span<const std::string> entries, std::string_view own)
{
    if (entries.empty() || perSecond <= 0)
        return 0;
    const double wanted = std::floor(perSecond / coldShareOfOwner);
    const double owners = std::clamp(wanted, 1.0, static_cast<double>(entries.size()));
    if (!ranksAmong(entries, endpoint, static_cast<std::size_t>(owners), own))
        return 0;
    return perSecond / owners;
}
