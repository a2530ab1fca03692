#include "admission/gcra.h"

#include <algorithm>

namespace Lagoonbank::Admission {

using Base::Duration;
using Base::MonoTime;

namespace {

// Tolerance in units, so that rounding to nanoseconds does not refuse a call that arrives exactly
// on time.
constexpr double unitTolerance = 1e-6;
// Upper bound of waits, so that adding one to a time point does not overflow.
constexpr double maxWaitSeconds = 30.0 * 24 * 3600;

Duration timeFor(double units, double rate)
{
    return Base::fromSeconds(std::min(units / rate, maxWaitSeconds));
}

} // namespace

void Gcra::setOptions(Options options, MonoTime now)
{
    const double inUse = unitsInUse(now);
    m_options = options;
    m_theoreticalArrival = now;
    charge(inUse, now);
}

std::optional<Duration> Gcra::waitFor(double cost, MonoTime now) const
{
    if (m_options.rate <= 0)
        return std::nullopt;
    if (cost > m_options.burst + m_options.debt + unitTolerance)
        return std::nullopt;
    const double allowedInUse = std::max(0.0, m_options.burst - cost);
    const double excess = unitsInUse(now) - allowedInUse;
    if (excess <= unitTolerance)
        return Duration::zero();
    return timeFor(excess, m_options.rate);
}

void Gcra::charge(double cost, MonoTime now)
{
    if (m_options.rate <= 0)
        return;
    const double maxInUse = m_options.burst + m_options.debt;
    const double inUse = std::clamp(unitsInUse(now) + cost, 0.0, maxInUse);
    m_theoreticalArrival = now + timeFor(inUse, m_options.rate);
}

double Gcra::unitsInUse(MonoTime now) const
{
    if (m_theoreticalArrival <= now)
        return 0;
    return Base::toSeconds(m_theoreticalArrival - now) * m_options.rate;
}

} // namespace Lagoonbank::Admission
