#pragma once

#include <tuple>
#include <vector>

namespace Lagoonbank::Gateway {

/// How urgent a request is: first by the priority that its workspace or else its route has, among
/// equals by that of its route, as a workspace's priority says nothing of its kinds of request.
struct Urgency
{
    int priority = 0; ///< 0 is most urgent.
    int routePriority = 0;

    auto operator<=>(const Urgency &) const = default;
};

/// What the requests of one kind and urgency ask for.
struct Demand
{
    Urgency urgency;
    double requests = 0; ///< That have come lately.
    double cost = 0; ///< Of one of them: seconds for which it takes a place.
};

/// Divides a service's places among demands that do not all fit: each gets \a minShare of its
/// requests, then the most urgent ones all that they ask for, then the next; equals the same share.
/// \a supply is in the unit of requests times cost. Gives the share of requests of each demand that
/// may be served, in the order of \a demands.
std::vector<double> servedShares(const std::vector<Demand> &demands, double supply,
                                 double minShare);

} // namespace Lagoonbank::Gateway
