#pragma once

#include "runtime/udpsocket.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Ranks all routers of a fleet for a key by rendezvous hash. Every router that knows the same
/// routers computes the same order.
class RouterRanking
{
public:
    /// \a self is the address at which peers reach this router.
    RouterRanking(const Runtime::SocketAddress &self,
                  const std::vector<Runtime::SocketAddress> &peers);

    /// The first \a count routers for \a key. This router counts but is left out of the result.
    std::vector<Runtime::SocketAddress> first(std::uint64_t key, std::size_t count) const;

private:
    struct Router
    {
        std::uint64_t hash = 0; ///< Hash of its address.
        std::optional<Runtime::SocketAddress> address; ///< Empty for this router itself.
    };

    std::vector<Router> m_routers;
};

} // namespace Lagoonbank::FleetSync
