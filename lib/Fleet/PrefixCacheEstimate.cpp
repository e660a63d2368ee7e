//===-- PrefixCacheEstimate.cpp - cached prompt prefixes --------------------===//
//
// An LRU list with a hash index.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/PrefixCacheEstimate.h"

using namespace laurelcroft;

unsigned laurelcroft::totalTokens(std::span<const prompt_prefix> prefixes)
{
    unsigned tokens = 0;
    for (const prompt_prefix &prefix : prefixes)
        tokens += prefix.tokens;
    return tokens;
}

unsigned prefix_cache_estimate::cachedTokens(std::span<const prompt_prefix> prefixes) const
{
    unsigned kept = 0;
    for (const prompt_prefix &prefix : prefixes) {
        if (m_items.count(prefix.hash) == 0)
            return kept;
        kept += prefix.tokens;
    }
    return kept;
}

void prefix_cache_estimate::insert(std::span<const prompt_prefix> prefixes)
{
    for (const prompt_prefix &prefix : prefixes) {
        const auto known = m_items.find(prefix.hash);
        if (known != m_items.end()) {
            m_lruList.splice(m_lruList.begin(), m_lruList, known->second);
            continue;
        }
        m_lruList.push_front({prefix.hash, prefix.tokens});
        m_items[prefix.hash] = m_lruList.begin();
        m_tokens += prefix.tokens;
    }
    while (m_tokens > m_capacity && !m_lruList.empty()) {
        m_tokens -= m_lruList.back().tokens;
        m_items.erase(m_lruList.back().hash);
        m_lruList.pop_back();
    }
}
