#pragma once

#include "base/units.h"

#include <cstdint>

namespace Simulation {

/// SplitMix64 generator. It draws the same numbers on every platform, which the distributions of
/// the standard library don't guarantee. It is small enough for each link to have its own, so that
/// removing a step from a history has little effect on the other links.
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
    /// A number from 0 to \a limit - 1, or 0 if \a limit is 0.
    std::uint64_t below(std::uint64_t limit) { return limit == 0 ? 0 : next() % limit; }
    bool chance(int percent) { return below(100) < static_cast<std::uint64_t>(percent); }
    /// A duration in whole microseconds; both ends are included.
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
