#include "platformclient/recentids.h"

namespace Lagoonbank::PlatformClient {

bool RecentIds::insert(const std::string &id)
{
    if (!m_ids.insert(id).second)
        return false;
    m_order.push_back(id);
    if (m_order.size() > m_capacity) {
        m_ids.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

} // namespace Lagoonbank::PlatformClient
