#include "router/endpointkeys.h"

#include "membership/peercodec.h"

namespace Lagoonbank::Router {

void EndpointKeys::update(const Routing::EndpointTable &table)
{
    m_endpoints.clear();
    for (Routing::EndpointIndex i = 0; i < table.size(); ++i) {
        if (table.contains(i))
            m_endpoints.emplace(Membership::nameKey(table.info(i).id.value()), table.info(i).id);
    }
}

Routing::EndpointIndex EndpointKeys::find(std::uint32_t key,
                                          const Routing::EndpointTable &table) const
{
    const auto found = m_endpoints.find(key);
    return found == m_endpoints.end() ? Routing::noEndpoint : table.find(found->second);
}

} // namespace Lagoonbank::Router
