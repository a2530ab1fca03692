#include "gateway/concurrencylimit.h"

#include <algorithm>

namespace Lagoonbank::Gateway {

void ConcurrencyLimit::setCapacity(double slots, double routers)
{
    m_isEnforced = slots > 0 && routers >= m_options.minRouters;
    m_slots = slots;
    m_fairShare = slots / std::max(1.0, routers);
    if (m_limit <= 0)
        m_limit = m_options.maxShare * m_fairShare;
    clamp();
}

void ConcurrencyLimit::loadReported(const LoadReport &report, double inFlight, Base::MonoTime now)
{
    if (report.waiting > m_options.maxWaitingShare * report.slots) {
        decrease(now);
        return;
    }
    // A limit that is not reached gives no evidence of what the endpoints can take.
    if (inFlight < m_options.minShare * m_limit)
        return;
    const int requests = report.running + report.waiting;
    const bool isFarFromFull = requests < m_options.lowLoad * report.slots;
    if (isFarFromFull)
        m_limit += m_options.raise;
    else if (m_limit < m_options.maxShare * m_fairShare)
        m_limit += m_options.raise / std::max(1.0, m_limit);
    clamp();
}

bool ConcurrencyLimit::admits(double inFlight, double usableShare) const
{
    return !m_isEnforced || inFlight + 1 <= std::max(1.0, m_limit * usableShare);
}

void ConcurrencyLimit::decrease(Base::MonoTime now)
{
    if (now - m_decreasedAt < m_options.decreaseInterval)
        return;
    m_decreasedAt = now;
    m_limit *= m_options.decreaseFactor;
    clamp();
}

void ConcurrencyLimit::clamp()
{
    const double lowest = m_options.minShare * m_fairShare;
    m_limit = std::clamp(m_limit, lowest, std::max(m_slots, lowest));
}

} // namespace Lagoonbank::Gateway
