#include "fleetsync/storefreshness.h"

#include <algorithm>

namespace Lagoonbank::FleetSync {

namespace {

/// Ticks are half a second apart, so a process that did nothing for this long was suspended.
constexpr Base::Duration minSuspension = std::chrono::seconds(1);
/// Time that a resumed process needs to read the messages that arrived while it was suspended.
constexpr Base::Duration backlogTime = std::chrono::milliseconds(100);

} // namespace

Base::MonoTime StoreFreshness::arrivalTime()
{
    const Base::MonoTime now = m_options.clock->now();
    if (now - m_activeAt > minSuspension) {
        m_suspendedAt = m_activeAt;
        m_resumedAt = now;
    }
    m_activeAt = now;
    const bool mayHaveWaited = m_resumedAt && now < *m_resumedAt + backlogTime;
    return mayHaveWaited ? m_suspendedAt : now;
}

std::optional<Base::MonoTime> StoreFreshness::outdatedSince(Base::MonoTime now) const
{
    const bool isUnnoticed = now - m_activeAt > minSuspension;
    const std::optional<Base::MonoTime> resumedAt = isUnnoticed ? now : m_resumedAt;
    if (!resumedAt || (m_asOf && *m_asOf >= *resumedAt))
        return std::nullopt;
    return resumedAt;
}

/// Returns whether the gap since the current state, together with preceding outages in between
/// which endpoints had no time to write their entries, is longer than `minExpiryOutage`. A gap that
/// begins right after an outage counts as part of that outage, whatever its cause.
bool StoreFreshness::mayHaveExpired(Base::MonoTime asOf, bool isReadOverdue)
{
    const Base::Duration availableFor = *m_asOf - m_availableSince;
    const bool isOutage = m_hasFailed || isReadOverdue || availableFor <= m_options.briefRecovery;
    // If no read of this router has failed, the gap may only mean that the store reader died.
    if (!isOutage)
        return asOf - *m_asOf > m_options.minExpiryOutage;
    if (asOf - *m_asOf <= m_options.maxReadInterval)
        return false;
    if (availableFor >= m_options.rewriteTime)
        m_outageStartedAt = *m_asOf;
    m_availableSince = asOf;
    return asOf - m_outageStartedAt > m_options.minExpiryOutage;
}

bool StoreFreshness::advanceTo(Base::MonoTime asOf, bool isReadOverdue)
{
    const bool mayBeExpired = m_asOf && mayHaveExpired(asOf, isReadOverdue);
    m_asOf = std::max(m_asOf.value_or(asOf), asOf);
    return mayBeExpired;
}

void StoreFreshness::storeRestored()
{
    m_availableSince = m_options.clock->now();
    m_outageStartedAt = m_availableSince - m_options.minExpiryOutage;
}

bool StoreFreshness::readSucceeded(bool isReadOverdue)
{
    const bool mayBeExpired = advanceTo(arrivalTime(), isReadOverdue);
    m_readAt = m_asOf;
    m_hasFailed = false;
    return mayBeExpired;
}

} // namespace Lagoonbank::FleetSync
