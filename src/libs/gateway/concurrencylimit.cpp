#include "gateway/concurrencylimit.h"

#include <algorithm>

namespace Lagoonbank::Gateway {

void ConcurrencyLimit::setPlaces(double places, double routers)
{
    m_isHeeded = places > 0 && routers >= m_options.manyRouters;
    m_evenPart = places / std::max(1.0, routers);
    if (m_limit <= 0)
        m_limit = m_options.mostShare * m_evenPart;
    clamp();
}

void ConcurrencyLimit::reported(const LoadReport &report, double inFlight, Base::MonoTime now)
{
    if (report.waiting > m_options.waitingShare * report.slots) {
        lower(now);
        return;
    }
    // A limit that nobody reaches says nothing of what endpoints can take.
    if (inFlight < m_options.minShare * m_limit)
        return;
    m_limit += m_options.raise / std::max(1.0, m_limit);
    clamp();
}

bool ConcurrencyLimit::admits(double inFlight, double usableShare) const
{
    return !m_isHeeded || inFlight + 1 <= std::max(1.0, m_limit * usableShare);
}

void ConcurrencyLimit::lower(Base::MonoTime now)
{
    if (now - m_loweredAt < m_options.cutInterval)
        return;
    m_loweredAt = now;
    m_limit *= m_options.cut;
    clamp();
}

void ConcurrencyLimit::clamp()
{
    m_limit =
        std::clamp(m_limit, m_options.minShare * m_evenPart, m_options.mostShare * m_evenPart);
}

} // namespace Lagoonbank::Gateway
