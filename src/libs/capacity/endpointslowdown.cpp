#include "capacity/endpointslowdown.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Capacity {

namespace {

/// Larger factors are taken for errors.
constexpr double maxPlausibleFactor = 100;
constexpr double maxFactor = 10;
/// Neighbours can only slow a machine down. The lower limit keeps an endpoint that reports too
/// little from attracting all requests.
constexpr double minFactor = 0.5;
/// Half-life of a report and weight of the newest one. In the model of tst_endpointslowdown, with
/// bursts of half a second and reports every 0.1 to 16 s, their error is lower than that of the
/// latest value with half-lives of 0.1 to 1 s.
constexpr Base::Duration halfLife = std::chrono::milliseconds(200);
constexpr double newestWeight = 0.5;

} // namespace

void EndpointSlowdown::reported(double factor, Base::MonoTime now)
{
    const bool isPlausible = factor > 0 && factor <= maxPlausibleFactor; // False for NaN as well.
    if (!isPlausible || m_lastReported == factor)
        return;
    const double excess = this->factor(now) - 1;
    const double reportedExcess = std::clamp(factor, minFactor, maxFactor) - 1;
    m_excess = excess + newestWeight * (reportedExcess - excess);
    m_lastReported = factor;
    m_reportedAt = now;
}

double EndpointSlowdown::factor(Base::MonoTime now) const
{
    const Base::Duration age = std::max(now - m_reportedAt, Base::Duration::zero());
    return 1 + m_excess * std::exp2(-Base::toSeconds(age) / Base::toSeconds(halfLife));
}

} // namespace Lagoonbank::Capacity
