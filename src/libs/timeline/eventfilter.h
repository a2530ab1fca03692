#pragma once

#include "timeline/event.h"

#include <cstdint>
#include <optional>

namespace Lagoonbank::Timeline {

/// Selects events. Empty fields match all events.
struct EventFilter
{
    std::optional<std::int64_t> sinceMs; ///< Earliest wall time, in milliseconds since 1970.
    Base::RequestId request;
    Base::WorkspaceId workspace;
    Base::EndpointId endpoint;
    std::uint64_t afterSequence = 0; ///< Only later events of the process, to follow its events.

    bool matches(const Event &event) const
    {
        const auto matchesField = [](const auto &expected, const auto &actual) {
            return expected.empty() || expected == actual;
        };
        return (!sinceMs || event.time.wallMs >= *sinceMs) && event.sequence > afterSequence
            && matchesField(request, event.fields.request)
            && matchesField(workspace, event.fields.workspace)
            && matchesField(endpoint, event.fields.endpoint);
    }
};

} // namespace Lagoonbank::Timeline
