//===-- Policy/CandidateSample.h - bounded candidate sample -----*- C++ -*-===//
//
// Evaluating a candidate means looking up its load, its cached prompts and its connections. With
// 3,000 endpoints, evaluating all of them took 570 us per request on a whole core, and a small
// instance has a tenth of a core; with the bound it takes 30 to 72 us (three runs on a shared
// machine). Each request therefore evaluates a bounded number of endpoints: a random part, drawn
// anew for each request so that all endpoints receive traffic, and the endpoints that rank first as
// the home of its prompt.
//
// This matters for deployments with many entries and many endpoints; up to maxCandidates endpoints,
// all are evaluated.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_CANDIDATESAMPLE_H
#define LAURELCROFT_POLICY_CANDIDATESAMPLE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace laurelcroft {

/// The properties of an endpoint that sampling needs.
struct sampled_endpoint
{
    std::uint64_t idHash = 0;
    bool sameDataCentre = true;
};

/// Maximum number of candidates per request. The least loaded of a hundred endpoints is nearly as
/// idle as the least loaded of thousands. Current deployments have up to 160 endpoints per service,
/// which are all evaluated.
inline constexpr std::size_t maxCandidates = 192;
/// Maximum number of these in other data centres, which cost more and are rarely chosen.
inline constexpr std::size_t maxRemoteCandidates = 48;
/// Number of top-ranked homes included, both for the whole site and for the local data centre. More
/// than one, since the first may be temporarily avoided.
inline constexpr std::size_t homesPerScope = 2;

/// \param prompt hash of the prompt's longest shared prefix; empty if it shares no prefix.
/// \param draw random number, drawn anew for each request.
/// \returns distinct indices into \p endpoints, at most maxCandidates of them.
std::vector<std::size_t> sampleCandidates(std::span<const sampled_endpoint> endpoints,
                                          std::optional<std::uint64_t> prompt, std::uint64_t draw);

/// \returns the rendezvous hashing rank of an endpoint as the home of \p prompt, the endpoint that
/// should keep it cached; the highest rank is the home. All entries compute the same ranks.
std::uint64_t homeRank(std::uint64_t idHash, std::uint64_t prompt);

} // namespace laurelcroft

#endif
