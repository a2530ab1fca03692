#pragma once

#include "auto/fleetsync/syncfleet.h"

#include <string>

/// Helpers for the endpoints of a SyncFleet and for checks of its routers' state.
namespace FleetHelpers {

namespace Base = Lagoonbank::Base;
namespace Fleet = Lagoonbank::Fleet;
using Router = SyncFleet::Router;

inline Fleet::Endpoint endpoint(const std::string &id,
                                Fleet::EndpointState state = Fleet::EndpointState::Ready)
{
    return {.id = Base::EndpointId(id),
            .service = Base::ServiceId("service"),
            .address = {"10.1.0.1", 80},
            .state = state};
}

inline bool isDraining(const Router &router, const char *id)
{
    const Fleet::Endpoint *found = router.directory->find(Base::EndpointId(id));
    return found && found->state == Fleet::EndpointState::Draining;
}

/// Adds one endpoint and a configuration and waits until the fleet has settled.
inline SyncFleet &settle(SyncFleet &fleet)
{
    fleet.put(endpoint("a"));
    fleet.revision = 1;
    fleet.pass(std::chrono::seconds(5));
    return fleet;
}

} // namespace FleetHelpers
