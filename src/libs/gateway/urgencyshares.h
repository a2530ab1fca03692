#pragma once

#include "capacity/urgency.h"

#include <tuple>
#include <vector>

namespace Lagoonbank::Gateway {

using Capacity::Urgency;

/// Demand of the requests of one kind and urgency.
struct Demand
{
    Urgency urgency;
    double requests = 0; ///< Recent requests.
    double cost = 0; ///< Seconds for which one request occupies a slot.
};

/// Divides the capacity of a service among demands whose sum may exceed it. Each demand first gets
/// \a minShare of its requests. The rest of the capacity goes to the most urgent demands as far as
/// they need it, then to the next; equally urgent demands get the same share. \a supply is in the
/// unit of requests times cost. Returns, in the order of \a demands, the share of the requests of
/// each demand that may be served.
std::vector<double> servedShares(const std::vector<Demand> &demands, double supply,
                                 double minShare);

} // namespace Lagoonbank::Gateway
