#include "capacity/waitcorrection.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Capacity {

void WaitCorrection::observed(Base::Duration difference, Base::MonoTime now)
{
    const double factor = decay(now);
    const Base::Duration limited =
        std::clamp(difference, -m_options.maxDifference, m_options.maxDifference);
    m_sum = m_sum * factor + Base::toSeconds(limited);
    m_weight = m_weight * factor + 1;
    m_updatedAt = std::max(m_updatedAt, now);
}

Base::Duration WaitCorrection::value(Base::MonoTime now, Base::Duration prior) const
{
    const double factor = decay(now);
    // Without new answers the unknown prompts are prefilled, so the difference itself decays too.
    const double sum = m_sum * factor * factor + m_options.priorWeight * Base::toSeconds(prior);
    return Base::fromSeconds(sum / (m_weight * factor + m_options.priorWeight));
}

double WaitCorrection::decay(Base::MonoTime now) const
{
    const double age = std::max(0.0, Base::toSeconds(now - m_updatedAt));
    return std::exp2(-age / Base::toSeconds(m_options.halfLife));
}

} // namespace Lagoonbank::Capacity
