#pragma once

#include "membership/membership.h"
#include "router/placer.h"
#include "runtime/loop.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Lagoonbank::Router {

/// Passes endpoints' load reports on to peers, and theirs to the routing decision.
class LoadSharing
{
public:
    LoadSharing(Runtime::Loop &loop, Placer &placer, Membership::Membership &membership);
    ~LoadSharing();
    LoadSharing(const LoadSharing &) = delete;
    LoadSharing &operator=(const LoadSharing &) = delete;

    /// To be called when endpoints have changed.
    void endpointsChanged();

private:
    void reported(const Base::EndpointId &endpoint, const LoadHeader &header);
    void received(const Membership::LoadReport &report, Base::MonoTime sampledAt);

    Runtime::Loop &m_loop;
    Placer &m_placer;
    Membership::Membership &m_membership;
    absl::flat_hash_map<std::uint32_t, Base::EndpointId> m_endpointByKey;
};

} // namespace Lagoonbank::Router
