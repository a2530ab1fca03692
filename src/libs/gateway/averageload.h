#pragma once

#include "base/units.h"

#include <optional>

namespace Lagoonbank::Gateway {

/// Requests that one endpoint of a service has on average, as a router can tell that hears of few
/// endpoints a second: it looks at each report that comes, and asks what its peers think.
///
/// Reports come with answers, so an endpoint with twice the requests is heard of twice as often,
/// and the plain mean of the reports is too high: 4.0 where endpoints have 3.0 with the spread of
/// chance. The mean of their inverses is not.
class AverageLoad
{
public:
    struct Options
    {
        /// In which reports are forgotten; requests last for a second or two.
        Base::Duration memory = std::chrono::seconds(2);
        /// Weight of one report at most, however long ago the last one was.
        double maximumWeight = 0.3;
        /// Weight of what a peer thinks: routers that take the middle of both agree soon.
        double peerWeight = 0.5;
        /// After so long without any news nothing is known.
        Base::Duration lifetime = std::chrono::seconds(5);
    };

    AverageLoad() = default;
    explicit AverageLoad(Options options)
        : m_options(options)
    { }

    /// An endpoint has told this router that it has so many requests.
    void addReport(double requests, Base::MonoTime now);
    /// A peer thinks so.
    void addPeerEstimate(double requests, Base::MonoTime now);
    std::optional<double> value(Base::MonoTime now) const;

private:
    void mix(double inverse, double weight, Base::MonoTime now);

    Options m_options;
    double m_inverse = 0;
    std::optional<Base::MonoTime> m_at;
    std::optional<Base::MonoTime> m_reportedAt;
};

} // namespace Lagoonbank::Gateway
