#include "gateway/loadsharing.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace Lagoonbank::Gateway {

namespace {

constexpr double thousandths = 1000;
constexpr std::size_t maximumServicesPerMessage = 8;

std::uint16_t toShort(std::int64_t number)
{
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(number, 0, std::numeric_limits<std::uint16_t>::max()));
}

Schema::SharedLoad toShared(const EndpointRecord &endpoint, Base::MonoTime now)
{
    return {.endpoint = endpoint.startHash,
            .running = toShort(endpoint.report->running),
            .waiting = toShort(endpoint.report->waiting),
            .slots = toShort(endpoint.report->slots),
            .ageMs = toShort(Base::toMilliseconds(now - endpoint.reportedAt))};
}

} // namespace

Schema::LoadUpdate LoadSharing::announcement(Base::MonoTime now)
{
    Schema::LoadUpdate announcement;
    for (const auto &[service, endpoints] : m_options.registry->services()) {
        const auto averageLoad = m_options.registry->averageLoad(service, now);
        if (!averageLoad || announcement.averageLoads.size() >= maximumServicesPerMessage)
            continue;
        announcement.averageLoads.push_back(
            {.service = Routing::stableHash(service.value()),
             .requestsMilli = static_cast<std::uint32_t>(*averageLoad * thousandths)});
        for (const EndpointPtr &endpoint : endpoints) {
            if (!endpoint->report || now - endpoint->reportedAt > m_options.maximumReportAge)
                continue;
            noteHot(*endpoint, *averageLoad, now);
            if (endpoint->hotAt && now - *endpoint->hotAt <= m_options.hotLifetime)
                announcement.loads.push_back(toShared(*endpoint, now));
        }
    }
    keepNewest(announcement.loads);
    return announcement;
}

/// Keeps the most recent reports, as the load of an engine can rise from the average to the load
/// bound of the fleet within a second. Reports of equal age are chosen at random.
void LoadSharing::keepNewest(std::vector<Schema::SharedLoad> &loads)
{
    if (loads.size() <= m_options.maximumLoads)
        return;
    std::shuffle(loads.begin(), loads.end(), m_random);
    const auto end = loads.begin() + static_cast<std::ptrdiff_t>(m_options.maximumLoads);
    std::partial_sort(
        loads.begin(), end, loads.end(),
        [](const Schema::SharedLoad &a, const Schema::SharedLoad &b) { return a.ageMs < b.ageMs; });
    loads.erase(end, loads.end());
}

void LoadSharing::merge(const Schema::LoadUpdate &announcement, Base::Duration delay,
                        Base::MonoTime now)
{
    for (const auto &[service, endpoints] : m_options.registry->services()) {
        const std::uint64_t hash = Routing::stableHash(service.value());
        for (const Schema::SharedAverageLoad &average : announcement.averageLoads) {
            if (average.service == hash)
                m_options.registry->mergeAverageLoad(service, average.requestsMilli / thousandths,
                                                     now);
        }
    }
    for (const Schema::SharedLoad &load : announcement.loads) {
        const EndpointPtr endpoint = m_options.registry->findByStart(load.endpoint);
        if (!endpoint)
            continue; // Removed, or restarted since the report.
        const LoadReport report{
            .running = load.running, .waiting = load.waiting, .slots = load.slots};
        m_options.registry->mergeLoadReport(*endpoint, report,
                                            now - delay - std::chrono::milliseconds(load.ageMs));
    }
}

void LoadSharing::noteHot(EndpointRecord &endpoint, double averageLoad, Base::MonoTime now) const
{
    const double requests = endpoint.report->running + endpoint.report->waiting;
    if (requests > m_options.hotLoadFactor * averageLoad + m_options.hotLoadSlack)
        endpoint.hotAt = std::min(now, endpoint.reportedAt);
}

} // namespace Lagoonbank::Gateway
