#include "fleetsync/routerranking.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::FleetSync {

RouterRanking::RouterRanking(const Runtime::SocketAddress &self,
                             const std::vector<Runtime::SocketAddress> &peers)
    : m_routers{{Routing::stableHash(Runtime::toString(self)), std::nullopt}}
{
    for (const Runtime::SocketAddress &peer : peers)
        m_routers.push_back({Routing::stableHash(Runtime::toString(peer)), peer});
}

std::vector<Runtime::SocketAddress> RouterRanking::first(std::uint64_t key, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, const Router *>> order;
    order.reserve(m_routers.size());
    for (const Router &router : m_routers)
        order.emplace_back(Routing::mixHashes(key, router.hash), &router);
    const std::size_t end = std::min(order.size(), count);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(end), order.end());
    std::vector<Runtime::SocketAddress> addresses;
    for (std::size_t i = 0; i < end; ++i) {
        if (const auto &address = order[i].second->address)
            addresses.push_back(*address);
    }
    return addresses;
}

} // namespace Lagoonbank::FleetSync
