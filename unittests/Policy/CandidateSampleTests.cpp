//===-- CandidateSampleTests.cpp - bounded candidate sample ---------------===//
//
// Size and contents of the candidate sample among thousands of endpoints.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/CandidateSample.h"
#include "laurelcroft/Support/Crypto.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace laurelcroft;

/// \returns endpoints distributed in turn over three data centres; the first is the local one.
static std::vector<sampled_endpoint> endpointsOf(std::size_t count)
{
    std::vector<sampled_endpoint> endpoints;
    for (std::size_t i = 0; i < count; ++i)
        endpoints.push_back({stableHash("p" + std::to_string(i)), i % 3 == 0});
    return endpoints;
}

TEST_CASE("all endpoints are sampled up to the bound")
{
    for (const std::size_t count : {std::size_t(0), std::size_t(1), maxCandidates})
        CHECK(sampleCandidates(endpointsOf(count), 7, 5).size() == count);
}

TEST_CASE("the sample of thousands of endpoints is bounded and mostly local")
{
    const auto endpoints = endpointsOf(3000);
    for (std::uint64_t draw = 0; draw < 200; ++draw) {
        const auto sample = sampleCandidates(endpoints, draw, draw * 7919);
        CHECK(sample.size() <= maxCandidates);
        CHECK(sample.size() > maxCandidates / 2);
        CHECK(std::set<std::size_t>(sample.begin(), sample.end()).size() == sample.size());
        const auto far = std::count_if(sample.begin(), sample.end(), [&](std::size_t index) {
            return !endpoints[index].sameDataCentre;
        });
        CHECK(static_cast<std::size_t>(far) <= maxRemoteCandidates + homesPerScope);
    }
}

TEST_CASE("the sample always contains the prompt's home, and over time every endpoint")
{
    const auto endpoints = endpointsOf(1000);
    constexpr std::uint64_t prompt = 99;
    std::size_t home = 0;
    for (std::size_t i = 1; i < endpoints.size(); ++i) {
        if (homeRank(endpoints[i].idHash, prompt) > homeRank(endpoints[home].idHash, prompt))
            home = i;
    }
    std::set<std::size_t> seen;
    for (std::uint64_t draw = 0; draw < 400; ++draw) {
        const auto sample = sampleCandidates(endpoints, prompt, stableHash(std::to_string(draw)));
        CHECK(std::find(sample.begin(), sample.end(), home) != sample.end());
        seen.insert(sample.begin(), sample.end());
    }
    CHECK(seen.size() == endpoints.size());
}
