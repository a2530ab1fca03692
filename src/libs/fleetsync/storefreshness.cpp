#include "fleetsync/storefreshness.h"

#include <algorithm>

namespace Lagoonbank::FleetSync {

namespace {

/// Ticks are half a second apart, so a process that did nothing for so long stood still.
constexpr Base::Duration standstill = std::chrono::seconds(1);
/// In which a process that goes on reads what has come meanwhile.
constexpr Base::Duration backlogTime = std::chrono::milliseconds(100);

} // namespace

Base::MonoTime StoreFreshness::arrivedAt()
{
    const Base::MonoTime now = m_options.clock->now();
    if (now - m_activeAt > standstill) {
        m_stoodStillAt = m_activeAt;
        m_backlogUntil = now + backlogTime;
    }
    m_activeAt = now;
    return now < m_backlogUntil ? m_stoodStillAt : now;
}

/// Outages count as one if endpoints had no time to write in between. A gap that begins right
/// behind an outage is taken for its second part, whatever its cause.
bool StoreFreshness::mayHaveLapsed(Base::MonoTime at, bool isUnanswered)
{
    const Base::Duration thereFor = *m_at - m_thereSince;
    const bool isOutage = m_hasFailed || isUnanswered || thereFor <= m_options.briefReturn;
    // Without a read of its own that failed a router may just have lost its reader.
    if (!isOutage)
        return at - *m_at > m_options.shortestLapse;
    if (at - *m_at <= m_options.longestReadGap)
        return false;
    if (thereFor >= m_options.writeTime)
        m_awaySince = *m_at;
    m_thereSince = at;
    return at - m_awaySince > m_options.shortestLapse;
}

bool StoreFreshness::learn(Base::MonoTime at, bool isUnanswered)
{
    const bool isLapsed = m_at && mayHaveLapsed(at, isUnanswered);
    m_at = std::max(m_at.value_or(at), at);
    return isLapsed;
}

bool StoreFreshness::read(bool isUnanswered)
{
    const bool isLapsed = learn(arrivedAt(), isUnanswered);
    m_readAt = m_at;
    m_hasFailed = false;
    return isLapsed;
}

} // namespace Lagoonbank::FleetSync
