//===-- SignOff.cpp - signed acceptance of a bundle -------------------------===//
//
// Signatures cover the hash only. The epoch is assigned when the table row is written
// by compare-and-set, so signers cannot know it beforehand.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Contract/SignOff.h"

#include "laurelcroft/Support/Crypto.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

using namespace laurelcroft;

std::string laurelcroft::signedText(std::string_view hash)
{
    return "laurelcroft bundle " + std::string(hash);
}

bool laurelcroft::isSignedOff(const acceptance &accepted, const signoff_rule &rule)
{
    const std::string text = signedText(accepted.hash);
    std::set<std::string> signers;
    for (const bundle_signature &item : accepted.signatures) {
        const bool trusted
                = std::find(rule.trustedKeys.begin(), rule.trustedKeys.end(), item.publicKey)
                != rule.trustedKeys.end();
        if (trusted && verifyEd25519(item.publicKey, text, item.signature))
            signers.insert(item.publicKey);
    }
    return signers.size() >= rule.required;
}

std::string laurelcroft::encodeAcceptance(const acceptance &accepted)
{
    nlohmann::ordered_json object;
    object["epoch"] = accepted.epoch;
    object["hash"] = accepted.hash;
    object["operation"] = accepted.operationId;
    object["operator"] = accepted.operatorName;
    object["signatures"] = nlohmann::ordered_json::array();
    for (const bundle_signature &item : accepted.signatures)
        object["signatures"].push_back({{"key", item.publicKey}, {"signature", item.signature}});
    return object.dump();
}

std::optional<acceptance> laurelcroft::decodeAcceptance(std::string_view text)
{
    const auto object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    try {
        acceptance accepted;
        accepted.epoch = object.at("epoch").get<bundle_epoch>();
        accepted.hash = object.at("hash").get<std::string>();
        accepted.operationId = object.at("operation").get<std::string>();
        accepted.operatorName = object.at("operator").get<std::string>();
        for (const auto &item : object.at("signatures"))
            accepted.signatures.push_back(
                    {item.at("key").get<std::string>(), item.at("signature").get<std::string>()});
        return accepted;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}
