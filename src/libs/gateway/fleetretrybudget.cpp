#include "gateway/fleetretrybudget.h"

#include <algorithm>
#include <numeric>

namespace Lagoonbank::Gateway {

FleetRetryBudget::Counts &FleetRetryBudget::countsAt(const Base::ServiceId &service,
                                                     Base::MonoTime now)
{
    Counts &counts = m_services[service];
    const std::int64_t slice =
        now.time_since_epoch() / (m_options.window / static_cast<std::int64_t>(slices));
    const std::int64_t first = std::max(counts.slice + 1, slice - static_cast<int>(slices) + 1);
    for (std::int64_t i = first; i <= slice; ++i) {
        counts.requests.at(static_cast<std::size_t>(i) % slices) = 0;
        counts.repeats.at(static_cast<std::size_t>(i) % slices) = 0;
    }
    counts.slice = std::max(counts.slice, slice);
    return counts;
}

double FleetRetryBudget::leftOf(const Counts &counts) const
{
    const double requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0U);
    const double repeats = std::accumulate(counts.repeats.begin(), counts.repeats.end(), 0U);
    const double all = m_options.ratio * requests + m_options.slack / m_routers;
    return all * m_options.share - repeats;
}

void FleetRetryBudget::requestArrived(const Base::ServiceId &service, Base::MonoTime now)
{
    Counts &counts = countsAt(service, now);
    ++counts.requests.at(static_cast<std::size_t>(counts.slice) % slices);
}

bool FleetRetryBudget::spend(const Base::ServiceId &service, Base::MonoTime now)
{
    Counts &counts = countsAt(service, now);
    if (leftOf(counts) < 1)
        return false;
    ++counts.repeats.at(static_cast<std::size_t>(counts.slice) % slices);
    return true;
}

void FleetRetryBudget::refund(const Base::ServiceId &service, Base::MonoTime now)
{
    Counts &counts = countsAt(service, now);
    for (std::size_t age = 0; age < slices; ++age) {
        const std::int64_t slice = counts.slice - static_cast<std::int64_t>(age);
        std::uint32_t &repeats = counts.repeats.at(static_cast<std::size_t>(slice) % slices);
        if (repeats == 0)
            continue;
        --repeats;
        return;
    }
}

double FleetRetryBudget::remaining(const Base::ServiceId &service, Base::MonoTime now)
{
    return leftOf(countsAt(service, now));
}

} // namespace Lagoonbank::Gateway
