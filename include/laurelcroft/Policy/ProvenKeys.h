//===-- Policy/ProvenKeys.h - what endpoints have run to an end --*- C++ -*-===//
//
// Remembers the keys of prompt parts that endpoints of a version have answered without crashing.
// A part that many requests share is proven before any endpoint crashes, so that unrelated crashes
// don't count against it.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_PROVENKEYS_H
#define LAURELCROFT_POLICY_PROVENKEYS_H

#include "laurelcroft/Support/Runtime.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>

namespace laurelcroft {

/// A bounded set of keys, each proven for a version. Not thread-safe.
///
/// Keeps two generations: a new one replaces the older one when the newer one is full or old.
/// A key that is proven again moves to the newer one, so keys in use outlast any number of keys
/// that are proven once.
class proven_keys
{
public:
    static constexpr std::size_t maxPerGeneration = 4096;
    /// A key is kept for one to two of these.
    static constexpr std::chrono::minutes generationLifetime{10};

    /// Records that an endpoint of \p version has run a request with \p key without crashing.
    void add(std::uint64_t key, std::string_view version, time_point now);

    bool contains(std::uint64_t key, std::string_view version) const;

    /// Removes what has expired.
    void expire(time_point now);

private:
    void startGeneration(time_point now);

    std::unordered_set<std::uint64_t> m_newer; ///< hashes of key and version
    std::unordered_set<std::uint64_t> m_older;
    time_point m_startedAt{}; ///< when the newer generation began
};

} // namespace laurelcroft

#endif
