#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "membership/membership.h"
#include "platformclient/backoff.h"
#include "timeline/event.h"

#include <string>

namespace Lagoonbank::Node {

/// The time line's event for what happened to a member.
Timeline::EventType eventTypeOf(Membership::MemberEvent event);

/// Delays between tries of one start of a process; other processes of the fleet get others.
PlatformClient::Backoff::Options backoffOf(const std::string &process,
                                           Base::Incarnation incarnation);

/// The incarnation of a process that starts at \a wall.
Base::Incarnation incarnationAt(Base::WallTime wall);

} // namespace Lagoonbank::Node
