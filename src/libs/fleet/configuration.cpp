#include "fleet/configuration.h"

#include "base/text.h"

namespace Lagoonbank::Fleet {

namespace {

std::string hostName(std::string_view host)
{
    return Base::lowered(host.substr(0, host.find(':')));
}

} // namespace

Configuration::Configuration(ConfigurationParts parts)
    : m_parts(std::move(parts))
{
    for (std::size_t i = 0; i < m_parts.routes.size(); ++i)
        m_routes.emplace(HostAndPrefix(m_parts.routes[i].host, m_parts.routes[i].prefix), i);
    for (std::size_t i = 0; i < m_parts.services.size(); ++i)
        m_services.emplace(m_parts.services[i].name, i);
    for (std::size_t i = 0; i < m_parts.workspaces.size(); ++i) {
        for (const std::string &key : m_parts.workspaces[i].keys)
            m_keys.emplace(key, i);
    }
}

const Route *Configuration::findRoute(std::string_view host, std::string_view path) const
{
    HostAndPrefix key(hostName(host), std::string());
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = path.rfind('/', end - 1)) {
        key.second = path.substr(0, end + 1);
        if (const auto found = m_routes.find(key); found != m_routes.end())
            return &m_parts.routes[found->second];
        if (end == 0)
            break;
    }
    return nullptr;
}

const Workspace *Configuration::findWorkspace(std::string_view key) const
{
    const auto found = m_keys.find(std::string(key));
    return found == m_keys.end() ? nullptr : &m_parts.workspaces[found->second];
}

const Service *Configuration::findService(const Base::ServiceId &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &m_parts.services[found->second];
}

const Base::ServiceId &serviceFor(const Route &route, std::uint64_t requestHash)
{
    double total = 0;
    for (const WeightedService &one : route.services)
        total += one.weight;
    // 53 bits of the hash as a number in [0, 1).
    double left = static_cast<double>(requestHash >> 11) * 0x1.0p-53 * total;
    for (const WeightedService &one : route.services) {
        if (left < one.weight)
            return one.service;
        left -= one.weight;
    }
    return route.services.back().service;
}

} // namespace Lagoonbank::Fleet
