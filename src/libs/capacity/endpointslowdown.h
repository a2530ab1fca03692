#pragma once

#include "base/units.h"

#include <optional>

namespace Lagoonbank::Capacity {

/// Smoothed slowdown of an endpoint's machine: the duration of work there as a multiple of the
/// usual one. A reported value is a sample of a short burst of a neighbour on that machine, so that
/// it loses its weight with its age, and the factor returns to 1.
class EndpointSlowdown
{
public:
    /// The endpoint has reported \a factor; 1 is as usual. Ignored if it is implausible, or equal
    /// to the previous report: the value changes many times a second, so that one which does not
    /// is frozen and must not remain in force.
    void reported(double factor, Base::MonoTime now);
    /// The slowdown to be expected at \a now; 1 without any report.
    double factor(Base::MonoTime now) const;

private:
    double m_excess = 0; ///< What the average was above 1 at the last accepted report.
    std::optional<double> m_lastReported;
    Base::MonoTime m_reportedAt{}; ///< Time of the last accepted report.
};

} // namespace Lagoonbank::Capacity
