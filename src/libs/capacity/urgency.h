#pragma once

#include <compare>

namespace Lagoonbank::Capacity {

/// Urgency of a request. The gateway translates its own type to this one.
struct Urgency
{
    int priority = 0; ///< 0 is most urgent; compared first.
    int routePriority = 0;

    auto operator<=>(const Urgency &) const = default;
};

} // namespace Lagoonbank::Capacity
