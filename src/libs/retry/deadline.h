#pragma once

#include "base/units.h"

#include <algorithm>
#include <optional>

namespace Lagoonbank::Retry {

/// Deadline of a caller's request, passed on with each attempt. The reserve is subtracted for the
/// transfer of the answer to the caller.
struct Deadline
{
    std::optional<Base::MonoTime> at; ///< No value: no deadline.
    Base::Duration reserve = std::chrono::milliseconds(2);

    /// Time available to an attempt that starts now; never negative. No value without a deadline.
    std::optional<Base::Duration> remaining(Base::MonoTime now) const
    {
        if (!at)
            return std::nullopt;
        return std::max(Base::Duration::zero(), *at - now - reserve);
    }

    /// Whether an attempt that starts after `wait` and takes at least `minimum` can end in time.
    bool leavesTime(Base::MonoTime now, Base::Duration wait, Base::Duration minimum) const
    {
        const std::optional<Base::Duration> left = remaining(now);
        return !left || *left > wait + minimum;
    }
};

} // namespace Lagoonbank::Retry
