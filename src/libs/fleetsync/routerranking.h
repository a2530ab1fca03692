#pragma once

#include "runtime/udpsocket.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Ranks all routers of a fleet for a key by rendezvous hash. Every router that knows the same
/// routers computes the same order.
class RouterRanking
{
public:
    /// \a self is the address at which peers reach this router. Routers in \a reserve rank after
    /// all others.
    RouterRanking(const Runtime::SocketAddress &self,
                  const std::vector<Runtime::SocketAddress> &peers,
                  const std::vector<Runtime::SocketAddress> &reserve = {});

    /// The first \a count routers for \a key. This router counts but is left out of the result.
    std::vector<Runtime::SocketAddress> first(std::uint64_t key, std::size_t count) const;
    /// The first \a count routers for \a key apart from this one.
    std::vector<Runtime::SocketAddress> firstPeers(std::uint64_t key, std::size_t count) const;
    /// Whether this router is among the first \a count routers for \a key.
    bool isOwnAmongFirst(std::uint64_t key, std::size_t count) const;
    /// Number of routers, this one included.
    std::size_t size() const { return m_routers.size(); }
    /// Whether a peer is among the first \a count routers for \a key.
    bool isAmongFirst(const Runtime::SocketAddress &peer, std::uint64_t key,
                      std::size_t count) const;

private:
    struct Router
    {
        std::uint64_t hash = 0; ///< Hash of its address.
        std::optional<Runtime::SocketAddress> address; ///< Empty for this router itself.
        bool isReserve = false;
    };
    using Rank = std::pair<bool, std::uint64_t>; ///< Lower ones are first.

    static Rank rankOf(const Router &router, std::uint64_t key);
    /// The first routers, this one included.
    std::vector<const Router *> ranked(std::uint64_t key, std::size_t count) const;

    std::vector<Router> m_routers;
};

} // namespace Lagoonbank::FleetSync
