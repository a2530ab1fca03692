#include "node/logicaltime.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace Lagoonbank::Node {

void connectClock(Membership::Membership &membership, Timeline::EventLog &events,
                  const Runtime::Clock &clock)
{
    membership.messageTimeProvider = [&events, &clock] {
        const Timeline::HybridTime time = events.clock().tick(clock.wallNow());
        return Membership::MessageTime{.wallMs = static_cast<std::uint64_t>(time.wallMs),
                                       .counter = time.counter};
    };
    membership.timeReceived = [&events, &clock](const Membership::MessageTime &time) {
        constexpr std::uint64_t maxWallMs = std::numeric_limits<std::int64_t>::max();
        events.clock().received(
            {.wallMs = static_cast<std::int64_t>(std::min(time.wallMs, maxWallMs)),
             .counter = time.counter},
            clock.wallNow());
    };
}

void mergeRecordTime(std::string_view time, Timeline::EventLog &events, const Runtime::Clock &clock)
{
    if (const auto parsed = Timeline::parseHybridTime(time))
        events.clock().received(*parsed, clock.wallNow());
}

} // namespace Lagoonbank::Node
