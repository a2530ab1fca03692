#pragma once

#include "errors/result.h"
#include "fleet/endpointdirectory.h"
#include "schema/generated/fleetsync.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace Lagoonbank::FleetSync {

// Conversion of endpoints to and from the form in which routers exchange them.

/// Fails with BadMessage if routers cannot exchange an endpoint with this id. All messages with it
/// would fail, and routers that do not read the store would stop following it.
Errors::Result<void> checkShareableId(const Base::EndpointId &id);
/// The same for all fields of an endpoint.
Errors::Result<void> checkShareable(const Fleet::Endpoint &endpoint);
Schema::SharedEndpoint toShared(const Fleet::EndpointDirectory::Entry &entry);
/// Reports that the entry of an endpoint has been deleted.
Schema::SharedEndpoint toSharedRemoval(const Fleet::GoneEndpoint &gone);
/// Both fail with BadMessage if a field has a value that no endpoint has.
Errors::Result<Fleet::EndpointDirectory::Entry> fromShared(const Schema::SharedEndpoint &shared);
Errors::Result<Fleet::GoneEndpoint> fromSharedRemoval(const Schema::SharedEndpoint &shared);

/// Age that stands for "no state" in messages.
constexpr std::uint32_t unknownAge = std::numeric_limits<std::uint32_t>::max();
/// Age of a router's state in milliseconds for messages; unknownAge if there is none.
std::uint32_t encodeAge(std::optional<Base::Duration> age);

} // namespace Lagoonbank::FleetSync
