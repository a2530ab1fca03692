#pragma once

#include "membership/membership.h"
#include "runtime/clock.h"
#include "timeline/eventlog.h"

#include <string_view>

namespace Lagoonbank::Node {

/// Stamps what \a membership sends with the log's hybrid clock and merges what it receives, so that
/// an event stands after those that caused it in other processes. Both must outlive \a membership's
/// use, as must \a clock.
void connectClock(Membership::Membership &membership, Timeline::EventLog &events,
                  const Runtime::Clock &clock);

/// Merges the time that a configuration record carries; a record without a readable one changes
/// nothing.
void mergeRecordTime(std::string_view time, Timeline::EventLog &events,
                     const Runtime::Clock &clock);

} // namespace Lagoonbank::Node
