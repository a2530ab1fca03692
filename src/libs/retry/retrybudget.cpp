#include "retry/retrybudget.h"

#include <algorithm>

namespace Lagoonbank::Retry {

using Base::MonoTime;

double RetryBudget::balance(MonoTime now) const
{
    const double gained = std::max(0.0, Base::toSeconds(now - m_last)) * m_options.perSecond;
    return std::min(m_options.capacity, m_balance + gained);
}

void RetryBudget::noteSuccess(MonoTime now)
{
    m_balance = std::min(m_options.capacity, balance(now) + m_options.ratio);
    m_last = std::max(m_last, now);
}

bool RetryBudget::spend(MonoTime now)
{
    if (!available(now))
        return false;
    m_balance = balance(now) - 1;
    m_last = std::max(m_last, now);
    return true;
}

} // namespace Lagoonbank::Retry
