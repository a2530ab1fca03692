#include "gateway/softwareversions.h"

#include "routing/rendezvous.h"

#include <algorithm>

namespace Lagoonbank::Gateway {

SoftwareHash softwareHash(const Fleet::Endpoint &endpoint)
{
    return SoftwareHash(Routing::mixHashes(Routing::stableHash(endpoint.service.value()),
                                           Routing::stableHash(endpoint.softwareVersion)));
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

} // namespace Lagoonbank::Gateway
