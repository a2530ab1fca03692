#include "node/memberevents.h"

#include "membership/peercodec.h"

#include <cstdint>

namespace Lagoonbank::Node {

Timeline::EventType eventTypeOf(Membership::MemberEvent event)
{
    using Timeline::EventType;
    switch (event) {
    case Membership::MemberEvent::Joined:
        return EventType::MemberJoined;
    case Membership::MemberEvent::Restarted:
        return EventType::MemberRestarted;
    case Membership::MemberEvent::Suspected:
        return EventType::MemberSuspected;
    case Membership::MemberEvent::Restored:
        return EventType::MemberRestored;
    case Membership::MemberEvent::Died:
        return EventType::MemberDied;
    case Membership::MemberEvent::Left:
        break;
    }
    return EventType::MemberLeft;
}

PlatformClient::Backoff::Options backoffOf(const std::string &process,
                                           Base::Incarnation incarnation)
{
    return {.seed = Membership::nameKey(process + '/' + std::to_string(incarnation.value()))};
}

Base::Incarnation incarnationAt(Base::WallTime wall)
{
    return Base::Incarnation(
        static_cast<std::uint64_t>(Base::toMilliseconds(wall.time_since_epoch())));
}

} // namespace Lagoonbank::Node
