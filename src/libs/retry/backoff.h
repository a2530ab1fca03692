#pragma once

#include "base/units.h"

#include <functional>

namespace Lagoonbank::Retry {

/// Exponential backoff with full jitter: a random wait from zero to min(cap, base * 2^retry).
struct Backoff
{
    Base::Duration base = std::chrono::milliseconds(5);
    Base::Duration cap = std::chrono::milliseconds(500);
    /// Returns random numbers, uniform in [0, 1); without it, waits have no jitter.
    std::function<double()> random;

    /// Time to wait before the given retry; the first retry has number 0.
    Base::Duration wait(int retry) const;
};

} // namespace Lagoonbank::Retry
