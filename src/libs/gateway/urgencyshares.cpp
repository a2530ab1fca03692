#include "gateway/urgencyshares.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace Lagoonbank::Gateway {

std::vector<double> servedShares(const std::vector<Demand> &demands, double supply, double minShare)
{
    const auto slotSeconds = [&](std::size_t i) { return demands[i].requests * demands[i].cost; };
    std::vector<double> shares(demands.size(), minShare);
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](auto a, auto b) { return demands[a].urgency < demands[b].urgency; });
    double remaining = supply;
    for (const std::size_t i : order)
        remaining -= minShare * slotSeconds(i);
    for (std::size_t first = 0; first < order.size();) {
        const Urgency urgency = demands[order[first]].urgency;
        std::size_t end = first;
        double demanded = 0;
        for (; end < order.size() && demands[order[end]].urgency == urgency; ++end)
            demanded += (1 - minShare) * slotSeconds(order[end]);
        const double given = std::clamp(remaining, 0.0, demanded);
        const double servedPart = demanded > 0 ? given / demanded : 1;
        for (; first < end; ++first)
            shares[order[first]] += (1 - minShare) * servedPart;
        remaining -= given;
    }
    return shares;
}

} // namespace Lagoonbank::Gateway
