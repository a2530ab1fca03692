#pragma once

#include "base/units.h"

#include <algorithm>
#include <optional>

namespace Lagoonbank::Retry {

/// A caller's deadline as it is carried on. The reserve is kept back for the answer's way home.
struct Deadline
{
    std::optional<Base::MonoTime> at; ///< Not set: no deadline.
    Base::Duration reserve = std::chrono::milliseconds(2);

    /// Time an attempt that starts now may take; never negative. Nothing without a deadline.
    std::optional<Base::Duration> remaining(Base::MonoTime now) const
    {
        if (!at)
            return std::nullopt;
        return std::max(Base::Duration::zero(), *at - now - reserve);
    }

    /// Whether an attempt that starts after `wait` and takes at least `least` can still be in time.
    bool leavesTime(Base::MonoTime now, Base::Duration wait, Base::Duration least) const
    {
        const std::optional<Base::Duration> left = remaining(now);
        return !left || *left > wait + least;
    }
};

} // namespace Lagoonbank::Retry
