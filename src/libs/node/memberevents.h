#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "membership/membership.h"
#include "platformclient/backoff.h"
#include "timeline/event.h"

#include <string>

namespace Lagoonbank::Node {

/// Returns the timeline's event type for a membership event.
Timeline::EventType eventTypeOf(Membership::MemberEvent event);

/// Returns backoff options with a seed that differs between processes and their incarnations.
PlatformClient::Backoff::Options backoffOf(const std::string &process,
                                           Base::Incarnation incarnation);

/// Returns the incarnation of a process that starts at \a wall.
Base::Incarnation incarnationAt(Base::WallTime wall);

} // namespace Lagoonbank::Node
