#include "gateway/urgencyshares.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace Lagoonbank::Gateway {

std::vector<double> servedShares(const std::vector<Demand> &demands, double supply, double minShare)
{
    const auto places = [&](std::size_t i) { return demands[i].requests * demands[i].cost; };
    std::vector<double> shares(demands.size(), minShare);
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](auto a, auto b) { return demands[a].urgency < demands[b].urgency; });
    double left = supply;
    for (const std::size_t i : order)
        left -= minShare * places(i);
    for (std::size_t first = 0; first < order.size();) {
        const Urgency urgency = demands[order[first]].urgency;
        std::size_t end = first;
        double asked = 0;
        for (; end < order.size() && demands[order[end]].urgency == urgency; ++end)
            asked += (1 - minShare) * places(order[end]);
        const double given = std::clamp(left, 0.0, asked);
        const double part = asked > 0 ? given / asked : 1;
        for (; first < end; ++first)
            shares[order[first]] += (1 - minShare) * part;
        left -= given;
    }
    return shares;
}

} // namespace Lagoonbank::Gateway
