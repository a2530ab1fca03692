#pragma once

#include "base/units.h"

namespace Lagoonbank::Capacity {

/// Mean difference of observed and predicted times to the first event. It stands for prompts that
/// the router does not know: in fleets of more than 24 routers it knows its own requests only.
class WaitCorrection
{
public:
    struct Options
    {
        /// Half-life of the weight of an observation. Queues of prompts last about a second.
        Base::Duration halfLife = std::chrono::seconds(1);
        /// Number of observations that the prior value is worth. A router in a large fleet gets
        /// less than one answer a second from an endpoint.
        double priorWeight = 3;
        /// Largest difference; larger ones count as this.
        Base::Duration maxDifference = std::chrono::seconds(3);
    };

    WaitCorrection() = default;
    explicit WaitCorrection(const Options &options)
        : m_options(options)
    { }

    /// Records an observed less a predicted time.
    void observed(Base::Duration difference, Base::MonoTime now);
    /// The mean difference; tends to \a prior without new observations.
    Base::Duration value(Base::MonoTime now, Base::Duration prior = {}) const;

private:
    double decay(Base::MonoTime now) const;

    Options m_options;
    double m_sum = 0; ///< In seconds.
    double m_weight = 0;
    Base::MonoTime m_updatedAt{};
};

} // namespace Lagoonbank::Capacity
