//===-- PromptPartKeys.cpp - keys of prompt parts ---------------------------===//
//
// The keys are the same at all entries. They need no secret: the id of a part is a random number
// that the callers have drawn and does not reveal the part.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PromptPartKeys.h"

#include "laurelcroft/Support/Crypto.h"

#include <algorithm>

using namespace laurelcroft;

/// Seed of the hashes, so that the key of a part differs from other hashes of its id.
static constexpr std::uint64_t partSeed = 0x9d39'247e'3377'6d41;

static void addUnlessKnown(std::vector<request_key> &keys, request_key key)
{
    if (std::find(keys.begin(), keys.end(), key) == keys.end())
        keys.push_back(key);
}

std::vector<request_key> laurelcroft::partKeysOf(const proxy_request &request,
                                                 std::string_view customer)
{
    std::vector<request_key> keys;
    const std::size_t parts = request.promptParts.size();
    const std::size_t shared = std::min(parts == 0 ? 0 : parts - 1, maxKeyedParts);
    keys.reserve(2 * shared);
    for (std::size_t i = 0; i < shared; ++i) {
        const request_key part = stableHash(request.promptParts[i].id, partSeed);
        addUnlessKnown(keys, part);
        addUnlessKnown(keys, stableHash(customer, part));
    }
    return keys;
}

std::string laurelcroft::textOfKeys(std::span<const request_key> keys, std::size_t longest)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(keys.size(), longest); ++i)
        text += (i == 0 ? "" : ",") + textOf(keys[i]);
    return text;
}
