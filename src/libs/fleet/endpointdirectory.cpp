#include "fleet/endpointdirectory.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Fleet {

EndpointDirectory::~EndpointDirectory()
{
    if (m_returnTimer)
        m_options.timers->cancel(*m_returnTimer);
}

void EndpointDirectory::put(Endpoint endpoint)
{
    std::erase(m_missing, endpoint.id);
    Endpoint &known = m_endpoints[endpoint.id];
    if (known == endpoint)
        return;
    known = std::move(endpoint);
    if (changed)
        changed(known);
}

void EndpointDirectory::remove(const Base::EndpointId &id)
{
    const Endpoint *endpoint = find(id);
    if (!endpoint)
        return;
    const bool mayReturn = m_returnTimer && endpoint->state != EndpointState::Draining;
    if (!mayReturn)
        removeNow(id);
    else if (std::find(m_missing.begin(), m_missing.end(), id) == m_missing.end())
        m_missing.push_back(id);
}

void EndpointDirectory::storeReturned()
{
    if (m_returnTimer)
        m_options.timers->cancel(*m_returnTimer);
    m_returnTimer = m_options.timers->start(m_options.returnTime, [this] {
        m_returnTimer.reset();
        removeMissing();
    });
}

const Endpoint *EndpointDirectory::find(const Base::EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

void EndpointDirectory::removeNow(const Base::EndpointId &id)
{
    const auto found = m_endpoints.find(id);
    const Endpoint gone = std::move(found->second);
    m_endpoints.erase(found);
    if (removed)
        removed(gone);
}

void EndpointDirectory::removeMissing()
{
    for (const Base::EndpointId &id : std::exchange(m_missing, {}))
        removeNow(id);
}

} // namespace Lagoonbank::Fleet
