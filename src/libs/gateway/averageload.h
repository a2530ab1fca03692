#pragma once

#include "base/units.h"

#include <optional>

namespace Lagoonbank::Gateway {

/// Estimates the average number of requests at an endpoint of a service on a router that gets few
/// load reports a second, from these reports and the estimates of its peers.
///
/// Reports come with answers, so an endpoint with twice the requests sends twice as many reports.
/// Their arithmetic mean is therefore too high: 4.0 for randomly distributed loads with a mean of
/// 3.0. The harmonic mean, as the mean of the inverses, is not biased in this way.
class AverageLoad
{
public:
    struct Options
    {
        /// Time constant of the moving average; requests take a second or two.
        Base::Duration memory = std::chrono::seconds(2);
        /// Maximum weight of one report, however old the previous one is.
        double maximumWeight = 0.3;
        /// Weight of a peer's estimate. At one half the estimates of all routers converge fast.
        double peerWeight = 0.5;
        /// Age of the last report or peer estimate at which the average becomes unknown.
        Base::Duration lifetime = std::chrono::seconds(5);
    };

    AverageLoad() = default;
    explicit AverageLoad(Options options)
        : m_options(options)
    { }

    /// Adds a load report of an endpoint.
    void addReport(double requests, Base::MonoTime now);
    /// Adds a peer's estimate of the average.
    void addPeerEstimate(double requests, Base::MonoTime now);
    std::optional<double> value(Base::MonoTime now) const;

private:
    void mix(double inverse, double weight, Base::MonoTime now);

    Options m_options;
    double m_inverse = 0;
    /// Time of the last report or peer estimate.
    std::optional<Base::MonoTime> m_at;
    std::optional<Base::MonoTime> m_reportedAt;
};

} // namespace Lagoonbank::Gateway
