#include "timeline/eventlog.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Timeline {

EventLog::EventLog(Options options)
    : m_options(std::move(options))
    , m_clock(m_options.maxDrift)
{
    m_options.capacity = std::max<std::size_t>(1, m_options.capacity);
}

HybridTime EventLog::record(EventType type, EventFields fields, Base::WallTime wall)
{
    const HybridTime time = m_clock.tick(wall);
    Event event{time, ++m_sequence, type, std::move(fields)};
    if (m_events.size() < m_options.capacity) {
        m_events.push_back(std::move(event));
        return time;
    }
    m_events[m_oldest] = std::move(event);
    m_oldest = (m_oldest + 1) % m_events.size();
    return time;
}

std::vector<ProcessEvent> EventLog::events(const EventFilter &filter, std::size_t maxCount) const
{
    std::vector<ProcessEvent> events;
    for (std::size_t i = m_events.size(); i > 0 && events.size() < maxCount; --i) {
        const Event &event = eventAt(i - 1);
        if (event.sequence <= filter.afterSequence)
            break;
        if (filter.matches(event))
            events.push_back({m_options.process, event});
    }
    std::reverse(events.begin(), events.end());
    return events;
}

const Event &EventLog::eventAt(std::size_t index) const
{
    return m_events[(m_oldest + index) % m_events.size()];
}

} // namespace Lagoonbank::Timeline
