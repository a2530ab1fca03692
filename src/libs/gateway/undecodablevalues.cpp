#include "gateway/undecodablevalues.h"

namespace Lagoonbank::Gateway {

bool UndecodableValues::count(const Base::EndpointId &endpoint, std::string_view name)
{
    m_metrics.undecodable(name).increment();
    if (m_logged.size() >= maxPairs)
        m_logged.clear();
    return m_logged.emplace(endpoint, std::string(name)).second;
}

} // namespace Lagoonbank::Gateway
