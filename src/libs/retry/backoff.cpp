#include "retry/backoff.h"

#include <algorithm>

namespace Lagoonbank::Retry {

using Base::Duration;

Duration Backoff::wait(int retry) const
{
    constexpr int maximumDoublings = 30;
    Duration ceiling = base;
    for (int i = 0; i < std::min(retry, maximumDoublings) && ceiling < cap; ++i)
        ceiling *= 2;
    ceiling = std::min(ceiling, cap);
    const double fraction = random ? std::clamp(random(), 0.0, 1.0) : 1.0;
    return Base::fromSeconds(Base::toSeconds(ceiling) * fraction);
}

} // namespace Lagoonbank::Retry
