#pragma once

#include <compare>

namespace Lagoonbank::Capacity {

/// Urgency of a request. The priority of the workspace, or of the route if the workspace has none,
/// is compared first. Equal requests are compared by the route's priority, because a workspace's
/// priority does not distinguish its kinds of request.
struct Urgency
{
    int priority = 0; ///< 0 is most urgent.
    int routePriority = 0;

    auto operator<=>(const Urgency &) const = default;
};

} // namespace Lagoonbank::Capacity
