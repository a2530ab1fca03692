#pragma once

#include "base/units.h"

#include <algorithm>
#include <optional>

namespace Lagoonbank::Retry {

/// Deadline of a caller's request, passed on with each attempt. The reserve is time kept for
/// the transfer of the answer to the caller: attempts have to end that much earlier.
struct Deadline
{
    std::optional<Base::MonoTime> answerBy; ///< Time by which the caller needs the answer, if any.
    Base::Duration reserve = std::chrono::milliseconds(2);

    /// Time available to an attempt that starts now; never negative. No value without a deadline.
    std::optional<Base::Duration> remaining(Base::MonoTime now) const
    {
        if (!answerBy)
            return std::nullopt;
        return std::max(Base::Duration::zero(), *answerBy - now - reserve);
    }

    /// Whether an attempt that starts after `wait` and takes at least `minimum` can end in time.
    bool leavesTime(Base::MonoTime now, Base::Duration wait, Base::Duration minimum) const
    {
        const std::optional<Base::Duration> available = remaining(now);
        return !available || *available > wait + minimum;
    }
};

} // namespace Lagoonbank::Retry
