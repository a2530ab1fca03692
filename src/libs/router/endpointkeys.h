#pragma once

#include "routing/endpointtable.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Lagoonbank::Router {

/// Finds endpoints by the short keys that messages between routers name them with, see
/// Membership::nameKey().
class EndpointKeys
{
public:
    /// Takes over the endpoints of \a table; to be called when they have changed.
    void update(const Routing::EndpointTable &table);
    /// noEndpoint for a key that none of them has, or whose endpoint is gone by now.
    Routing::EndpointIndex find(std::uint32_t key, const Routing::EndpointTable &table) const;

private:
    absl::flat_hash_map<std::uint32_t, Base::EndpointId> m_endpoints;
};

} // namespace Lagoonbank::Router
