#include "gateway/fleetretrybudget.h"

#include <algorithm>
#include <numeric>

namespace Lagoonbank::Gateway {

FleetRetryBudget::Counts &FleetRetryBudget::countsAt(const Base::ServiceId &service,
                                                     Base::MonoTime now)
{
    Counts &counts = m_services[service];
    const std::int64_t slice =
        now.time_since_epoch() / (m_options.window / static_cast<std::int64_t>(sliceCount));
    const std::int64_t first = std::max(counts.slice + 1, slice - static_cast<int>(sliceCount) + 1);
    for (std::int64_t i = first; i <= slice; ++i) {
        counts.requests.at(static_cast<std::size_t>(i) % sliceCount) = 0;
        counts.retries.at(static_cast<std::size_t>(i) % sliceCount) = 0;
    }
    counts.slice = std::max(counts.slice, slice);
    return counts;
}

FleetRetryBudget::Usage FleetRetryBudget::usageOf(const Counts &counts, Base::MonoTime now) const
{
    const bool hasSlack = m_routerCount > 0 && now - m_startedAt >= m_options.window;
    return {.requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0U),
            .retries = std::accumulate(counts.retries.begin(), counts.retries.end(), 0U),
            .slack = hasSlack ? m_options.slack / m_routerCount : 0};
}

double FleetRetryBudget::remainingOf(const Counts &counts, Base::MonoTime now) const
{
    const Usage usage = usageOf(counts, now);
    const double budget = m_options.ratio * usage.requests + usage.slack;
    return budget * m_options.usedShare - usage.retries;
}

void FleetRetryBudget::requestArrived(const Base::ServiceId &service, Base::MonoTime now)
{
    Counts &counts = countsAt(service, now);
    ++counts.requests.at(static_cast<std::size_t>(counts.slice) % sliceCount);
}

bool FleetRetryBudget::spend(const Base::ServiceId &service, Base::MonoTime now)
{
    Counts &counts = countsAt(service, now);
    if (remainingOf(counts, now) < 1)
        return false;
    ++counts.retries.at(static_cast<std::size_t>(counts.slice) % sliceCount);
    return true;
}

void FleetRetryBudget::refund(const Base::ServiceId &service, Base::MonoTime now)
{
    Counts &counts = countsAt(service, now);
    for (std::size_t age = 0; age < sliceCount; ++age) {
        const std::int64_t slice = counts.slice - static_cast<std::int64_t>(age);
        std::uint32_t &retries = counts.retries.at(static_cast<std::size_t>(slice) % sliceCount);
        if (retries == 0)
            continue;
        --retries;
        return;
    }
}

FleetRetryBudget::Usage FleetRetryBudget::usage(const Base::ServiceId &service, Base::MonoTime now)
{
    return usageOf(countsAt(service, now), now);
}

double FleetRetryBudget::remaining(const Base::ServiceId &service, Base::MonoTime now)
{
    return remainingOf(countsAt(service, now), now);
}

} // namespace Lagoonbank::Gateway
