#pragma once

#include "base/units.h"

#include <functional>

namespace Lagoonbank::Retry {

/// Exponential backoff with full jitter: a wait between zero and min(cap, base x 2^retry).
struct Backoff
{
    Base::Duration base = std::chrono::milliseconds(5);
    Base::Duration cap = std::chrono::milliseconds(500);
    /// Uniform in [0, 1). Tests inject a fixed sequence.
    std::function<double()> random;

    /// Wait before retry number `retry`, counted from 0.
    Base::Duration wait(int retry) const;
};

} // namespace Lagoonbank::Retry
