#pragma once

#include "membership/membership.h"
#include "router/endpointkeys.h"
#include "router/placer.h"
#include "runtime/loop.h"

namespace Lagoonbank::Router {

/// Propagates load reports of endpoints to peers by gossip, and feeds the reports received from
/// peers to the routing decision.
class LoadSharing
{
public:
    LoadSharing(Runtime::Loop &loop, Placer &placer, Membership::Membership &membership);
    ~LoadSharing();
    LoadSharing(const LoadSharing &) = delete;
    LoadSharing &operator=(const LoadSharing &) = delete;

    /// Must be called whenever the endpoints have changed.
    void endpointsChanged();

private:
    void reported(const Base::EndpointId &endpoint, const LoadHeader &header);
    void received(const Membership::LoadReport &report, Base::MonoTime sampledAt);

    Runtime::Loop &m_loop;
    Placer &m_placer;
    Membership::Membership &m_membership;
    EndpointKeys m_keys;
};

} // namespace Lagoonbank::Router
