//===-- Policy/CandidateSample.h - few of many endpoints ---------*- C++ -*-===//
//
// A choice looks at each candidate's load, prompts and connections. Before thousands of endpoints
// that took most of a small instance's time: 570 us a choice at 3,000 endpoints on a whole core,
// where an instance has a tenth of one; with the bound 30 to 72 us (three runs beside other work).
// So a choice looks at a bounded number: some drawn anew for each request, so that all endpoints
// get their part, and those that may be the home of its prompt.
//
// The load that it answers is many entries before many endpoints; up to maxCandidates nothing is
// left out.
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

/// An endpoint as the sample sees it.
struct sampled_endpoint
{
    std::uint64_t idHash = 0;
    bool sameDataCentre = true;
};

/// Candidates that one choice looks at. The least loaded of a hundred is nearly as idle as that of
/// thousands; the users' deployments of today, up to 160 endpoints of a service, are seen whole.
inline constexpr std::size_t maxCandidates = 192;
/// Of these, endpoints of other data centres: they cost more and are chosen seldom.
inline constexpr std::size_t maxRemoteCandidates = 48;
/// Ranks of a home that are looked at, in the whole site and in the own data centre: the first may
/// be avoided for a while.
inline constexpr std::size_t homesPerScope = 2;

/// \param prompt hash of the prompt's longest shared prefix; empty if it shares nothing.
/// \param draw random, another one for each request.
/// \returns indices into \p endpoints, each once, at most maxCandidates of them.
std::vector<std::size_t> sampleCandidates(std::span<const sampled_endpoint> endpoints,
                                          std::optional<std::uint64_t> prompt, std::uint64_t draw);

/// \returns the rank of an endpoint as the home of \p prompt; the highest is the home. All entries
/// compute it alike.
std::uint64_t homeRank(std::uint64_t idHash, std::uint64_t prompt);

} // namespace laurelcroft

#endif
