#pragma once

#include "fleet/endpointdirectory.h"
#include "schema/generated/fleetsync.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace Lagoonbank::FleetSync {

/// What a router tells of an endpoint, and back.
Schema::SharedEndpoint toShared(const Fleet::EndpointDirectory::Entry &entry);
Schema::SharedEndpoint toSharedRemoval(const Base::EndpointId &id, Base::LogOffset version);
Fleet::Endpoint fromShared(const Schema::SharedEndpoint &shared);

/// Of what a router knows, as peers tell it: in milliseconds, and one number for nothing.
constexpr std::uint32_t unknownAge = std::numeric_limits<std::uint32_t>::max();
std::uint32_t encodeAge(std::optional<Base::Duration> age);

} // namespace Lagoonbank::FleetSync
