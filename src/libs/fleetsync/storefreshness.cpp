#include "fleetsync/storefreshness.h"

#include <algorithm>

namespace Lagoonbank::FleetSync {

namespace {

/// Ticks are half a second apart, so a process that did nothing for so long stood still.
constexpr Base::Duration standstill = std::chrono::seconds(1);
/// In which a process that goes on reads what has come meanwhile.
constexpr Base::Duration backlogTime = std::chrono::milliseconds(100);

} // namespace

Base::MonoTime StoreFreshness::arrivalTime()
{
    const Base::MonoTime now = m_options.clock->now();
    if (now - m_activeAt > standstill) {
        m_suspendedAt = m_activeAt;
        m_backlogUntil = now + backlogTime;
    }
    m_activeAt = now;
    return now < m_backlogUntil ? m_suspendedAt : now;
}

/// Outages count as one if endpoints had no time to write in between. A gap that begins right
/// behind an outage is taken for its second part, whatever its cause.
bool StoreFreshness::mayHaveExpired(Base::MonoTime asOf, bool isReadOverdue)
{
    const Base::Duration thereFor = *m_asOf - m_availableSince;
    const bool isOutage = m_hasFailed || isReadOverdue || thereFor <= m_options.briefRecovery;
    // Without a read of its own that failed a router may just have lost its reader.
    if (!isOutage)
        return asOf - *m_asOf > m_options.minExpiryOutage;
    if (asOf - *m_asOf <= m_options.maxReadInterval)
        return false;
    if (thereFor >= m_options.rewriteTime)
        m_outageStartedAt = *m_asOf;
    m_availableSince = asOf;
    return asOf - m_outageStartedAt > m_options.minExpiryOutage;
}

bool StoreFreshness::advanceTo(Base::MonoTime asOf, bool isReadOverdue)
{
    const bool isLapsed = m_asOf && mayHaveExpired(asOf, isReadOverdue);
    m_asOf = std::max(m_asOf.value_or(asOf), asOf);
    return isLapsed;
}

bool StoreFreshness::readSucceeded(bool isReadOverdue)
{
    const bool isLapsed = advanceTo(arrivalTime(), isReadOverdue);
    m_readAt = m_asOf;
    m_hasFailed = false;
    return isLapsed;
}

} // namespace Lagoonbank::FleetSync
