#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "membership/membership.h"
#include "timeline/event.h"

namespace Lagoonbank::Node {

/// The time line's event for what happened to a member.
Timeline::EventType eventTypeOf(Membership::MemberEvent event);

/// The incarnation of a process that starts at \a wall.
Base::Incarnation incarnationAt(Base::WallTime wall);

} // namespace Lagoonbank::Node
