#pragma once

#include "base/ids.h"
#include "schema/generated/timeline.h"
#include "timeline/hybridclock.h"

#include <cstdint>
#include <string>

namespace Lagoonbank::Timeline {

using Schema::EventType;

/// The subject of an event. Never contains keys, prompts or answers.
struct EventFields
{
    Base::RequestId request;
    Base::WorkspaceId workspace;
    Base::EndpointId endpoint;
    std::string subject; ///< Member, data centre, object or number, depending on the type.
    std::string detail; ///< Short explanation.

    bool operator==(const EventFields &) const = default;
};

/// An event of a process.
struct Event
{
    HybridTime time;
    std::uint64_t sequence = 0; ///< Sequence number within the process, from 1.
    EventType type = EventType::ProcessStarted;
    EventFields fields;

    bool operator==(const Event &) const = default;
};

/// An event together with the name of its process, for merged timelines.
struct ProcessEvent
{
    std::string process; ///< Such as `gulberg-vm1/router`.
    Event event;

    bool operator==(const ProcessEvent &) const = default;
};

} // namespace Lagoonbank::Timeline
