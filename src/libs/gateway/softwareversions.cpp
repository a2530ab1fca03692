#include "gateway/softwareversions.h"

#include "routing/rendezvous.h"

#include <algorithm>

namespace Lagoonbank::Gateway {

SoftwareHash softwareHash(const Fleet::Endpoint &endpoint)
{
    return SoftwareHash(Routing::mixHashes(Routing::stableHash(endpoint.service.value()),
                                           Routing::stableHash(endpoint.softwareVersion)));
}

Schema::SharedSoftware toShared(const SoftwareUse &use)
{
    return {.service = use.service.value(),
            .software = use.software.value(),
            .ageMs = static_cast<std::uint32_t>(Base::toMilliseconds(use.age))};
}

SoftwareUse fromShared(const Schema::SharedSoftware &shared)
{
    return {.service = Base::ServiceId(shared.service),
            .software = SoftwareHash(shared.software),
            .age = std::chrono::milliseconds(shared.ageMs)};
}

void SoftwareVersions::endpointAdded(const Base::ServiceId &service, SoftwareHash software)
{
    ++m_services[service][software].endpoints;
}

void SoftwareVersions::endpointRemoved(const Base::ServiceId &service, SoftwareHash software,
                                       Base::MonoTime now)
{
    Usages &usages = m_services[service];
    Usage &usage = usages[software];
    --usage.endpoints;
    usage.removedAt = now;
    absl::erase_if(usages, [&](const auto &entry) { return !isUsed(entry.second, now); });
}

void SoftwareVersions::merge(const SoftwareUse &use, Base::MonoTime now)
{
    if (use.age >= m_options.retention)
        return;
    Usage &usage = m_services[use.service][use.software];
    usage.removedAt = std::max(usage.removedAt, now - use.age);
}

bool SoftwareVersions::isKnown(SoftwareHash software, Base::MonoTime now) const
{
    return std::any_of(m_services.begin(), m_services.end(), [&](const auto &service) {
        const auto usage = service.second.find(software);
        return usage != service.second.end() && isUsed(usage->second, now);
    });
}

std::vector<SoftwareUse> SoftwareVersions::uses(Base::MonoTime now) const
{
    std::vector<SoftwareUse> uses;
    for (const auto &[service, usages] : m_services) {
        for (const auto &[software, usage] : usages) {
            const Base::Duration age =
                usage.endpoints > 0 ? Base::Duration::zero() : now - usage.removedAt;
            if (isUsed(usage, now))
                uses.push_back({.service = service, .software = software, .age = age});
        }
    }
    return uses;
}

std::optional<SoftwareHash> SoftwareVersions::only(const Base::ServiceId &service,
                                                   Base::MonoTime now) const
{
    const auto usages = m_services.find(service);
    if (usages == m_services.end() || isMixed(service, now))
        return std::nullopt;
    for (const auto &[software, usage] : usages->second) {
        if (isUsed(usage, now))
            return software;
    }
    return std::nullopt;
}

bool SoftwareVersions::isMixed(const Base::ServiceId &service, Base::MonoTime now) const
{
    const auto usages = m_services.find(service);
    if (usages == m_services.end())
        return false;
    const auto used = std::count_if(usages->second.begin(), usages->second.end(),
                                    [&](const auto &entry) { return isUsed(entry.second, now); });
    return used > 1;
}

std::set<Base::ServiceId> SoftwareVersions::mixedServices(Base::MonoTime now) const
{
    std::set<Base::ServiceId> mixed;
    for (const auto &[service, usages] : m_services) {
        if (isMixed(service, now))
            mixed.insert(service);
    }
    return mixed;
}

std::set<SoftwareHash> SoftwareVersions::mixedSoftware(Base::MonoTime now) const
{
    std::set<SoftwareHash> software;
    for (const SoftwareUse &use : uses(now)) {
        if (isMixed(use.service, now))
            software.insert(use.software);
    }
    return software;
}

} // namespace Lagoonbank::Gateway
