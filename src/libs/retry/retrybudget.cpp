#include "retry/retrybudget.h"

#include <algorithm>

namespace Lagoonbank::Retry {

using Base::MonoTime;

double RetryBudget::balance(MonoTime now) const
{
    const double gained =
        std::max(0.0, Base::toSeconds(now - m_balanceAt)) * m_options.retriesPerSecond;
    return std::min(m_options.capacity, m_balance + gained);
}

void RetryBudget::noteSuccess(MonoTime now)
{
    m_balance = std::min(m_options.capacity, balance(now) + m_options.retriesPerSuccess);
    m_balanceAt = std::max(m_balanceAt, now);
}

bool RetryBudget::spend(MonoTime now)
{
    if (!available(now))
        return false;
    m_balance = balance(now) - 1;
    m_balanceAt = std::max(m_balanceAt, now);
    return true;
}

} // namespace Lagoonbank::Retry
