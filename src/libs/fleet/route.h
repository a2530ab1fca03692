#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lagoonbank::Fleet {

/// Whether requests of a route may run more than once.
enum class RouteKind : std::uint8_t {
    Idempotent, ///< A request may run more than once.
    NonIdempotent, ///< A request must not run more than once.
    /// Answered by a stream of events. A request must not run more than once unless the route is
    /// resumable.
    Stream
};

/// One of the services that share the requests of a route.
struct WeightedService
{
    Base::ServiceId service;
    double weight = 1.0; ///< Relative to the others of the route.
};

/// Services and request handling options for one host and path prefix.
struct Route
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services; ///< At least one.
    int maxEndpoints = 1; ///< Maximum number of endpoints at which one request may run.
    Base::Duration timeout{}; ///< Maximum time until the end of the answer; zero for no limit.
    /// Target for the time until the answer, or until the first event of a stream.
    Base::Duration targetLatency{};
    /// Maximum time between two events of a stream that is on time; zero for no limit.
    Base::Duration maxEventGap{};
    int priority = 0; ///< 0 is the highest priority.
    bool isAnonymous = false; ///< Requests need no key.
    bool usesPromptCache = false; ///< Requests prefer endpoints that cache their prompts.
    bool isResumable = false; ///< A broken stream may be resumed at another endpoint.

    /// Whether a request that may have run already may be retried at another endpoint.
    bool mayRepeat() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }
};

} // namespace Lagoonbank::Fleet
