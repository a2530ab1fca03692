#include "gateway/averageload.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Gateway {

namespace {

/// Minimum load in a report, as the endpoint has at least the request that it answers.
constexpr double minimumRequests = 1;

double inverseOf(double requests)
{
    return 1 / std::max(minimumRequests, requests);
}

} // namespace

void AverageLoad::addReport(double requests, Base::MonoTime now)
{
    const double timeConstants =
        m_reportedAt ? Base::toSeconds(now - *m_reportedAt) / Base::toSeconds(m_options.memory) : 1;
    m_reportedAt = now;
    mix(inverseOf(requests), std::min(m_options.maximumWeight, 1 - std::exp(-timeConstants)), now);
}

void AverageLoad::addPeerEstimate(double requests, Base::MonoTime now)
{
    mix(inverseOf(requests), m_options.peerWeight, now);
}

std::optional<double> AverageLoad::value(Base::MonoTime now) const
{
    if (!m_at || now - *m_at > m_options.lifetime)
        return std::nullopt;
    return 1 / m_inverse;
}

void AverageLoad::mix(double inverse, double weight, Base::MonoTime now)
{
    const bool isKnown = value(now).has_value();
    m_inverse = isKnown ? m_inverse + weight * (inverse - m_inverse) : inverse;
    m_at = now;
}

} // namespace Lagoonbank::Gateway
