//===-- ProvenKeys.cpp - what endpoints have run to an end ------------------===//
//
// Two sets of hashes. Adding a key costs a lookup and, once per generation, an insertion.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ProvenKeys.h"

#include "laurelcroft/Support/Crypto.h"

#include <utility>

using namespace laurelcroft;

static std::uint64_t hashOf(std::uint64_t key, std::string_view version)
{
    return stableHash(version, key);
}

void proven_keys::add(std::uint64_t key, std::string_view version, time_point now)
{
    if (m_newer.size() >= maxPerGeneration)
        startGeneration(now);
    m_newer.insert(hashOf(key, version));
}

bool proven_keys::contains(std::uint64_t key, std::string_view version) const
{
    const std::uint64_t hash = hashOf(key, version);
    return m_newer.count(hash) != 0 || m_older.count(hash) != 0;
}

void proven_keys::expire(time_point now)
{
    if (now - m_startedAt >= generationLifetime)
        startGeneration(now);
}

void proven_keys::startGeneration(time_point now)
{
    m_older = std::exchange(m_newer, {});
    m_startedAt = now;
}
