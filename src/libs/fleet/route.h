#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lagoonbank::Fleet {

/// What may be done again with the requests of a route.
enum class RouteKind : std::uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs once at most.
    Stream ///< Answered by a stream of events; runs once at most unless it may be resumed.
};

/// One of the services that share the requests of a route.
struct WeightedService
{
    Base::ServiceId service;
    double weight = 1.0; ///< Relative to the others of the route.
};

/// Where requests of one host and path prefix go and how they are treated.
struct Route
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services; ///< At least one.
    int maxEndpoints = 1; ///< Endpoints at which one request may run.
    Base::Duration timeout{}; ///< Longest time to the end of the answer; zero for none.
    Base::Duration targetLatency{}; ///< To the answer, or to the first event of a stream.
    Base::Duration maxEventGap{}; ///< Between two events of a stream in time; zero for none.
    int priority = 0; ///< 0 is most urgent.
    bool isAnonymous = false; ///< Needs no key.
    bool usesPromptCache = false; ///< Goes where the parts of its prompt are cached.
    bool isResumable = false; ///< A stream may go on at another endpoint.

    /// Whether a request that may have run may be sent to another endpoint.
    bool mayRepeat() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }
};

} // namespace Lagoonbank::Fleet
