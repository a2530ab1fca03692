#pragma once

#include "base/strongtype.h"

namespace Lagoonbank::Base {

/// A virtual machine that runs a router and a controller.
using VmId = TextId<struct VmIdTag>;
/// A data centre with its own VMs and endpoints.
using DataCentreId = TextId<struct DataCentreIdTag>;
/// A group of data centres close to each other.
using RegionId = TextId<struct RegionIdTag>;
/// A customer, identified by its bearer key.
using WorkspaceId = TextId<struct WorkspaceIdTag>;
/// A process that serves requests: a model engine, or a process of a plain service.
using EndpointId = TextId<struct EndpointIdTag>;
/// A model that engines serve.
using ModelId = TextId<struct ModelIdTag>;
/// A plain service: an application that is not a model and is served by endpoints beside the
/// engines, such as bookings.
using ServiceId = TextId<struct ServiceIdTag>;
/// A conversation of several requests, whose prefix an engine may have cached.
using ChatId = TextId<struct ChatIdTag>;
/// A caller's request. Consists of data centre, VM, incarnation and sequence number, so that it
/// identifies the router too.
using RequestId = TextId<struct RequestIdTag>;
/// Identifies an operation across repeated calls; scoped to a workspace.
using IdempotencyKey = TextId<struct IdempotencyKeyTag>;

/// Revision of a configuration object; only increases.
using Revision = StrongNumber<struct RevisionTag, std::uint64_t>;
/// Position of a record in a stream of the platform's log; see base/logoffset.h for logs that may
/// be restored from an older copy.
using LogOffset = StrongNumber<struct LogOffsetTag, std::uint64_t>;
/// Number of times that the platform's log has been restored from an older copy of itself.
using LogEra = StrongNumber<struct LogEraTag, std::uint64_t>;
/// Fencing token of an order; lets endpoints refuse orders of a previous lease holder.
using FencingNumber = StrongNumber<struct FencingNumberTag, std::uint64_t>;
/// Distinguishes successive processes at one address: the wall-clock time of the start in
/// milliseconds.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;

} // namespace Lagoonbank::Base
