#pragma once

#include "routing/endpointtable.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Lagoonbank::Router {

/// Finds endpoints by the short keys that identify them in messages between routers, see
/// Membership::nameKey().
class EndpointKeys
{
public:
    /// Rebuilds the keys from \a table. Must be called whenever the endpoints have changed.
    void update(const Routing::EndpointTable &table);
    /// Returns noEndpoint if no endpoint has \a key or if its endpoint has been removed.
    Routing::EndpointIndex find(std::uint32_t key, const Routing::EndpointTable &table) const;

private:
    absl::flat_hash_map<std::uint32_t, Base::EndpointId> m_endpoints;
};

} // namespace Lagoonbank::Router
