//===-- Support/Random.h - seeded random number generator -------*- C++ -*-===//
//
// Random decisions use a generator that the caller seeds, so that tests and experiments can be
// reproduced exactly.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_RANDOM_H
#define LAURELCROFT_SUPPORT_RANDOM_H

#include <cstddef>
#include <cstdint>
#include <random>

namespace laurelcroft {

/// A seeded pseudorandom number generator. Not cryptographically secure; do not generate keys with
/// it.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// \returns a uniformly distributed number in [0, 1).
    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

    /// \returns a uniformly distributed index less than \p size, which must not be 0.
    std::size_t index(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(m_engine);
    }

    /// \returns true with the given probability, in [0, 1].
    bool chance(double probability) { return uniform() < probability; }

    /// \returns 64 random bits.
    std::uint64_t bits() { return m_engine(); }

    /// \returns the underlying engine, for use with standard library distributions.
    std::mt19937_64 &engine() { return m_engine; }

private:
    std::mt19937_64 m_engine;
};

} // namespace laurelcroft

#endif
