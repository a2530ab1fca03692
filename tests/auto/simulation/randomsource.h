#pragma once

#include "base/units.h"

#include <cstdint>

namespace Simulation {

/// Splitmix64. The same numbers on every machine, which the standard's distributions don't promise;
/// small enough to give each link one, so that a step left out changes little elsewhere.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : m_state(seed)
    { }

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15U;
        std::uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }
    /// From 0 to \a limit - 1; 0 if that is 0.
    std::uint64_t below(std::uint64_t limit) { return limit == 0 ? 0 : next() % limit; }
    bool chance(int percent) { return below(100) < static_cast<std::uint64_t>(percent); }
    /// In whole microseconds, both ends included.
    Lagoonbank::Base::Duration between(Lagoonbank::Base::Duration min,
                                       Lagoonbank::Base::Duration max)
    {
        using std::chrono::microseconds;
        const auto span = std::chrono::duration_cast<microseconds>(max - min).count();
        return min + microseconds(below(static_cast<std::uint64_t>(span) + 1));
    }

private:
    std::uint64_t m_state;
};

} // namespace Simulation
