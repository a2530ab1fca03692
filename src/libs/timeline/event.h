#pragma once

#include "base/ids.h"
#include "schema/generated/timeline.h"
#include "timeline/hybridclock.h"

#include <cstdint>
#include <string>

namespace Lagoonbank::Timeline {

using Schema::EventType;

/// What an event is about. Never holds keys, prompts or answers.
struct EventFields
{
    Base::RequestId request;
    Base::WorkspaceId workspace;
    Base::EndpointId endpoint;
    std::string subject; ///< Member, data centre, object or number that the type speaks of.
    std::string detail; ///< A few plain words.

    bool operator==(const EventFields &) const = default;
};

/// One event of one process.
struct Event
{
    HybridTime time;
    std::uint64_t sequence = 0; ///< Counts the events of the process from 1.
    EventType type = EventType::ProcessStarted;
    EventFields fields;

    bool operator==(const Event &) const = default;
};

/// An event with the process that it comes from, as it is merged and shown.
struct ProcessEvent
{
    std::string process; ///< Such as `gulberg-vm1/router`.
    Event event;

    bool operator==(const ProcessEvent &) const = default;
};

} // namespace Lagoonbank::Timeline
