#include "configuration/snapshotscheduler.h"

#include <algorithm>

namespace Lagoonbank::Configuration {

Base::MonoTime SnapshotScheduler::dueAt(std::size_t rank) const
{
    // The delay is capped so that even the last rank writes within half of the retention time.
    const Base::Duration period = m_options.retention / m_options.snapshotsPerRetention;
    const auto steps = static_cast<Base::Duration::rep>(std::min<std::size_t>(rank, 1U << 20U));
    const Base::Duration rankDelay = std::min(m_options.delayPerRank * steps, period);
    const Base::MonoTime due = m_lastSnapshotSeen
        ? *m_lastSnapshotSeen + period + rankDelay
        : m_startedAt + std::min(m_options.startDelay, period) + rankDelay;
    if (m_lastAppendStarted && (!m_lastSnapshotSeen || *m_lastAppendStarted > *m_lastSnapshotSeen))
        return std::max(due, *m_lastAppendStarted + m_options.retryDelay);
    return due;
}

} // namespace Lagoonbank::Configuration
