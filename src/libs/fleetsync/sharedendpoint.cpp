#include "fleetsync/sharedendpoint.h"

#include <algorithm>

namespace Lagoonbank::FleetSync {

using Schema::SharedEndpoint;

namespace {

/// Start time as the endpoint reports it, in whole milliseconds since 1970; 0 if it reports none.
std::uint64_t toStartedAtMs(const std::optional<Base::WallTime> &startedAt)
{
    if (!startedAt)
        return 0;
    return static_cast<std::uint64_t>(Base::toMilliseconds(startedAt->time_since_epoch()));
}

std::optional<Base::WallTime> startedAt(const SharedEndpoint &shared)
{
    if (shared.startedAtMs == 0)
        return std::nullopt;
    return Base::WallTime(std::chrono::milliseconds(shared.startedAtMs));
}

} // namespace

SharedEndpoint toShared(const Fleet::EndpointDirectory::Entry &entry)
{
    const Fleet::Endpoint &endpoint = entry.endpoint;
    return {.id = endpoint.id.value(),
            .version = entry.version.value(),
            .sequence = entry.sequence.value(),
            .service = endpoint.service.value(),
            .ip = endpoint.address.ip,
            .port = endpoint.address.port,
            .dataCentre = endpoint.dataCentre.value(),
            .software = endpoint.softwareVersion,
            .slots = static_cast<std::uint32_t>(std::max(0, endpoint.slots)),
            .isDraining = endpoint.state == Fleet::EndpointState::Draining,
            .isConfirmed = entry.isConfirmed,
            .startedAtMs = toStartedAtMs(endpoint.startedAt),
            .isWarmingUp = endpoint.isWarmingUp};
}

SharedEndpoint toSharedRemoval(const Fleet::GoneEndpoint &gone)
{
    return {.id = gone.id.value(),
            .version = gone.version.value(),
            .sequence = gone.sequence.value(),
            .isGone = true,
            .startedAtMs = toStartedAtMs(gone.startedAt)};
}

Fleet::EndpointDirectory::Entry fromShared(const SharedEndpoint &shared)
{
    return {.endpoint = {.id = Base::EndpointId(shared.id),
                         .service = Base::ServiceId(shared.service),
                         .address = {shared.ip, static_cast<std::uint16_t>(shared.port)},
                         .dataCentre = Base::DataCentreId(shared.dataCentre),
                         .softwareVersion = shared.software,
                         .slots = static_cast<int>(shared.slots),
                         .state = shared.isDraining ? Fleet::EndpointState::Draining
                                                    : Fleet::EndpointState::Ready,
                         .isWarmingUp = shared.isWarmingUp,
                         .startedAt = startedAt(shared)},
            .version = Base::LogOffset(shared.version),
            .sequence = Fleet::EntrySequence(shared.sequence),
            .isConfirmed = shared.isConfirmed};
}

Fleet::GoneEndpoint fromSharedRemoval(const SharedEndpoint &shared)
{
    return {.id = Base::EndpointId(shared.id),
            .version = Base::LogOffset(shared.version),
            .startedAt = startedAt(shared),
            .sequence = Fleet::EntrySequence(shared.sequence)};
}

std::uint32_t encodeAge(std::optional<Base::Duration> age)
{
    if (!age)
        return unknownAge;
    const std::int64_t ms = Base::toMilliseconds(*age);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, unknownAge - 1));
}

} // namespace Lagoonbank::FleetSync
