#include "fleetsync/sharedendpoint.h"

#include "fleetsync/messagelimits.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace Lagoonbank::FleetSync {

using Schema::SharedEndpoint;

namespace {

Errors::Error malformed(std::string what)
{
    return Errors::makeError(Errors::ErrorKind::BadMessage, std::move(what));
}

/// Start time as the endpoint reports it, in whole milliseconds since 1970; 0 if it reports none.
std::uint64_t toStartedAtMs(const std::optional<Base::WallTime> &startedAt)
{
    if (!startedAt)
        return 0;
    return static_cast<std::uint64_t>(Base::toMilliseconds(startedAt->time_since_epoch()));
}

Errors::Result<std::optional<Base::WallTime>> startedAt(const SharedEndpoint &shared)
{
    constexpr auto maxMs = std::chrono::floor<std::chrono::milliseconds>(Base::Duration::max());
    if (shared.startedAtMs == 0)
        return std::optional<Base::WallTime>();
    if (std::cmp_greater(shared.startedAtMs, maxMs.count()))
        return malformed("a start time out of range");
    return std::optional(Base::WallTime(std::chrono::milliseconds(shared.startedAtMs)));
}

/// Whether each character can be part of the header that names the endpoint.
bool isPrintable(std::string_view id)
{
    return std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c <= '~'; });
}

} // namespace

Errors::Result<void> checkShareableId(const Base::EndpointId &id)
{
    if (id.value().empty() || id.value().size() > MessageLimits::endpointIdBytes
        || !isPrintable(id.value()))
        return malformed("the id is empty, too long or has unprintable characters");
    return boost::outcome_v2::success();
}

Errors::Result<void> checkShareable(const Fleet::Endpoint &endpoint)
{
    BOOST_OUTCOME_TRYV(checkShareableId(endpoint.id));
    if (endpoint.service.value().size() > MessageLimits::serviceBytes)
        return malformed("the service is too long");
    if (endpoint.dataCentre.value().size() > MessageLimits::dataCentreBytes)
        return malformed("the data centre is too long");
    if (endpoint.softwareVersion.size() > MessageLimits::softwareBytes)
        return malformed("the software version is too long");
    return boost::outcome_v2::success();
}

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

Errors::Result<Fleet::EndpointDirectory::Entry> fromShared(const SharedEndpoint &shared)
{
    const Runtime::SocketAddress address{shared.ip, static_cast<std::uint16_t>(shared.port)};
    if (!Runtime::parseSocketAddress(Runtime::toString(address)))
        return malformed("the address of an endpoint is none");
    if (!std::in_range<int>(shared.slots))
        return malformed("the slots of an endpoint are out of range");
    BOOST_OUTCOME_TRY(started, startedAt(shared));
    Fleet::Endpoint endpoint{.id = Base::EndpointId(shared.id),
                             .service = Base::ServiceId(shared.service),
                             .address = address,
                             .dataCentre = Base::DataCentreId(shared.dataCentre),
                             .softwareVersion = shared.software,
                             .slots = static_cast<int>(shared.slots),
                             .state = shared.isDraining ? Fleet::EndpointState::Draining
                                                        : Fleet::EndpointState::Ready,
                             .isWarmingUp = shared.isWarmingUp,
                             .startedAt = started};
    BOOST_OUTCOME_TRYV(checkShareable(endpoint));
    return Fleet::EndpointDirectory::Entry{.endpoint = std::move(endpoint),
                                           .version = Base::LogOffset(shared.version),
                                           .sequence = Fleet::EntrySequence(shared.sequence),
                                           .isConfirmed = shared.isConfirmed};
}

Errors::Result<Fleet::GoneEndpoint> fromSharedRemoval(const SharedEndpoint &shared)
{
    BOOST_OUTCOME_TRY(started, startedAt(shared));
    const Base::EndpointId id(shared.id);
    BOOST_OUTCOME_TRYV(checkShareableId(id));
    return Fleet::GoneEndpoint{.id = id,
                               .version = Base::LogOffset(shared.version),
                               .startedAt = started,
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
