#include "fleetsync/routerranking.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::FleetSync {

RouterRanking::RouterRanking(const Runtime::SocketAddress &self,
                             const std::vector<Runtime::SocketAddress> &peers,
                             const std::vector<Runtime::SocketAddress> &reserve)
    : m_routers{{.hash = Routing::stableHash(Runtime::toString(self))}}
{
    const auto add = [this](const Runtime::SocketAddress &peer, bool isReserve) {
        m_routers.push_back({.hash = Routing::stableHash(Runtime::toString(peer)),
                             .address = peer,
                             .isReserve = isReserve});
    };
    for (const Runtime::SocketAddress &peer : peers)
        add(peer, false);
    for (const Runtime::SocketAddress &peer : reserve)
        add(peer, true);
}

RouterRanking::Rank RouterRanking::rankOf(const Router &router, std::uint64_t key)
{
    return {router.isReserve, Routing::mixHashes(key, router.hash)};
}

std::vector<const RouterRanking::Router *> RouterRanking::ranked(std::uint64_t key,
                                                                 std::size_t count) const
{
    std::vector<std::pair<Rank, const Router *>> order;
    order.reserve(m_routers.size());
    for (const Router &router : m_routers)
        order.emplace_back(rankOf(router, key), &router);
    const std::size_t end = std::min(order.size(), count);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(end), order.end());
    std::vector<const Router *> routers;
    for (std::size_t i = 0; i < end; ++i)
        routers.push_back(order[i].second);
    return routers;
}

std::vector<Runtime::SocketAddress> RouterRanking::first(std::uint64_t key, std::size_t count) const
{
    std::vector<Runtime::SocketAddress> addresses;
    for (const Router *router : ranked(key, count)) {
        if (router->address)
            addresses.push_back(*router->address);
    }
    return addresses;
}

std::vector<Runtime::SocketAddress> RouterRanking::firstPeers(std::uint64_t key,
                                                              std::size_t count) const
{
    std::vector<Runtime::SocketAddress> addresses = first(key, count + 1);
    addresses.resize(std::min(addresses.size(), count));
    return addresses;
}

bool RouterRanking::isOwnAmongFirst(std::uint64_t key, std::size_t count) const
{
    const auto routers = ranked(key, count);
    return std::any_of(routers.begin(), routers.end(),
                       [](const Router *router) { return !router->address; });
}

bool RouterRanking::isAmongFirst(const Runtime::SocketAddress &peer, std::uint64_t key,
                                 std::size_t count) const
{
    const Rank own = rankOf({.hash = Routing::stableHash(Runtime::toString(peer))}, key);
    std::size_t before = 0;
    for (const Router &router : m_routers) {
        if (rankOf(router, key) < own && ++before >= count)
            return false;
    }
    return true;
}

} // namespace Lagoonbank::FleetSync
