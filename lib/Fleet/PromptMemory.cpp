//===-- PromptMemory.cpp - prefixes kept at an endpoint ---------------------===//
//
// A list by use and an index into it.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/PromptMemory.h"

using namespace laurelcroft;

unsigned laurelcroft::tokensOf(std::span<const prompt_prefix> prefixes)
{
    unsigned tokens = 0;
    for (const prompt_prefix &prefix : prefixes)
        tokens += prefix.tokens;
    return tokens;
}

unsigned prompt_memory::cachedTokens(std::span<const prompt_prefix> prefixes) const
{
    unsigned kept = 0;
    for (const prompt_prefix &prefix : prefixes) {
        if (m_items.count(prefix.hash) == 0)
            return kept;
        kept += prefix.tokens;
    }
    return kept;
}

void prompt_memory::insert(std::span<const prompt_prefix> prefixes)
{
    for (const prompt_prefix &prefix : prefixes) {
        const auto known = m_items.find(prefix.hash);
        if (known != m_items.end()) {
            m_order.splice(m_order.begin(), m_order, known->second);
            continue;
        }
        m_order.push_front({prefix.hash, prefix.tokens});
        m_items[prefix.hash] = m_order.begin();
        m_tokens += prefix.tokens;
    }
    while (m_tokens > m_capacity && !m_order.empty()) {
        m_tokens -= m_order.back().tokens;
        m_items.erase(m_order.back().hash);
        m_order.pop_back();
    }
}
