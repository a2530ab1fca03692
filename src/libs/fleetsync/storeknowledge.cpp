#include "fleetsync/storeknowledge.h"

#include <algorithm>

namespace Lagoonbank::FleetSync {

namespace {

/// Ticks are half a second apart, so a process that did nothing for so long stood still.
constexpr Base::Duration standstill = std::chrono::seconds(1);
/// In which a process that goes on reads what has come meanwhile.
constexpr Base::Duration backlogTime = std::chrono::milliseconds(100);

} // namespace

Base::MonoTime StoreKnowledge::arrivedAt()
{
    const Base::MonoTime now = m_options.clock->now();
    if (now - m_activeAt > standstill) {
        m_stoodStillAt = m_activeAt;
        m_backlogUntil = now + backlogTime;
    }
    m_activeAt = now;
    return now < m_backlogUntil ? m_stoodStillAt : now;
}

/// Outages count as one if endpoints had no time to write in between.
bool StoreKnowledge::mayHaveLapsed(Base::MonoTime at)
{
    // Without a failed read of its own a router may just have lost its reader.
    if (!m_hasFailed)
        return at - *m_at > m_options.shortestLapse;
    if (at - *m_at <= m_options.longestReadGap)
        return false;
    if (*m_at - m_thereSince >= m_options.writeTime)
        m_awaySince = *m_at;
    m_thereSince = at;
    return at - m_awaySince > m_options.shortestLapse;
}

bool StoreKnowledge::learn(Base::MonoTime at)
{
    const bool isLapsed = m_at && mayHaveLapsed(at);
    m_at = std::max(m_at.value_or(at), at);
    return isLapsed;
}

bool StoreKnowledge::read()
{
    const bool isLapsed = learn(arrivedAt());
    m_readAt = m_at;
    m_hasFailed = false;
    return isLapsed;
}

} // namespace Lagoonbank::FleetSync
