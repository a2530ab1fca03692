#include "gateway/softwareversions.h"

#include "routing/rendezvous.h"

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
    absl::erase_if(usages, [&](const auto &entry) {
        return entry.second.endpoints <= 0 && now - entry.second.removedAt >= m_options.retention;
    });
}

std::optional<SoftwareHash> SoftwareVersions::only(const Base::ServiceId &service,
                                                   Base::MonoTime now) const
{
    const auto usages = m_services.find(service);
    if (usages == m_services.end())
        return std::nullopt;
    std::optional<SoftwareHash> found;
    for (const auto &[software, usage] : usages->second) {
        if (usage.endpoints <= 0 && now - usage.removedAt >= m_options.retention)
            continue;
        if (found)
            return std::nullopt;
        found = software;
    }
    return found;
}

} // namespace Lagoonbank::Gateway
