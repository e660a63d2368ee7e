//===-- Fleet/PrefixCacheEstimate.h - prefixes kept at an endpoint ------*- C++ -*-===//
//
// Which prompt prefixes an endpoint is thought to keep, from what was sent there. The
// least recently used are forgotten first, as the endpoint does it.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_PREFIXCACHEESTIMATE_H
#define LAURELCROFT_FLEET_PREFIXCACHEESTIMATE_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace laurelcroft {

/// A prefix of a prompt: all parts up to one, of one model.
struct prompt_prefix
{
    std::uint64_t hash = 0; ///< of the model and the parts' ids, in order
    unsigned tokens = 0; ///< of its last part

    bool operator==(const prompt_prefix &) const = default;
};

/// \returns the tokens of \p prefixes together.
unsigned totalTokens(std::span<const prompt_prefix> prefixes);

/// The prefixes of one endpoint.
class prefix_cache_estimate
{
public:
    /// Prefixes of this many tokens are remembered at most; above it the endpoint is thought
    /// to have dropped the oldest.
    explicit prefix_cache_estimate(std::size_t capacity = defaultCapacity)
        : m_capacity(capacity)
    {
    }

    /// \returns the tokens of the longest run of \p prefixes, from the first, that is kept.
    unsigned cachedTokens(std::span<const prompt_prefix> prefixes) const;

    /// Notes that a prompt with these prefixes was read.
    void insert(std::span<const prompt_prefix> prefixes);

    std::size_t tokens() const { return m_tokens; }

    /// Half of what the smaller engines of today keep: the rest is taken by running requests
    /// and by parts that only one request has.
    static constexpr std::size_t defaultCapacity = 300'000;

private:
    struct item
    {
        std::uint64_t hash;
        unsigned tokens;
    };
    std::size_t m_capacity;
    std::size_t m_tokens = 0;
    std::list<item> m_lruList; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<item>::iterator> m_items;
};

} // namespace laurelcroft

#endif
