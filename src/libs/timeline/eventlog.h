#pragma once

#include "timeline/event.h"
#include "timeline/eventfilter.h"
#include "timeline/hybridclock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Lagoonbank::Timeline {

/// Keeps the latest events of one process in a ring buffer of fixed size.
class EventLog
{
public:
    struct Options
    {
        std::string process; ///< Name of the process in merged timelines.
        std::size_t capacity = 16384;
        Base::Duration maxDrift = std::chrono::seconds(60); ///< See HybridClock.
    };

    explicit EventLog(Options options);

    const std::string &process() const { return m_options.process; }
    HybridClock &clock() { return m_clock; }

    /// Adds an event and returns its time. If the ring is full, the oldest event is dropped.
    HybridTime record(EventType type, EventFields fields, Base::WallTime wall);

    std::size_t size() const { return m_events.size(); }
    /// Number of events dropped since the start.
    std::uint64_t dropped() const { return m_sequence - m_events.size(); }
    std::uint64_t lastSequence() const { return m_sequence; }

    /// Returns the latest matching events, at most `maxCount`, oldest first.
    std::vector<ProcessEvent> events(const EventFilter &filter,
                                     std::size_t maxCount = SIZE_MAX) const;

private:
    const Event &eventAt(std::size_t index) const;

    Options m_options;
    HybridClock m_clock;
    std::vector<Event> m_events;
    std::size_t m_oldest = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace Lagoonbank::Timeline
