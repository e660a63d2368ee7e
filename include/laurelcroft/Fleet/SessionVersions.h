//===-- Fleet/SessionVersions.h - versions that sessions hold ----*- C++ -*-===//
//
// Remembers for a short while which software version served a session last, so that a
// roll-out moves new sessions only. Bounded; the oldest is forgotten first.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_SESSIONVERSIONS_H
#define LAURELCROFT_FLEET_SESSIONVERSIONS_H

#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace laurelcroft {

/// Versions by session.
class session_versions
{
public:
    /// \param life how long after its last request a session counts as going on.
    explicit session_versions(duration life)
        : m_life(life)
    {
    }

    /// \returns the version that served \p session last; empty when it is not going on.
    std::string_view find(std::uint64_t session, time_point now);

    /// Notes that \p version serves \p session.
    void note(std::uint64_t session, std::string_view version, time_point now);

    std::size_t size() const { return m_sessions.size(); }

    /// Sessions kept at most; at 100 new ones a second and a life of some seconds far more
    /// than there are.
    static constexpr std::size_t capacity = 8192;

private:
    struct entry
    {
        std::string version;
        time_point lastSeen;
    };
    void forgetOld(time_point now);

    duration m_life;
    std::unordered_map<std::uint64_t, entry> m_sessions;
    std::deque<std::pair<time_point, std::uint64_t>> m_order;
};

} // namespace laurelcroft

#endif
