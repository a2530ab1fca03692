#pragma once

#include "fleet/endpointdirectory.h"
#include "schema/generated/fleetsync.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace Lagoonbank::FleetSync {

/// Conversion of endpoints to and from the form in which routers exchange them.
Schema::SharedEndpoint toShared(const Fleet::EndpointDirectory::Entry &entry);
/// Reports that the entry of an endpoint has been deleted.
Schema::SharedEndpoint toSharedRemoval(const Fleet::GoneEndpoint &gone);
Fleet::EndpointDirectory::Entry fromShared(const Schema::SharedEndpoint &shared);
Fleet::GoneEndpoint fromSharedRemoval(const Schema::SharedEndpoint &shared);

/// Age that stands for "no state" in messages.
constexpr std::uint32_t unknownAge = std::numeric_limits<std::uint32_t>::max();
/// Age of a router's state in milliseconds for messages; unknownAge if there is none.
std::uint32_t encodeAge(std::optional<Base::Duration> age);

} // namespace Lagoonbank::FleetSync
