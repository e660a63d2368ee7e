//===-- Fleet/PrefixCacheEstimate.h - cached prompt prefixes -----*- C++ -*-===//
//
// Estimates which prompt prefixes an endpoint has cached, from the requests that were
// sent to it. Evicts the least recently used prefixes first, as the endpoint does.
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

/// A prefix of a prompt for one model: the prompt's parts up to and including one of them.
struct prompt_prefix
{
    std::uint64_t hash = 0; ///< of the model and the ids of the parts, in order
    unsigned tokens = 0; ///< of the last part only

    bool operator==(const prompt_prefix &) const = default;
};

/// \returns the sum of the token counts of \p prefixes.
unsigned totalTokens(std::span<const prompt_prefix> prefixes);

/// Estimated prefix cache of one endpoint.
class prefix_cache_estimate
{
public:
    /// \param capacity in tokens. Above it, the endpoint is assumed to have evicted the least
    /// recently used prefixes.
    explicit prefix_cache_estimate(std::size_t capacity = defaultCapacity)
        : m_capacity(capacity)
    {
    }

    /// \returns the token count of the longest leading run of \p prefixes that is cached.
    unsigned cachedTokens(std::span<const prompt_prefix> prefixes) const;

    /// Records that a prompt with these prefixes was sent to the endpoint.
    void insert(std::span<const prompt_prefix> prefixes);

    std::size_t tokens() const { return m_tokens; }

    /// Half the cache size of the smaller current engines. The other half is used by running
    /// requests and by prompt parts that occur in one request only.
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
