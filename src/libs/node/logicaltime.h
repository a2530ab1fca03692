#pragma once

#include "membership/membership.h"
#include "runtime/clock.h"
#include "timeline/eventlog.h"

#include <string_view>

namespace Lagoonbank::Node {

/// Adds the hybrid time of \a events to the messages that \a membership sends and merges the times
/// of those that it receives, so that events are ordered after their causes in other processes. \a
/// events and \a clock must outlive \a membership.
void connectClock(Membership::Membership &membership, Timeline::EventLog &events,
                  const Runtime::Clock &clock);

/// Merges the hybrid time of a configuration record. An empty or invalid time is ignored.
void mergeRecordTime(std::string_view time, Timeline::EventLog &events,
                     const Runtime::Clock &clock);

} // namespace Lagoonbank::Node
