#include "retry/retrybudget.h"

#include <algorithm>

namespace Lagoonbank::Retry {

using Base::MonoTime;

double RetryBudget::saved(MonoTime now) const
{
    const double gained = std::max(0.0, Base::toSeconds(now - m_last)) * m_options.perSecond;
    return std::min(m_options.capacity, m_saved + gained);
}

void RetryBudget::succeeded(MonoTime now)
{
    m_saved = std::min(m_options.capacity, saved(now) + m_options.ratio);
    m_last = std::max(m_last, now);
}

bool RetryBudget::spend(MonoTime now)
{
    if (!available(now))
        return false;
    m_saved = saved(now) - 1;
    m_last = std::max(m_last, now);
    return true;
}

} // namespace Lagoonbank::Retry
