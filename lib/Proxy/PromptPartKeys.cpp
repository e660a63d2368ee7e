//===-- PromptPartKeys.cpp - keys of prompt parts ---------------------------===//
//
// The keys are the same at all entries. They need no secret: the id of a part is a random number
// that the callers have drawn and does not reveal the part.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/PromptPartKeys.h"

#include "laurelcroft/Policy/CrashSuspects.h"
#include "laurelcroft/Support/Crypto.h"

#include <algorithm>

using namespace laurelcroft;

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
        const request_key part = partKeyFrom(stableHash(request.promptParts[i].id));
        addUnlessKnown(keys, part);
        addUnlessKnown(keys, partKeyFrom(stableHash(customer, part)));
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
