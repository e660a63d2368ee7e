//===-- Support/StoreVersion.h - position in a store's history --*- C++ -*-===//
//
// A store may come back from a copy that is some seconds old. Its counter of writes then goes back,
// and the same numbers are given out again, so a number alone does not show which of two rows is
// newer. Together with the store's era it does.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_STOREVERSION_H
#define LAURELCROFT_SUPPORT_STOREVERSION_H

#include <compare>
#include <cstdint>
#include <string>

namespace laurelcroft {

/// Version of a row or a table, ordered by era, then by number.
struct store_version
{
    std::uint64_t era = 0; ///< 1 above the one that the store states; 0: it states none
    std::uint64_t number = 0; ///< counter of writes; 0: unknown, or no row

    constexpr store_version() = default;
    constexpr store_version(std::uint64_t era, std::uint64_t number)
        : era(era)
        , number(number)
    {
    }
    /// Constant without an era. A number that is only known at run time does not convert, so a
    /// comparison without its era does not compile.
    consteval store_version(std::uint64_t number)
        : number(number)
    {
    }

    auto operator<=>(const store_version &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Version of a table that has not been read yet, or of a row that does not exist.
inline constexpr store_version unknownVersion;

/// \returns \p version for the log, as era/number.
inline std::string textOf(store_version version)
{
    return std::to_string(version.era) + "/" + std::to_string(version.number);
}

} // namespace laurelcroft

#endif
