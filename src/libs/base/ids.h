#pragma once

#include "base/strongtype.h"

namespace Lagoonbank::Base {

/// One virtual machine that runs a router and a controller.
using VmId = TextId<struct VmIdTag>;
/// One data centre with its own VMs and endpoints.
using DataCentreId = TextId<struct DataCentreIdTag>;
/// A group of data centres that are near each other.
using RegionId = TextId<struct RegionIdTag>;
/// One customer; a bearer key names it.
using WorkspaceId = TextId<struct WorkspaceIdTag>;
/// One engine or one process of a plain service.
using EndpointId = TextId<struct EndpointIdTag>;
/// A model that engines serve.
using ModelId = TextId<struct ModelIdTag>;
/// A plain service that endpoints serve.
using ServiceId = TextId<struct ServiceIdTag>;
/// A chat that may return; its prefix may be cached on an engine.
using ChatId = TextId<struct ChatIdTag>;
/// One caller's request: data centre, VM, incarnation and sequence, so that the id finds its
/// router.
using RequestId = TextId<struct RequestIdTag>;
/// Names one matter over all its repeated calls; scoped to a workspace.
using IdempotencyKey = TextId<struct IdempotencyKeyTag>;

/// Revision of one configuration object; only goes up.
using Revision = StrongNumber<struct RevisionTag, std::uint64_t>;
/// Place of a record in a stream of the platform's log.
using LogOffset = StrongNumber<struct LogOffsetTag, std::uint64_t>;
/// Number that an order carries so that an endpoint can refuse an old holder's order.
using FencingNumber = StrongNumber<struct FencingNumberTag, std::uint64_t>;
/// Counts the starts of a process at one address; wall-clock milliseconds at its start.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;

} // namespace Lagoonbank::Base
